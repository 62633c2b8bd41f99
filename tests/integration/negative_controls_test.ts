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

/** Time after which log lines have been written, in ms. */
const LOG_MS = 500;

/** Runs a fleet whose daemons all break one promise. */
async function withBroken(
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

/** The sample configuration with one more route. */
function sourceWithRoute(): ConfigSource {
  const base = sampleBase();
  base.routes.more = { pathPrefix: "/more", service: "lookup" };
  return sampleSource(base);
}

/** Waits until each of two daemons holds its two claim partitions. */
async function claimsAreSpread(fleet: Fleet): Promise<void> {
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
  await withBroken("claims", ["order", "order"], async (fleet) => {
    // Before, an order may be refused for want of a holder, and run once only.
    await claimsAreSpread(fleet);
    const key = createIdempotencyKey();
    for (const { daemon } of fleet.instances) {
      const answer = await placeOrder(daemon.ingress, key);
      assert.is(answer.status, 200, answer.reason);
    }
    const broken = checkAtMostOnce(await fleet.executions());
    assert.equal(broken, [`${key} ran 2 times`]);
  });
});

test("checkNotRun() fails daemons that settle every request as not run", async () => {
  await withBroken("ledger", ["order", ""], async (fleet) => {
    const [server, ingress] = fleet.instances;
    // Before, a claim may wait and not run in time.
    await claimsAreSpread(fleet);
    await placeOrder(ingress!.daemon.ingress, createIdempotencyKey());
    const path = "/order/sleep/1500";
    const sentAtMs = Date.now();
    const answering = placeOrder(
      ingress!.daemon.ingress,
      createIdempotencyKey(),
      { path },
    );
    await sleep(300);
    // New connections are silent too, so that no further attempt arrives.
    server!.daemon.peerProxy.set({ kind: "silence" });
    const answer = await answering;
    await sleep(1_500);
    const records = [{ answer, path, sentAtMs }];
    assert.is(checkNotRun(records, await fleet.executions()).length, 1);
  });
});

test("checkLeftAlone() fails daemons that keep their leaving to themselves", async () => {
  await withBroken("leaving", ["lookup", ""], async (fleet) => {
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

test("checkOwnAnswers() fails daemons that change answers", async () => {
  await withBroken("answers", ["lookup"], async (fleet) => {
    const path = "/lookup/echo";
    const answer = await call(fleet.instances[0]!.daemon.ingress, path, {
      method: "POST",
      body: "mine",
    });
    const records = [{ answer, path, sentAtMs: 0, expected: "mine" }];
    assert.is(checkResponseBodies(records).length, 1);
  });
});

test("checkVersionsRise() fails daemons that forget what they held", async () => {
  await withBroken("versions", [""], async (fleet) => {
    const { daemon } = fleet.instances[0]!;
    const backup = fleet.store.data.backup();
    await sleep(2_500);
    await fleet.accept(sourceWithRoute());
    await sleep(1_000);
    fleet.store.data.restore(backup);
    await sleep(1_500);
    assert.ok(checkVersionsMonotonic(daemon.adoptions()).length > 0);
  });
});

test("checkApproved() fails daemons that adopt a version in part", async () => {
  await withBroken("approved", ["lookup"], async (fleet) => {
    const head = await fleet.accept(sourceWithRoute());
    await fleet.waitForVersion(head.version);
    await sleep(LOG_MS);
    assert.is(
      checkAcceptedDigests(fleet.adoptions(), fleet.accepted).length,
      1,
    );
  });
});

test("checkRoutesLead() fails daemons that send calls to any server", async () => {
  await withBroken("routes", ["lookup", "proof"], async (fleet) => {
    const { daemon } = fleet.instances[0]!;
    for (let number = 0; number < 40; number++) {
      await call(daemon.ingress, `/lookup/${number}`);
    }
    await sleep(LOG_MS);
    const services = await fetchServicesById(daemon);
    assert.ok(checkDispatchTargets(fleet.dispatches(), services).length > 0);
  });
});

test("checkNothingCut() fails daemons that end at once", async () => {
  await withBroken("stopping", ["lookup"], async (fleet) => {
    const { daemon } = fleet.instances[0]!;
    const path = "/lookup/sleep/1500";
    const answering = call(daemon.ingress, path);
    await sleep(300);
    daemon.child.signal("SIGTERM");
    const records = [{ answer: await answering, path, sentAtMs: 0 }];
    assert.is(checkNoInterruptions(records).length, 1);
  });
});

test("checkInForce() fails daemons that keep their first version", async () => {
  await withBroken("force", ["lookup"], async (fleet) => {
    const head = await fleet.accept(sourceWithRoute());
    await sleep(2_000);
    const broken = checkAdoptionDelays(
      fleet.adoptions(),
      { version: head.version, atMs: head.acceptedAtMs },
      { instances: ["east-lookup-0"], withinMs: 13_000 },
    );
    assert.equal(broken, ["east-lookup-0 never held version 2"]);
  });
});

test.run();
