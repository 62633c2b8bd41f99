import { randomBytes } from "node:crypto";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { create } from "@bufbuild/protobuf";
import { NaivePoller } from "../fakes/naive_poller.ts";
import {
  type Member,
  MemberSchema,
  MemberState,
} from "../src/protocol/gen/sesamepond/v1/fleet_pb.ts";
import { FleetClients } from "../src/transport/control/fleet_client.ts";
import { PeerAuth } from "../src/transport/control/peer_auth.ts";
import { bigSource } from "../testkit/big_config.ts";
import { call } from "../testkit/caller.ts";
import { FLEET_KEYS } from "../testkit/daemon_process.ts";
import { fetchLiveMembers, type Fleet } from "../testkit/fleet.ts";
import {
  median,
  round,
  summarize,
  type Summary,
} from "../testkit/statistics.ts";
import { until } from "../testkit/until.ts";

/** Period of configuration changes at 7,300 per day, in ms. */
const CHANGE_PERIOD_MS = 11_800;
/** Length of the control measurement, in ms. */
const CONTROL_MS = 3 * CHANGE_PERIOD_MS;
/** Number of accepted changes in the convergence measurement. */
const CHANGES = 8;
/** Length of the store outage, in ms. */
const OUTAGE_MS = 3_000;
/** Number of members expected in two years. */
const MEMBERS = 2_400;
/** Number of naive pollers, which run in this process. */
const POLLERS = 12;
/** Period of the polls of a naive poller, in ms. */
const POLL_PERIOD_MS = 1_000;

let revision = 0;

/**
 * Accepts a change and returns the delay until its adoption by each daemon.
 *
 * @param fleet The fleet.
 * @param fromMs Start of the delays; the time of acceptance by default.
 */
async function measureChangeDelays(
  fleet: Fleet,
  fromMs?: number,
): Promise<number[]> {
  const head = await fleet.accept(bigSource(++revision));
  await fleet.waitForVersion(head.version, 30_000);
  const pages = await Promise.all(
    fleet.instances.map(({ daemon }) =>
      daemon.fetchPage<{ adoptedAtMs: number }>("/version")
    ),
  );
  const startMs = fromMs ?? head.acceptedAtMs;
  return pages.map((page) => Math.max(0, page.adoptedAtMs - startMs));
}

/** Measures the time from the acceptance of a change to its adoption. */
export async function measureConvergence(fleet: Fleet): Promise<unknown> {
  const healthyMs: number[] = [];
  for (let change = 0; change < CHANGES; change++) {
    healthyMs.push(...await measureChangeDelays(fleet));
    await sleep(300);
  }
  return {
    healthy: summarize(healthyMs),
    naive: await measureNaiveConvergence(fleet),
    storeOutage: await measureStoreOutage(fleet),
    cutDomain: await measurePartitionedDomain(fleet),
  };
}

async function measureNaiveConvergence(fleet: Fleet): Promise<Summary> {
  const pollers = Array.from(
    { length: POLLERS },
    () => new NaivePoller(fleet.storeAddress, POLL_PERIOD_MS),
  );
  for (const poller of pollers) {
    await poller.poll();
    poller.start();
    await sleep(POLL_PERIOD_MS / POLLERS);
  }
  const delaysMs: number[] = [];
  for (let change = 0; change < 3; change++) {
    const head = await fleet.accept(bigSource(++revision));
    await until(
      () => pollers.every((poller) => poller.version >= head.version),
      "all pollers hold the version",
    );
    delaysMs.push(
      ...pollers.map((poller) => poller.adoptedAtMs - head.acceptedAtMs),
    );
  }
  await Promise.all(pollers.map((poller) => poller.stop()));
  return summarize(delaysMs);
}

