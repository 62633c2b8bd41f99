import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Fault } from "../../fakes/fault_proxy.ts";
import { checkAdoptionDelays } from "../../testkit/checkers.ts";
import { Fleet } from "../../testkit/fleet.ts";
import { sampleBase, sampleSource } from "../../testkit/sample_config.ts";

/** Time within which all daemons must adopt an accepted change, in ms. */
const MAX_ADOPTION_MS = 13_000;

let fleet: Fleet;
let revision = 0;

function createNextSource() {
  const base = sampleBase();
  revision++;
  base.routes[`r${revision}`] = {
    pathPrefix: `/r${revision}`,
    service: "lookup",
  };
  return sampleSource(base);
}

test.before(async () => {
  fleet = await Fleet.start({
    network: 18,
    source: createNextSource(),
    domains: [
      { name: "east", services: ["lookup", "", ""] },
      { name: "west", services: ["lookup", "", ""] },
      { name: "north", services: ["lookup", "", "", ""] },
    ],
  });
});

test.after(async () => {
  await fleet.close();
});

/** Absences of the store: its ways are silent, cut or slow, in ms. */
const ABSENCES: readonly { readonly fault: Fault; readonly awayMs: number }[] =
  [
    { fault: { kind: "silence" }, awayMs: 300 },
    { fault: { kind: "silence" }, awayMs: 6_000 },
    { fault: { kind: "silence" }, awayMs: 25_000 },
    { fault: { kind: "cut" }, awayMs: 25_000 },
    { fault: { kind: "delay", delayMs: 3_000 }, awayMs: 12_000 },
  ];

for (const { fault, awayMs } of ABSENCES) {
  // Guards against versions that are late everywhere: readers that go on waiting
  // for a store which is back.
  test(`all daemons adopt a version in time once the store is back from ${fault.kind} of ${awayMs} ms`, async () => {
    fleet.storeProxy.set(fault);
    await sleep(awayMs);
    fleet.heal();
    const head = await fleet.accept(createNextSource());
    await fleet.waitForVersion(head.version);
    // Log lines are written a moment later.
    await sleep(500);
    const broken = checkAdoptionDelays(
      fleet.adoptions(),
      { version: head.version, atMs: head.acceptedAtMs },
      {
        instances: fleet.instances.map(({ daemon }) => daemon.plan.instance),
        withinMs: MAX_ADOPTION_MS,
      },
    );
    assert.equal(broken, []);
  });
}

test.run();
