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
const SITE = join(FOLDER, "site");
const OPERATOR = join(FOLDER, "operator.jsonc");

let fleet: Fleet;

async function run(...args: string[]) {
  const program = distFile("src/cli/main.js");
  const child = new Child([program, ...args, "--operator", OPERATOR]);
  const code = await child.waitForExit();
  return { code, output: child.output };
}

function edit(find: string, replacement: string): void {
  const file = join(SITE, "base.jsonc");
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
  cpSync("examples/association", SITE, { recursive: true });
  writeFileSync(
    OPERATOR,
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

test("apply --wait returns when the version is in force, and rollback goes on to a higher one", async () => {
  const applied = await run("apply", SITE, "--wait", "--note", "first");
  assert.is(applied.code, 0, applied.output);
  assert.match(applied.output, /in force on 2 daemons/);
  const changed = edit('"timeoutMs": 1000', '"timeoutMs": 900');
  assert.is(changed, undefined);
  const diff = await run("diff", SITE);
  assert.match(diff.output, /~ base\/services\/lookup/);
  assert.is((await run("apply", SITE, "--wait")).code, 0);
  const back = await run("rollback", "2", "--wait");
  assert.match(back.output, /accepted version 4/);
  const history = await run("history", "--json");
  const records = JSON.parse(history.output) as { version: number }[];
  assert.equal(records.map(({ version }) => version), [4, 3, 2, 1]);
  assert.is((await run("status")).code, 0);
});

test("apply refuses what is invalid, prepared on an old version, or without the store", async () => {
  const stale = await run("apply", SITE, "--expect", "1");
  assert.is(stale.code, 3, stale.output);
  edit('"service": "order"', '"service": "ordre"');
  const invalid = await run("apply", SITE);
  assert.is(invalid.code, 1);
  assert.match(
    invalid.output,
    /base\.jsonc:\d+:\d+: .*unknown service "ordre"/,
  );
  edit('"service": "ordre"', '"service": "order"');
  fleet.store.goDown();
  const down = await run("apply", SITE);
  fleet.store.comeBack();
  assert.is(down.code, 4, down.output);
  assert.is((await run("nonsense")).code, 2);
});

test("explain tells a call, a request and a version", async () => {
  const { daemon } = fleet.instances[0]!;
  const told = await run(
    ...["explain", "call", SITE, "--site", "tobago", "--caller", "vendors"],
    ...["--path", "/stock/1", "--daemon", daemon.admin],
  );
  assert.match(told.output, /route stock[^]*approved by[^]*backend id=/);
  const answer = await call(daemon.ingress, "/stock/1", {
    token: "vendors-token",
  });
  const request = await run(
    ...["explain", "request", answer.requestId, "--daemon", daemon.admin],
  );
  assert.match(request.output, /route route=stock service=lookup/);
  const version = await run("explain", "version", "4");
  assert.match(version.output, /accepted .* by ann[^]*in force after \d+ ms/);
});

test.run();
