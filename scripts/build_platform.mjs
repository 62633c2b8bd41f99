// Bundles the daemon for the platform into one file, which starts faster and
// takes less memory than its modules.
import { build } from "esbuild";

await build({
  entryPoints: ["platform/main.ts"],
  outfile: "target/sesamepond.mjs",
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
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
