// Bundles the daemon for the platform. The bundle excludes HTTP/2, which is not
// used here: the HTTP client would load it with its connections, and TLS and
// cryptography along with it. The format is CommonJS because the loader of ES
// modules costs a process 1 MB or 2 and a sixth of the work of its start.
// The first argument overrides the output file, for tests.
import process from "node:process";
import { bundle } from "./bundle.mjs";

const withoutHttp2 = {
  name: "without-http2",
  setup(builder) {
    builder.onLoad(
      { filter: /undici\/lib\/dispatcher\/client-h2\.js$/ },
      () => ({
        contents: "module.exports = () => { throw new Error('no HTTP/2') }",
      }),
    );
  },
};

await bundle({
  entryPoints: ["platform/main.ts"],
  outfile: process.argv[2] ?? "target/sesamepond.cjs",
  format: "cjs",
  target: "node20",
  plugins: [withoutHttp2],
});
