import { cpSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Child } from "../../testkit/child.ts";
import { distFile } from "../../testkit/dist_file.ts";

const FOLDER = mkdtempSync(join(tmpdir(), "sesamepond-"));
const DUPLICATE = join(FOLDER, "duplicate");

async function runCli(...args: string[]) {
  const child = new Child([distFile("src/cli/main.js"), ...args]);
  const code = await child.waitForExit();
  return { code, output: child.output };
}

test.before(() => {
  cpSync("examples/association", DUPLICATE, { recursive: true });
  writeFileSync(
    join(DUPLICATE, "sites/tobago.jsonc"),
    '{ "services": { "order": { "approvedCallers": ["stalls", "stalls"] } } }',
  );
});

test.after(() => rmSync(FOLDER, { recursive: true }));

// Guards against exit statuses by which a script takes findings or unreadable
// input for a clean configuration.
test("check ends with 0 without findings, 1 with findings, 2 if it cannot read", async () => {
  const runs = [
    await runCli("check", "examples/association"),
    await runCli("check", DUPLICATE),
    await runCli("check", join(FOLDER, "none")),
    await runCli("check", "examples/association", "--operator", "none.jsonc"),
    await runCli("check"),
    await runCli("check", "examples/association", "--output", "xml"),
  ];
  assert.equal(runs.map(({ code }) => code), [0, 1, 2, 2, 2, 2]);
  assert.match(runs[1]!.output, /tobago\.jsonc:1:58: .*duplicate-approval/);
});

test("check writes one JSON object with --output json and with --json", async () => {
  for (const option of [["--output", "json"], ["--json"]]) {
    const { code, output } = await runCli("check", DUPLICATE, ...option);
    const report = JSON.parse(output) as {
      status: string;
      findings: { kind: string; path: string }[];
    };
    assert.equal([code, report.status], [1, "findings"]);
    assert.equal(
      report.findings.map(({ kind, path }) => [kind, path]),
      [["duplicate-approval", "services.order.approvedCallers.1"]],
    );
  }
});

// Guards against other commands that use the statuses of `check`.
test("validate and diff end as before", async () => {
  const operator = join(FOLDER, "none.jsonc");
  const runs = [
    await runCli("validate", DUPLICATE),
    await runCli("validate", join(FOLDER, "none")),
    await runCli("diff", DUPLICATE, "--operator", operator),
  ];
  assert.equal(runs.map(({ code }) => code), [0, 1, 1]);
});

test.run();
