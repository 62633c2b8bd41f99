import { setTimeout as sleep } from "node:timers/promises";
import { create, toBinary } from "@bufbuild/protobuf";
import { request } from "undici";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PushConfigRequestSchema } from "../../src/protocol/gen/sesamepond/v1/fleet_pb.ts";
import { MAX_MESSAGE_BYTES } from "../../src/transport/control/fleet_client.ts";
import { PeerAuth } from "../../src/transport/control/peer_auth.ts";
import { FLEET_KEYS } from "../../testkit/daemon_process.ts";
import type { ConfigSource } from "../../src/state/resource_set.ts";
import { call } from "../../testkit/caller.ts";
import {
  checkAdoptionDelays,
  checkDispatchTargets,
} from "../../testkit/checkers.ts";
import {
  fetchLiveMembers,
  fetchServicesById,
  Fleet,
  startBackend,
} from "../../testkit/fleet.ts";
import {
  sampleBase,
  sampleService,
  sampleSource,
} from "../../testkit/sample_config.ts";
import { until } from "../../testkit/until.ts";

/** Time within which all daemons must adopt an accepted change, in ms. */
const MAX_ADOPTION_MS = 13_000;

let fleet: Fleet;
let revision = 0;

function createNextSource(): ConfigSource {
  const base = sampleBase();
  revision++;
  base.routes[`r${revision}`] = {
    pathPrefix: `/r${revision}`,
    service: "lookup",
  };
  return sampleSource(base);
}

function listInstanceNames(): string[] {
  return fleet.instances.map(({ daemon }) => daemon.plan.instance);
}

test.before(async () => {
  fleet = await Fleet.start({
    network: 12,
    source: createNextSource(),
    domains: [
      { name: "east", services: ["lookup", "", ""] },
      { name: "west", services: ["lookup", "", ""] },
      { name: "north", services: ["lookup", ""] },
    ],
  });
});

test.after.each(() => {
  assert.equal(fleet.checkVersions(), []);
});

test.after(async () => {
  await fleet.close();
});

test("all daemons adopt a version within seconds", async () => {
  const head = await fleet.accept(createNextSource());
  await fleet.waitForVersion(head.version);
  // Log lines are written a moment later.
  await sleep(500);
  const broken = checkAdoptionDelays(
    fleet.adoptions(),
    { version: head.version, atMs: head.acceptedAtMs },
    { instances: listInstanceNames(), withinMs: MAX_ADOPTION_MS },
  );
  assert.equal(broken, []);
});

test("routes lead to servers of their service while routes, services and servers are added and removed", async () => {
  const [instance] = fleet.inDomain("west").slice(1);
  const fetchStatuses = async () =>
    await Promise.all(
      fleet.instances.map(async ({ daemon }) =>
        (await call(daemon.ingress, "/extra/1")).status
      ),
    );
  const services = new Map<string, string>();
  const recordServices = async () => {
    const current = await fetchServicesById(instance!.daemon);
    for (const [id, service] of current) services.set(id, service);
  };
  const base = sampleBase();
  base.services.extra = sampleService();
  base.routes.extra = { pathPrefix: "/extra", service: "extra" };
  const added = await fleet.accept(sampleSource(base));
  await fleet.waitForVersion(added.version);
  assert.equal(new Set(await fetchStatuses()), new Set([503]));
  instance!.backend = await startBackend(instance!.daemon, "extra");
  await fleet.waitForConvergence();
  await recordServices();
  assert.equal(new Set(await fetchStatuses()), new Set([200]));
  const removed = await fleet.accept(createNextSource());
  await fleet.waitForVersion(removed.version);
  assert.equal(new Set(await fetchStatuses()), new Set([404]));
  await instance!.backend.close();
  instance!.backend = undefined;
  await fleet.waitForConvergence();
  // Log lines are written a moment later.
  await sleep(500);
  const dispatches = fleet.dispatches();
  assert.is(
    dispatches.filter(({ service }) => service === "extra").length,
    fleet.instances.length,
  );
  assert.equal(checkDispatchTargets(dispatches, services), []);
});

test("a version accepted just before a store outage is adopted after it", async () => {
  const head = await fleet.accept(createNextSource());
  fleet.store.goDown();
  await sleep(1_000);
  fleet.store.comeBack();
  await fleet.waitForVersion(head.version);
});

test("a domain that is cut from the store gets versions from other domains", async () => {
  fleet.cutFromStore("west");
  const head = await fleet.accept(createNextSource());
  await fleet.waitForVersion(head.version);
  fleet.heal();
});

test("a domain that is cut off keeps serving and catches up once the network is healed", async () => {
  fleet.cutDomain("north");
  fleet.cutFromStore("north");
  const head = await fleet.accept(createNextSource());
  const outside = fleet.instances.filter(({ daemon }) =>
    daemon.plan.domain !== "north"
  );
  await Promise.all(
    outside.map(({ daemon }) => daemon.waitForVersion(head.version)),
  );
  const [inside] = fleet.inDomain("north");
  const served = await call(inside!.daemon.ingress, "/lookup/1");
  assert.is(served.status, 200, served.reason);
  assert.ok(await inside!.daemon.fetchVersion() < head.version);
  fleet.heal();
  await fleet.waitForVersion(head.version);
  await fleet.waitForConvergence();
});

