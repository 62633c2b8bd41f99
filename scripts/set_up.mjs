// Installs the packages if they are missing, then builds the modules for the
// library, tests and tools, and bundles the daemon into one file, which starts
// faster and uses less memory than separate modules. White space is minified
// because V8 keeps the whole source text in memory; names are kept for readable
// stack traces. License notices of the libraries go to a file beside the bundle.
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";
import process from "node:process";

const run = (command, args) => {
  const { status } = spawnSync(command, args, { stdio: "inherit" });
  if (status !== 0) process.exit(status ?? 1);
};

if (!existsSync("node_modules/typescript")) run("npm", ["ci"]);
run(process.execPath, ["node_modules/typescript/bin/tsc", "-p", "."]);

const { build } = await import("esbuild");
await build({
  entryPoints: ["dist/src/daemon/main.js"],
  outfile: "dist/daemon.mjs",
  bundle: true,
  platform: "node",
  format: "esm",
  mainFields: ["module", "main"],
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: "linked",
  logLevel: "error",
  banner: {
    js:
      "import{createRequire}from'node:module';const require=createRequire(import.meta.url);",
  },
});
