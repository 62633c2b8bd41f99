// Bundles a daemon into one file, which starts faster and uses less memory than
// separate modules. White space is minified because V8 keeps the whole source
// text in memory; names are kept for readable stack traces. License notices of
// the libraries go to a file beside the bundle.
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

const plainAssert = {
  name: "plain-assert",
  setup(builder) {
    builder.onResolve({ filter: /^(node:)?assert$/ }, () => ({
      path: fileURLToPath(new URL("plain_assert.cjs", import.meta.url)),
    }));
  },
};

/** Bundles with further options of esbuild, such as entry point and format. */
export async function bundle({ plugins = [], ...options }) {
  await build({
    bundle: true,
    platform: "node",
    mainFields: ["module", "main"],
    minifyWhitespace: true,
    minifySyntax: true,
    legalComments: "linked",
    logLevel: "error",
    plugins: [plainAssert, ...plugins],
    ...options,
  });
}
