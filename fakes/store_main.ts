import process from "node:process";
import { StoreServer } from "./store_server.ts";

// Runs the store stand-in in its own process. Argument: the port, or 0 for any
// free one.
const store = new StoreServer();
const port = await store.listen(Number(process.argv[2] ?? 0));
process.stdout.write(`port=${port}\n`);
