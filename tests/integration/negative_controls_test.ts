import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  call,
  createIdempotencyKey,
  placeOrder,
} from "../../testkit/caller.ts";
import {
  checkAcceptedDigests,
  checkAdoptionDelays,
  checkAtMostOnce,
  checkDispatchTargets,
  checkNoDispatchesAfterLeaving,
  checkNoInterruptions,
  checkNotRun,
  checkResponseBodies,
  checkVersionsMonotonic,
} from "../../testkit/checkers.ts";
import type { ConfigSource } from "../../src/state/resource_set.ts";
import {
  fetchLiveMembers,
  fetchServicesById,
  Fleet,
} from "../../testkit/fleet.ts";
import { until } from "../../testkit/until.ts";
import { sampleBase, sampleSource } from "../../testkit/sample_config.ts";

/** Time within which log lines are written, in ms. */
const LOG_WRITE_MS = 500;

/** Runs a test on a fleet whose daemons all violate one guarantee. */
async function withBreakage(
  breakage: string,
  services: readonly string[],
  run: (fleet: Fleet) => Promise<void>,
): Promise<void> {
  const fleet = await Fleet.start({
    network: 14,
    source: sampleSource(),
    breakage,
    domains: [{ name: "east", services }],
  });
  try {
    await run(fleet);
  } finally {
    await fleet.close();
  }
}

/** Returns the sample configuration with one more route. */
function createSourceWithRoute(): ConfigSource {
  const base = sampleBase();
  base.routes.more = { pathPrefix: "/more", service: "lookup" };
  return sampleSource(base);
}

/** Waits until both daemons know that each holds two claim partitions. */
async function waitForClaimHolders(fleet: Fleet): Promise<void> {
  await Promise.all(fleet.instances.map(({ daemon }) =>
    until(async () => {
      const members = await fetchLiveMembers(daemon);
      return members.length === 2 && members.every(({ leasedSlots }) =>
        leasedSlots.filter((slot) => slot.includes("claims")).length === 2
      );
    }, `${daemon.plan.instance} knows the holders of the claim partitions`)
  ));
}

test("checkAtMostOnce() fails daemons that grant every claim", async () => {
  await withBreakage("claims", ["order", "order"], async (fleet) => {
    // Before that, an order may be refused because its partition has no holder,
    // and run only once.
    await waitForClaimHolders(fleet);
    const key = createIdempotencyKey();
    for (const { daemon } of fleet.instances) {
      const response = await placeOrder(daemon.ingress, key);
      assert.is(response.status, 200, response.reason);
    }
    const broken = checkAtMostOnce(await fleet.executions());
    assert.equal(broken, [`${key} ran 2 times`]);
  });
});

test("checkNotRun() fails daemons that report every request as not run", async () => {
  await withBreakage("ledger", ["order", ""], async (fleet) => {
    const [server, ingress] = fleet.instances;
    // Before that, a claim may wait and its order not run in time.
    await waitForClaimHolders(fleet);
    await placeOrder(ingress!.daemon.ingress, createIdempotencyKey());
    const path = "/order/sleep/1500";
    const sentAtMs = Date.now();
    const pending = placeOrder(
      ingress!.daemon.ingress,
      createIdempotencyKey(),
      { path },
    );
    await sleep(300);
    // Silences new connections too, so that no retry arrives.
    server!.daemon.peerProxy.set({ kind: "silence" });
    const answer = await pending;
    await sleep(1_500);
    const records = [{ answer, path, sentAtMs }];
    assert.is(checkNotRun(records, await fleet.executions()).length, 1);
  });
});

test("checkNoDispatchesAfterLeaving() fails daemons that do not announce their leaving", async () => {
  await withBreakage("leaving", ["lookup", ""], async (fleet) => {
    const [leaving, ingress] = fleet.instances;
    const { self: id } = await leaving!.daemon.fetchPage<{ self: string }>(
      "/members",
    );
    const sinceMs = Date.now();
    leaving!.daemon.child.signal("SIGTERM");
    await sleep(300);
    await call(ingress!.daemon.ingress, "/lookup/1");
    await sleep(300);
    const broken = checkNoDispatchesAfterLeaving(
      ingress!.daemon.dispatches(),
      { id, sinceMs },
      100,
    );
    assert.is(broken.length, 1);
  });
});

test("checkResponseBodies() fails daemons that change responses", async () => {
  await withBreakage("answers", ["lookup"], async (fleet) => {
    const path = "/lookup/echo";
    const answer = await call(fleet.instances[0]!.daemon.ingress, path, {
      method: "POST",
      body: "mine",
    });
    const records = [{ answer, path, sentAtMs: 0, expected: "mine" }];
    assert.is(checkResponseBodies(records).length, 1);
  });
});

test("checkVersionsMonotonic() fails daemons that adopt an older version", async () => {
  await withBreakage("versions", [""], async (fleet) => {
    const { daemon } = fleet.instances[0]!;
    const backup = fleet.store.data.backup();
    await sleep(2_500);
    await fleet.accept(createSourceWithRoute());
    await sleep(1_000);
    fleet.store.data.restore(backup);
    await sleep(1_500);
    assert.ok(checkVersionsMonotonic(daemon.adoptions()).length > 0);
  });
});

test("checkAcceptedDigests() fails daemons that adopt a version in part", async () => {
  await withBreakage("approved", ["lookup"], async (fleet) => {
    const head = await fleet.accept(createSourceWithRoute());
    await fleet.waitForVersion(head.version);
    await sleep(LOG_WRITE_MS);
    assert.is(
      checkAcceptedDigests(fleet.adoptions(), fleet.accepted).length,
      1,
    );
  });
});

test("checkDispatchTargets() fails daemons that send calls to any server", async () => {
  await withBreakage("routes", ["lookup", "proof"], async (fleet) => {
    const { daemon } = fleet.instances[0]!;
    for (let number = 0; number < 40; number++) {
      await call(daemon.ingress, `/lookup/${number}`);
    }
    await sleep(LOG_WRITE_MS);
    const services = await fetchServicesById(daemon);
    assert.ok(checkDispatchTargets(fleet.dispatches(), services).length > 0);
  });
});

test("checkNoInterruptions() fails daemons that exit at once", async () => {
  await withBreakage("stopping", ["lookup"], async (fleet) => {
    const { daemon } = fleet.instances[0]!;
    const path = "/lookup/sleep/1500";
    const pending = call(daemon.ingress, path);
    await sleep(300);
    daemon.child.signal("SIGTERM");
    const records = [{ answer: await pending, path, sentAtMs: 0 }];
    assert.is(checkNoInterruptions(records).length, 1);
  });
});

test("checkAdoptionDelays() fails daemons that keep their first version", async () => {
  await withBreakage("force", ["lookup"], async (fleet) => {
    const head = await fleet.accept(createSourceWithRoute());
    await sleep(2_000);
    const broken = checkAdoptionDelays(
      fleet.adoptions(),
      { version: head.version, atMs: head.acceptedAtMs },
      { instances: ["east-lookup-0"], withinMs: 13_000 },
    );
    assert.equal(broken, ["east-lookup-0 never adopted version 2"]);
  });
});

test.run();
