import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { StoreFault } from "../../platform/fakes/kv_server.ts";
import { RECORD_PREFIX } from "../../src/sidecar/backend_record_codec.ts";
import { ROLLOUT_PREFIX } from "../../src/sidecar/rollout_codec.ts";
import {
  ERA_CONFIG_KEY,
  ERA_SERVICE,
  EraFleet,
} from "../../testkit/era_fleet.ts";
import { until } from "../../testkit/until.ts";

/** Numbers of daemons. */
const SIZES = [10, 64];
/** Long enough for any machine, in ms. */
const TIMEOUT_MS = 60_000;
/** More keys than are written before the store is restored. */
const FILLERS = 1_000;
/** Longer than a removed record may stay unnoticed, in ms. */
const SETTLED_MS = 4_000;
const ORDER_KEY = `op/rollout/${ERA_SERVICE}`;
const STATUS_KEY = `status/rollout/${ERA_SERVICE}`;

const waitFor = (check: () => boolean, description: string) =>
  until(check, description, TIMEOUT_MS);

function recordKeys(fleet: EraFleet): string[] {
  return fleet.daemons.map(({ record }) => RECORD_PREFIX + record.instance);
}

/** Whether all daemons know each other and the version. */
function isSettled(fleet: EraFleet, version: number): boolean {
  const { daemons } = fleet;
  return daemons.every(({ routes, directory }) =>
    routes.version === version && directory.size === daemons.length
  ) && recordKeys(fleet).every((key) => fleet.store.hasLease(key));
}

const order = (version: string) =>
  JSON.stringify({
    Service: ERA_SERVICE,
    TargetVersion: version,
    DurationS: 600,
  });

function statusOf(fleet: EraFleet): string {
  const { TargetVersion, State } = JSON.parse(
    fleet.store.get(STATUS_KEY) ?? "{}",
  );
  return `${TargetVersion} ${State}`;
}

/** Defines a test for a small and a large fleet. */
function testFleet(
  name: string,
  run: (fleet: EraFleet) => Promise<void>,
): void {
  for (const size of SIZES) {
    test(`${size} daemons: ${name}`, async () => {
      const fleet = await EraFleet.start(size, 1);
      try {
        await run(fleet);
      } finally {
        await fleet.stop();
      }
    });
  }
}

testFleet("no daemon returns to an older configuration", async (fleet) => {
  const { store, daemons } = fleet;
  store.put(ERA_CONFIG_KEY, "7");
  await waitFor(() => isSettled(fleet, 7), "version 7");
  const copy = store.copy();
  store.put(ERA_CONFIG_KEY, "9");
  await waitFor(() => isSettled(fleet, 9), "version 9");
  store.fault = StoreFault.Unavailable;
  store.restore(copy);
  store.fault = StoreFault.None;
  await waitFor(() => isSettled(fleet, 9), "the records are back");
  store.put(ERA_CONFIG_KEY, "9");
  store.put(ERA_CONFIG_KEY, "10");
  await waitFor(() => isSettled(fleet, 10), "version 10");
  const decreases = daemons.filter(({ adopted }) =>
    adopted.some((version, index) => version <= (adopted[index - 1] ?? 0))
  );
  assert.equal(decreases.length, 0);
});

testFleet(
  "each record is written again once, and no daemon is dropped",
  async (fleet) => {
    const { store, daemons } = fleet;
    await waitFor(() => isSettled(fleet, 1), "the first records");
    const copy = store.copy();
    store.fault = StoreFault.Unavailable;
    store.restore(copy);
    fleet.written.length = 0;
    store.fault = StoreFault.None;
    await waitFor(() => isSettled(fleet, 1), "the records are back");
    await sleep(SETTLED_MS);
    assert.equal({
      written: [...fleet.written].sort(),
      removed: daemons.flatMap(({ removed }) => removed),
    }, { written: recordKeys(fleet).sort(), removed: [] });
  },
);

