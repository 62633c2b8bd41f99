import { test } from "uvu";
import * as assert from "uvu/assert";
import { RolloutPhase, type RolloutRecord } from "../../protocol/rollout.ts";
import { VersionGate } from "./version_gate.ts";

const RECORD: RolloutRecord = {
  service: "orders",
  sequence: 3,
  phase: RolloutPhase.Running,
  inUse: ["v1"],
  decider: "d0",
  targetVersion: "v2",
  share: 0.3,
  startedAtUnixMs: 1_000,
  endsAtUnixMs: 21_000,
};

function startGate(): VersionGate {
  const gate = new VersionGate("orders");
  gate.observe("v1", true);
  gate.observe("v2");
  return gate;
}

function versionsAt(gate: VersionGate, nowMs: number, isFirst = true): string {
  const request = { isFirst, fraction: 0, nowMs, daemons: 1 };
  const choice = gate.choose(request);
  return choice.kind === "any" ? "any" : [...choice.versions].join(",");
}

// Guards against requests to a version before there is an order.
test("VersionGate.choose() leaves out a version that came later", () => {
  const gate = new VersionGate("orders");
  gate.observe("v1", true);
  const alone = versionsAt(gate, 0);
  gate.observe("v2");
  assert.equal([alone, versionsAt(gate, 0)], ["any", "v1"]);
});

// Guards against a fleet without requests after an update of its daemons: their
// earlier version recorded no versions.
test("VersionGate.choose() uses the first version after records without one", () => {
  const gate = new VersionGate("orders");
  gate.observe("", true);
  gate.observe("v1");
  assert.is(versionsAt(gate, 0), "any");
});

// Guards against exposure while the daemon that decides is gone.
test("VersionGate.choose() uses a share only while it is confirmed", () => {
  const gate = startGate();
  gate.apply(RECORD);
  const unconfirmed = versionsAt(gate, 0);
  gate.confirm(RECORD, 0);
  assert.equal({
    unconfirmed,
    confirmed: versionsAt(gate, 1_000),
    repeated: versionsAt(gate, 1_000, false),
    later: versionsAt(gate, 2_500),
  }, { unconfirmed: "v1", confirmed: "v2", repeated: "v1", later: "v1" });
});

// Guards against a share that grows by an answer that was under way for long.
test("VersionGate.apply() ignores older decisions", () => {
  const gate = startGate();
  gate.confirm(RECORD, 0);
  gate.apply({ ...RECORD, sequence: 2, share: 0.8 });
  gate.apply({ ...RECORD, share: 0.8 });
  const higher = gate.shareAt(0);
  gate.apply({ ...RECORD, share: 0 });
  assert.equal([higher, gate.shareAt(0)], [0.3, 0]);
});

// Guards against more requests to a bad version than allowed, whatever the
// share says.
test("VersionGate.choose() bounds the requests of the target version", () => {
  const gate = startGate();
  gate.confirm(RECORD, 0);
  let exposed = 0;
  for (let sent = 0; sent < 1_000; sent++) {
    if (versionsAt(gate, 100) !== "v2") continue;
    exposed++;
    gate.recordExposed();
  }
  assert.is(exposed, 70);
});

// Guards against requests in progress at a former backend server when it stops.
test("VersionGate.admits() refuses former versions while they are ending", () => {
  const gate = startGate();
  const draining = { ...RECORD, sequence: 4, phase: RolloutPhase.Draining };
  gate.confirm({ ...draining, share: 1 }, 0);
  const during = [gate.admits("v1", 1_000), gate.admits("v2", 1_000)];
  const cutOff = [gate.admits("v1", 5_000), versionsAt(gate, 5_000)];
  gate.apply({
    ...draining,
    sequence: 5,
    phase: RolloutPhase.RolledBack,
    share: 0,
  });
  const rolledBack = [gate.admits("v1", 5_000), gate.admits("v2", 5_000)];
  assert.equal({ during, cutOff, rolledBack }, {
    during: [false, true],
    cutOff: [true, "v1"],
    rolledBack: [true, false],
  });
});

test.run();
