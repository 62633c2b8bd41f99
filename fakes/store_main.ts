import process from "node:process";
import { StoreServer } from "./store_server.ts";

// Runs the store stand-in in a process of its own: the port, or 0 for any.
const store = new StoreServer();
const port = await store.listen(Number(process.argv[2] ?? 0));
process.stdout.write(`port=${port}\n`);
