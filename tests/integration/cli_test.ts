import { cpSync, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Child } from "../../testkit/child.ts";
import { FLEET_KEYS } from "../../testkit/daemon_process.ts";
import { distFile } from "../../testkit/dist_file.ts";
import { Fleet } from "../../testkit/fleet.ts";
import { sampleSource } from "../../testkit/sample_config.ts";
import { call } from "../../testkit/caller.ts";

const FOLDER = mkdtempSync(join(tmpdir(), "sesamepond-"));
const SOURCE_FOLDER = join(FOLDER, "site");
const OPERATOR_FILE = join(FOLDER, "operator.jsonc");

let fleet: Fleet;

async function runCli(...args: string[]) {
  const program = distFile("src/cli/main.js");
  const child = new Child([program, ...args, "--operator", OPERATOR_FILE]);
  const code = await child.waitForExit();
  return { code, output: child.output };
}

function editBase(find: string, replacement: string): void {
  const file = join(SOURCE_FOLDER, "base.jsonc");
  const text = readFileSync(file, "utf8");
  assert.ok(text.includes(find), find);
  writeFileSync(file, text.replace(find, replacement));
}

test.before(async () => {
  fleet = await Fleet.start({
    network: 16,
    source: sampleSource(),
    domains: [{ name: "tobago", services: ["lookup", ""] }],
  });
  cpSync("examples/association", SOURCE_FOLDER, { recursive: true });
  writeFileSync(
    OPERATOR_FILE,
    JSON.stringify({
      author: "ann",
      store: { endpoints: [fleet.storeAddress] },
      fleetKeys: FLEET_KEYS,
    }),
  );
});

test.after(async () => {
  await fleet.close();
});

test("apply --wait returns once the version is applied, and rollback accepts a higher version", async () => {
  const applied = await runCli(
    "apply",
    SOURCE_FOLDER,
    "--wait",
    "--note",
    "first",
  );
  assert.is(applied.code, 0, applied.output);
  assert.match(applied.output, /in force on 2 daemons/);
  const changed = editBase('"timeoutMs": 1000', '"timeoutMs": 900');
  assert.is(changed, undefined);
  const diff = await runCli("diff", SOURCE_FOLDER);
  assert.match(diff.output, /~ base\/services\/lookup/);
  assert.is((await runCli("apply", SOURCE_FOLDER, "--wait")).code, 0);
  const rollback = await runCli("rollback", "2", "--wait");
  assert.match(rollback.output, /accepted version 4/);
  const history = await runCli("history", "--json");
  const records = JSON.parse(history.output) as { version: number }[];
  assert.equal(records.map(({ version }) => version), [4, 3, 2, 1]);
  assert.is((await runCli("status")).code, 0);
});

test("apply refuses an outdated base version, an invalid configuration and an unreachable store", async () => {
  const stale = await runCli("apply", SOURCE_FOLDER, "--expect", "1");
  assert.is(stale.code, 3, stale.output);
  editBase('"service": "order"', '"service": "ordre"');
  const invalid = await runCli("apply", SOURCE_FOLDER);
  assert.is(invalid.code, 1);
  assert.match(
    invalid.output,
    /base\.jsonc:\d+:\d+: .*unknown service "ordre"/,
  );
  editBase('"service": "ordre"', '"service": "order"');
  fleet.store.goDown();
  const down = await runCli("apply", SOURCE_FOLDER);
  fleet.store.comeBack();
  assert.is(down.code, 4, down.output);
  assert.is((await runCli("nonsense")).code, 2);
});

test("explain describes a call, a request and a version", async () => {
  const { daemon } = fleet.instances[0]!;
  const explanation = await runCli(
    ...[
      "explain",
      "call",
      SOURCE_FOLDER,
      "--site",
      "tobago",
      "--caller",
      "vendors",
    ],
    ...["--path", "/stock/1", "--daemon", daemon.admin],
  );
  assert.match(explanation.output, /route stock[^]*approved by[^]*backend id=/);
  const response = await call(daemon.ingress, "/stock/1", {
    token: "vendors-token",
  });
  const request = await runCli(
    ...["explain", "request", response.requestId, "--daemon", daemon.admin],
  );
  assert.match(request.output, /route route=stock service=lookup/);
  const version = await runCli("explain", "version", "4");
  assert.match(version.output, /accepted .* by ann[^]*in force after \d+ ms/);
});

test.run();
