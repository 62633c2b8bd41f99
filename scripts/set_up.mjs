// Installs the packages where they are missing, then builds.
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";
import process from "node:process";

const run = (command, args) => {
  const { status } = spawnSync(command, args, { stdio: "inherit" });
  if (status !== 0) process.exit(status ?? 1);
};

if (!existsSync("node_modules/typescript")) run("npm", ["ci"]);
run(process.execPath, ["node_modules/typescript/bin/tsc", "-p", "."]);
