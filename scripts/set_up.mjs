// Installs the packages if they are missing, then builds the modules for the
// library, tests and tools, and bundles the daemon.
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";
import process from "node:process";

const run = (command, args) => {
  const { status } = spawnSync(command, args, { stdio: "inherit" });
  if (status !== 0) process.exit(status ?? 1);
};

if (!existsSync("node_modules/typescript")) run("npm", ["ci"]);
run(process.execPath, ["node_modules/typescript/bin/tsc", "-p", "."]);

const { bundle } = await import("./bundle.mjs");
await bundle({
  entryPoints: ["dist/src/daemon/main.js"],
  outfile: "dist/daemon.mjs",
  format: "esm",
  banner: {
    js:
      "import{createRequire}from'node:module';const require=createRequire(import.meta.url);",
  },
});
