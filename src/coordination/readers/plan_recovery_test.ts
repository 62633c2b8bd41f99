import { test } from "uvu";
import * as assert from "uvu/assert";
import { type BackendRecord, BackendState } from "../../protocol/mesh.ts";
import { planRecovery } from "./plan_recovery.ts";

const DOMAIN = "a";
const MS_PER_S = 1_000;

function membersOf(size: number): BackendRecord[] {
  return Array.from({ length: size }, (_, index) => ({
    id: `i-${index}`,
    instance: `a-${index}`,
    service: "stock",
    domain: DOMAIN,
    peerAddress: "127.0.0.1:1",
    slots: 12,
    state: BackendState.Ready,
    bornAtUnixMs: 1,
    linkMbps: size - index,
  }));
}

function planAll(size: number) {
  const members = membersOf(size);
  return members.map(({ instance }) => planRecovery(members, instance, DOMAIN));
}

test("planRecovery() spreads the probes of a small domain", () => {
  const probes = planAll(4).map((
    { firstProbeMs, probePeriodMs },
  ) => [firstProbeMs, probePeriodMs]);
  assert.equal(probes, [[0, 1_000], [500, 1_000], [0, 2_000], [1_000, 2_000]]);
});

// Guards against calls to a store that is away which grow with the fleet.
test("planRecovery() keeps the rate of probes the same for any size of a domain", () => {
  const ratesPerS = [8, 31, 343].map((size) =>
    planAll(size).reduce(
      (sum, { probePeriodMs }) => sum + MS_PER_S / probePeriodMs,
      0,
    ).toFixed(3)
  );
  assert.equal(ratesPerS, ["3.500", "3.500", "3.500"]);
});

test("planRecovery() has four daemons asked, and never the asking one", () => {
  const plans = planAll(31);
  const askedBy = (index: number) =>
    plans[index]!.sources.map(({ instance }) => instance);
  assert.equal([askedBy(0), askedBy(30)], [
    ["a-1", "a-2", "a-3"],
    ["a-0", "a-1", "a-2", "a-3"],
  ]);
});

test("planRecovery() lets a daemon that knows nobody probe as the first one does", () => {
  assert.equal(planRecovery([], "a-0", DOMAIN), {
    sources: [],
    holdMs: 600,
    firstProbeMs: 0,
    probePeriodMs: 1_000,
  });
});

test.run();