/** Measures convergence when the store goes down right after the acceptance. */
async function measureStoreOutage(fleet: Fleet): Promise<Summary> {
  const head = await fleet.accept(bigSource(++revision));
  fleet.store.goDown();
  const restored = sleep(OUTAGE_MS).then(() => fleet.store.comeBack());
  await fleet.waitForVersion(head.version, 30_000);
  await restored;
  const pages = await Promise.all(
    fleet.instances.map(({ daemon }) =>
      daemon.fetchPage<{ adoptedAtMs: number }>("/version")
    ),
  );
  return summarize(
    pages.map((page) => Math.max(0, page.adoptedAtMs - head.acceptedAtMs)),
  );
}

/**
 * Measures how fast a failure domain adopts a change after a partition from
 * the other domains and the store heals.
 */
async function measurePartitionedDomain(fleet: Fleet): Promise<unknown> {
  const domain = fleet.instances[0]!.daemon.plan.domain;
  fleet.cutDomain(domain);
  fleet.cutFromStore(domain);
  const head = await fleet.accept(bigSource(++revision));
  const outside = fleet.instances.filter((instance) =>
    instance.daemon.plan.domain !== domain
  );
  await Promise.all(
    outside.map((instance) => instance.daemon.waitForVersion(head.version)),
  );
  const healedAtMs = Date.now();
  fleet.heal();
  const inside = fleet.inDomain(domain);
  await Promise.all(
    inside.map((instance) =>
      instance.daemon.waitForVersion(head.version, 30_000)
    ),
  );
  const delaysMs = await Promise.all(inside.map(async ({ daemon }) => {
    const page = await daemon.fetchPage<{ adoptedAtMs: number }>("/version");
    return Math.max(0, page.adoptedAtMs - healedAtMs);
  }));
  return { afterHealing: summarize(delaysMs) };
}

/** Resource usage of a daemon since its start. */
interface DaemonUsage {
  readonly cpuMs: number;
  readonly controlBytes: number;
  readonly storeCalls: number;
  readonly residentBytes: number;
}

async function readUsage(fleet: Fleet): Promise<DaemonUsage[]> {
  return await Promise.all(
    fleet.instances.map(({ daemon }) =>
      daemon.fetchPage<DaemonUsage>("/statistics")
    ),
  );
}

/** Measures the control cost of a daemon while changes are accepted. */
export async function measureControl(fleet: Fleet): Promise<unknown> {
  await addSyntheticMembers(fleet);
  const naive = new NaivePoller(fleet.storeAddress, POLL_PERIOD_MS);
  await naive.poll();
  naive.start();
  const naiveBefore = { bytes: naive.meter.bytes, calls: naive.calls };
  const before = await readUsage(fleet);
  const startMs = performance.now();
  while (performance.now() - startMs < CONTROL_MS) {
    await fleet.accept(bigSource(++revision));
    await sleep(CHANGE_PERIOD_MS);
  }
  const elapsedS = (performance.now() - startMs) / 1_000;
  const after = await readUsage(fleet);
  const naiveAfter = { bytes: naive.meter.bytes, calls: naive.calls };
  await naive.stop();
  const rates = (selectValue: (usage: DaemonUsage) => number) =>
    after.map((usage, index) =>
      (selectValue(usage) - selectValue(before[index]!)) / elapsedS
    );
  const cpu = rates((usage) => usage.cpuMs / 10);
  const bytes = rates((usage) => usage.controlBytes);
  const calls = rates((usage) => usage.storeCalls);
  const resident = after.map((usage) => usage.residentBytes / 1024 ** 2);
  return {
    members: MEMBERS + fleet.instances.length,
    cpuPercent: { median: round(median(cpu)), max: round(Math.max(...cpu)) },
    bytesPerS: {
      median: Math.round(median(bytes)),
      max: Math.round(Math.max(...bytes)),
    },
    residentMb: {
      median: Math.round(median(resident)),
      max: Math.round(Math.max(...resident)),
    },
    storeCallsPerS: round(calls.reduce((sum, rate) => sum + rate, 0)),
    naive: {
      bytesPerS: Math.round(
        (naiveAfter.bytes - naiveBefore.bytes) / elapsedS,
      ),
      storeCallsPerS: round(
        fleet.instances.length * (naiveAfter.calls - naiveBefore.calls) /
          elapsedS,
      ),
    },
  };
}

