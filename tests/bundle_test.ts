import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";

const ASSERT_IMPORT = /(require\(|from ?)["'](node:)?assert["']/g;

// Review 5: the assert of Node.js reads and parses the source of the program
// when an assertion without a message fails, which took seconds in a bundle.
test("no bundled daemon uses the assert module of Node.js", () => {
  const folder = mkdtempSync(join(tmpdir(), "sesamepond-"));
  const bundle = join(folder, "sesamepond.cjs");
  spawnSync(process.execPath, ["scripts/build_platform.mjs", bundle]);
  const imports = [bundle, "dist/daemon.mjs"].map((file) =>
    readFileSync(file, "utf8").match(ASSERT_IMPORT) ?? []
  );
  rmSync(folder, { recursive: true });
  assert.equal(imports, [[], []]);
});

// Guards against an import of a module index that adds the schema library of
// src/daemon to the sidecar: 140 kB of its bundle and a tenth of its start.
test("the bundled sidecar contains no schema library", () => {
  const folder = mkdtempSync(join(tmpdir(), "sesamepond-"));
  const bundle = join(folder, "sesamepond.cjs");
  spawnSync(process.execPath, ["scripts/build_platform.mjs", bundle]);
  const hasLibrary = readFileSync(bundle, "utf8").includes("ZodError");
  rmSync(folder, { recursive: true });
  assert.not(hasLibrary);
});

test.run();