test("a watch that stops sending is replaced in time", async () => {
  fleet.store.faults.areWatchesSilent = true;
  const head = await fleet.accept(createNextSource());
  await fleet.waitForVersion(head.version, MAX_ADOPTION_MS);
  fleet.store.faults.areWatchesSilent = false;
});

test("corrupt store responses change nothing", async () => {
  const before = await fleet.instances[0]!.daemon.fetchVersion();
  fleet.store.faults.isCorrupt = true;
  await sleep(1_500);
  fleet.store.faults.isCorrupt = false;
  const versions = await Promise.all(
    fleet.instances.map(({ daemon }) => daemon.fetchVersion()),
  );
  assert.ok(versions.every((version) => version === before));
  const head = await fleet.accept(createNextSource());
  await fleet.waitForVersion(head.version);
});

test("a reader whose lease expires while it is paused is replaced, and catches up", async () => {
  let paused: typeof fleet.instances[0] | undefined;
  await until(async () => {
    paused = await findReader("east");
    return paused !== undefined;
  }, "the east domain has a reader");
  paused!.daemon.child.signal("SIGSTOP");
  await sleep(4_000);
  const head = await fleet.accept(createNextSource());
  const others = fleet.instances.filter((one) => one !== paused);
  await Promise.all(
    others.map(({ daemon }) => daemon.waitForVersion(head.version)),
  );
  paused!.daemon.child.signal("SIGCONT");
  await paused!.daemon.waitForVersion(head.version);
  await fleet.waitForConvergence();
});

async function findReader(domain: string) {
  const isReaderByInstance = new Map<string, boolean>();
  for (const member of await fetchLiveMembers(fleet.instances[0]!.daemon)) {
    const isReader = member.leasedSlots.some((slot) =>
      slot.startsWith(`slots/reader/${domain}/`)
    );
    isReaderByInstance.set(member.instance, isReader);
  }
  return fleet.inDomain(domain).find(({ daemon }) =>
    isReaderByInstance.get(daemon.plan.instance)
  );
}

test("a store restored from an old backup is reported and not followed", async () => {
  const backup = fleet.store.data.backup();
  const head = await fleet.accept(createNextSource());
  await fleet.waitForVersion(head.version);
  fleet.store.data.restore(backup);
  await until(
    () =>
      fleet.instances.some(({ daemon }) =>
        daemon.loggedEvents("store-behind-fleet").length > 0
      ),
    "a reader reports that the store is behind the fleet",
  );
  const versions = await Promise.all(
    fleet.instances.map(({ daemon }) => daemon.fetchVersion()),
  );
  assert.ok(versions.every((version) => version === head.version));
  // Two more changes bring the store ahead of the fleet again.
  await fleet.accept(createNextSource());
  fleet.accepted.set(head.version, head.digest);
  const later = await fleet.accept(createNextSource());
  await fleet.waitForVersion(later.version);
});

test("a daemon that restarts without the store does not go back to an older version", async () => {
  const head = await fleet.accept(createNextSource());
  await fleet.waitForVersion(head.version);
  fleet.store.goDown();
  const [{ daemon }] = fleet.inDomain("west") as [typeof fleet.instances[0]];
  await daemon.child.kill();
  daemon.restart();
  await sleep(1_500);
  const version = await daemon.fetchVersion();
  assert.ok(version === 0 || version === head.version, `holds ${version}`);
  fleet.store.comeBack();
  await daemon.waitForVersion(head.version);
});

test("malformed, oversized and unauthenticated control messages change nothing", async () => {
  const { daemon } = fleet.instances[0]!;
  const before = await daemon.fetchVersion();
  const send = async (body: Uint8Array, token?: string) => {
    const path = "/sesamepond.v1.Fleet/PushConfig";
    try {
      const response = await request(`http://${daemon.control}${path}`, {
        method: "POST",
        headers: {
          "content-type": "application/proto",
          ...(token === undefined ? {} : { "x-sesamepond-peer": token }),
        },
        body,
      });
      await response.body.dump();
      return response.statusCode;
    } catch {
      return 0;
    }
  };
  const token = new PeerAuth(FLEET_KEYS).token("test", Date.now());
  const forged = create(PushConfigRequestSchema, {
    version: 999,
    digest: "0".repeat(64),
  });
  const statuses = [
    await send(toBinary(PushConfigRequestSchema, forged)),
    await send(toBinary(PushConfigRequestSchema, forged), "k1.0.a.b"),
    await send(new Uint8Array(100).fill(255), token),
    await send(new Uint8Array(MAX_MESSAGE_BYTES + 1), token),
  ];
  assert.equal(statuses.map((status) => status === 200), Array(4).fill(false));
  assert.is(await daemon.fetchVersion(), before);
  const head = await fleet.accept(createNextSource());
  await fleet.waitForVersion(head.version);
});

test("many daemons that are killed and restart rejoin the fleet within the store's call budget", async () => {
  const killed = fleet.instances.filter((_, index) => index % 2 === 0);
  fleet.store.counts.peakPerSecond = 0;
  await Promise.all(killed.map(({ daemon }) => daemon.child.kill()));
  for (const { daemon } of killed) daemon.restart();
  await fleet.waitForConvergence(30_000);
  const head = await fleet.accept(createNextSource());
  await fleet.waitForVersion(head.version);
  assert.is(fleet.store.counts.refusedByBudget, 0);
});

test.run();