/** Adds as many synthetic members as are expected in two years. */
async function addSyntheticMembers(fleet: Fleet): Promise<void> {
  const auth = new PeerAuth(FLEET_KEYS);
  const clients = new FleetClients(() => auth.token("bench", Date.now()));
  const { daemon } = fleet.instances[0]!;
  const [host, port] = daemon.control.split(":") as [string, string];
  const members: Member[] = Array.from(
    { length: MEMBERS },
    (_, number) =>
      create(MemberSchema, {
        id: `synthetic-${number}-${randomBytes(4).toString("hex")}`,
        instance: `synthetic-${number}`,
        domain: "synthetic",
        // The address of a real daemon, which responds under another id, so
        // that probes cost as much as a real exchange.
        host,
        controlPort: Number(port),
        peerPort: 1,
        service: `service-${number % 89}`,
        state: MemberState.ALIVE,
        incarnation: 1,
        backendReady: true,
        slots: 20,
      }),
  );
  for (const { daemon } of fleet.instances) {
    const result = await clients.call(
      daemon.control,
      "exchange",
      (peer, options) => peer.exchange({ gossip: { members } }, options),
      { timeoutMs: 10_000 },
    );
    if (result.isErr()) throw result.error;
  }
  clients.close();
  // Waits until the gossip about the new members has spread, so that the
  // measurement excludes it.
  await sleep(10_000);
}

/** Measures the recovery after a third of all daemons is killed at once. */
export async function measureChurn(fleet: Fleet): Promise<unknown> {
  const killed = fleet.instances.filter((_, index) => index % 3 === 0);
  const survivors = fleet.instances.filter((_, index) => index % 3 !== 0);
  const callsBefore = { ...fleet.store.counts };
  fleet.store.counts.peakPerSecond = 0;
  let isOver = false;
  const lookups = callUntilOver(survivors, () => isOver);
  await Promise.all(killed.map(({ daemon }) => daemon.child.kill()));
  const startMs = performance.now();
  for (const { daemon } of killed) daemon.restart();
  const version = await survivors[0]!.daemon.fetchVersion();
  await Promise.all(
    killed.map(({ daemon }) => daemon.waitForVersion(version, 60_000)),
  );
  const versionMs = performance.now() - startMs;
  await Promise.all(fleet.instances.map(({ daemon }) =>
    until(
      async () =>
        (await fetchLiveMembers(daemon))
          .filter((member) => member.domain !== "synthetic").length ===
          fleet.instances.length,
      `${daemon.plan.instance} knows the fleet`,
      60_000,
    )
  ));
  const membersMs = performance.now() - startMs;
  isOver = true;
  const responses = await lookups;
  const executions = await Promise.all(
    fleet.ofService("order").map(({ backend }) => backend!.executions()),
  );
  const misrouted = executions.flat().filter((execution) =>
    execution.path.startsWith("/lookup")
  );
  return {
    killed: killed.length,
    versionMs: Math.round(versionMs),
    membersMs: Math.round(membersMs),
    storeCallsPeakPerS: fleet.store.counts.peakPerSecond,
    storeCalls: fleet.store.counts.reads + fleet.store.counts.writes -
      callsBefore.reads - callsBefore.writes,
    lookups: responses.length,
    served: responses.filter((response) => response.status === 200).length,
    wrongRoutes: misrouted.length,
  };
}

async function callUntilOver(
  instances: Fleet["instances"],
  isOver: () => boolean,
) {
  const responses = [];
  for (let number = 0; !isOver(); number++) {
    const { daemon } = instances[number % instances.length]!;
    responses.push(await call(daemon.ingress, `/lookup/${number}`));
    await sleep(20);
  }
  return responses;
}
