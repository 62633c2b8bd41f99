import process from "node:process";
import { type BackendBehaviour, BackendServer } from "./backend_server.ts";

// Runs the stand-in of a backend server in its own process. Arguments: the
// service, the admin address of its daemon or "", and its behaviour as JSON.
const [service, daemon, behaviour] = process.argv.slice(2);
const backend = new BackendServer({
  service: service!,
  ...(daemon === undefined || daemon === "" ? {} : { daemon }),
  behaviour: JSON.parse(behaviour ?? "{}") as Partial<BackendBehaviour>,
});
const port = await backend.listen(0);
process.stdout.write(`port=${port}\n`);

process.once("SIGTERM", () => {
  void backend.drain().then(() => process.exit(0));
});