// Guards against records that stay for ever under a lease which does not
// exist, and against leases that meanwhile belong to others.
testFleet(
  "records that the copy has get a new lease",
  async (fleet) => {
    const { store } = fleet;
    await waitFor(() => isSettled(fleet, 1), "the first records");
    const copy = store.copy();
    store.fault = StoreFault.Unavailable;
    store.restore(copy, { keepsLeasedKeys: true });
    fleet.written.length = 0;
    store.fault = StoreFault.None;
    await waitFor(() => isSettled(fleet, 1), "the records have leases");
    await sleep(SETTLED_MS);
    assert.equal([...fleet.written].sort(), recordKeys(fleet).sort());
  },
);

// Guards against daemons that come back from the copy for ever.
testFleet("a daemon that is gone is removed", async (fleet) => {
  const { store, daemons } = fleet;
  await waitFor(() => isSettled(fleet, 1), "the first records");
  const copy = store.copy();
  const [gone, ...others] = daemons;
  gone!.stop();
  store.fault = StoreFault.Unavailable;
  store.restore(copy, { keepsLeasedKeys: true });
  store.fault = StoreFault.None;
  await waitFor(
    () => others.every(({ directory }) => directory.size === others.length),
    "the daemon is removed",
  );
  const removed = new Set(others.flatMap((daemon) => daemon.removed));
  assert.equal([...removed], [gone!.record.instance]);
});

// Guards against a watch that goes on from a revision which the store has
// assigned again: what was written before that revision is never seen.
testFleet(
  "revisions that are assigned again hide no write",
  async (fleet) => {
    const { store } = fleet;
    const copy = store.copy();
    await waitFor(() => isSettled(fleet, 1), "the first records");
    store.fault = StoreFault.Unavailable;
    store.restore(copy);
    store.put(ERA_CONFIG_KEY, "2");
    for (let count = 0; count < FILLERS; count++) {
      store.put(`op/filler/${count}`, "");
    }
    store.fault = StoreFault.None;
    await waitFor(() => isSettled(fleet, 2), "version 2");
  },
);

testFleet("a rollout that was finished remains finished", async (fleet) => {
  const { store } = fleet;
  await waitFor(() => isSettled(fleet, 1), "the first records");
  const copy = store.copy();
  store.put(ORDER_KEY, order("v1"));
  await waitFor(() => statusOf(fleet) === "v1 finished", "the rollout ends");
  await sleep(SETTLED_MS);
  store.fault = StoreFault.Unavailable;
  store.restore(copy);
  fleet.written.length = 0;
  store.fault = StoreFault.None;
  await waitFor(
    () => statusOf(fleet) === "v1 finished" && isSettled(fleet, 1),
    "the status is back",
  );
  store.put(ORDER_KEY, order("v1"));
  await sleep(SETTLED_MS);
  const writes = fleet.written.filter((key) =>
    key === ROLLOUT_PREFIX + ERA_SERVICE
  );
  assert.equal([writes.length, statusOf(fleet)], [1, "v1 finished"]);
});

// Guards against an order of the copy that takes the place of a later one
// which the operator has not written again yet.
testFleet("a later order is not replaced by the copy's", async (fleet) => {
  const { store } = fleet;
  store.put(ORDER_KEY, order("v1"));
  await waitFor(() => statusOf(fleet) === "v1 finished", "the rollout ends");
  await waitFor(() => isSettled(fleet, 1), "the first records");
  const copy = store.copy();
  store.put(ORDER_KEY, order("v2"));
  await waitFor(() => statusOf(fleet) === "v2 running", "the second order");
  await sleep(SETTLED_MS);
  store.fault = StoreFault.Unavailable;
  store.restore(copy);
  store.fault = StoreFault.None;
  await waitFor(
    () => statusOf(fleet) === "v2 running" && isSettled(fleet, 1),
    "the status is back",
  );
  await sleep(SETTLED_MS);
  assert.equal(statusOf(fleet), "v2 running");
});

test.run();
