#!/usr/bin/env -S node --max-semi-space-size=1 --optimize-for-size
import process from "node:process";
import { messageOf } from "../protocol/step_error.ts";
import { runDaemon } from "./run_daemon.ts";

const [settingsFile] = process.argv.slice(2);
if (settingsFile === undefined) {
  process.stderr.write("usage: sesamepond-daemon SETTINGS\n");
  process.exit(2);
}
try {
  process.exitCode = await runDaemon(settingsFile);
} catch (error) {
  process.stderr.write(`${messageOf(error)}\n`);
  process.exitCode = 1;
}
