import process from "node:process";
import { NaiveProxy } from "./naive_proxy.ts";

// Runs the naive proxy in its own process. Argument: its routes as JSON.
const routes = JSON.parse(process.argv[2] ?? "{}") as Record<string, string[]>;
const port = await new NaiveProxy(routes).listen(0);
process.stdout.write(`port=${port}\n`);
