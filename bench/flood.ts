import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { Rank, RANKS } from "../src/protocol/rank.ts";
import { BackendProcess } from "../testkit/backend_process.ts";
import { call, type CallResponse } from "../testkit/caller.ts";
import { Child } from "../testkit/child.ts";
import { PRODUCTION_SETTINGS } from "../testkit/daemon_process.ts";
import { distFile } from "../testkit/dist_file.ts";
import { Fleet } from "../testkit/fleet.ts";
import { openLoop } from "../testkit/open_loop.ts";
import { round, summarize } from "../testkit/statistics.ts";
import {
  createSource,
  type Deployment,
  DEPLOYMENTS,
  planDomains,
} from "./deployments.ts";

/** Time that a backend server takes for a request, in ms. */
const SERVICE_MS = 100;
/** Maximum latency of a response that counts as goodput, in ms. */
const DEADLINE_MS = 1_000;
/** Length of a flood, in ms. */
const FLOOD_MS = 6_000;
/** Number of naive proxies that share the load. */
const NAIVE_PROXIES = 3;

/** Load of each rank as a multiple of the service's capacity. */
type OfferedLoad = Readonly<Record<Rank, number>>;

/**
 * Loads by name of the flood. When the urgent rank floods, the others offer
 * more than their shares, so that the result shows whether they get them.
 */
const FLOODS: Readonly<Record<string, OfferedLoad>> = {
  none: { urgent: 0.4, standard: 0.2, bulk: 0.2 },
  bulk3: { urgent: 0.4, standard: 0.2, bulk: 3 },
  bulk10: { urgent: 0.4, standard: 0.2, bulk: 10 },
  urgent3: { urgent: 3, standard: 0.35, bulk: 0.35 },
  urgent10: { urgent: 10, standard: 0.35, bulk: 0.35 },
};

/** Measures the goodput of each rank while one of them floods a service. */
export async function benchFlood(): Promise<unknown> {
  const results: Record<string, unknown> = {};
  for (const deployment of DEPLOYMENTS) {
    results[deployment.name] = await measure(deployment);
  }
  return results;
}

async function measure(deployment: Deployment): Promise<unknown> {
  const fleet = await Fleet.start({
    network: 51,
    source: createSource(deployment),
    settings: PRODUCTION_SETTINGS,
    isBackendInProcess: false,
    // Calls pass through no proxies other than the daemons.
    isProxied: false,
    behaviour: { serviceMs: SERVICE_MS, slots: deployment.slots },
    domains: planDomains(deployment),
  });
  const naive = await NaiveFleet.start(deployment);
  try {
    const ingresses = fleet.instances.map(({ daemon }) => daemon.ingress);
    const results: Record<string, unknown> = {};
    const selected = process.env.BENCH_FLOODS?.split(",");
    for (const [name, offered] of Object.entries(FLOODS)) {
      if (selected !== undefined && !selected.includes(name)) continue;
      results[name] = {
        ours: await flood(deployment, offered, ingresses),
        naive: await flood(deployment, offered, naive.addresses),
      };
      process.stderr.write(
        `${deployment.name} ${name} ${JSON.stringify(results[name])}\n`,
      );
      await sleep(1_500);
    }
    return results;
  } finally {
    await fleet.close();
    await naive.close();
  }
}

async function flood(
  deployment: Deployment,
  offered: OfferedLoad,
  ingresses: readonly string[],
): Promise<unknown> {
  const capacity = deployment.servers.urgent * deployment.slots *
    1_000 / SERVICE_MS;
  const ranks = await Promise.all(RANKS.map(async (rank) => {
    const ratePerSecond = offered[rank] * capacity;
    const plan = { ratePerSecond, durationMs: FLOOD_MS };
    const responses = await openLoop(plan, (number) => {
      const ingress = ingresses[number % ingresses.length]!;
      return call(ingress, `/shared/${rank}/${number}`, {
        timeoutMs: 3 * DEADLINE_MS,
      });
    });
    const guaranteedPerS = deployment.shares[rank] * capacity;
    return [
      rank,
      summarizeRank(responses, { ratePerSecond, guaranteed: guaranteedPerS }),
    ] as const;
  }));
  return Object.fromEntries(ranks);
}

function summarizeRank(
  responses: readonly CallResponse[],
  rates: { ratePerSecond: number; guaranteed: number },
) {
  const inTime = responses.filter((response) =>
    response.status === 200 && response.latencyMs <= DEADLINE_MS
  );
  const goodPerS = inTime.length / (FLOOD_MS / 1_000);
  const duePerS = Math.min(rates.ratePerSecond, rates.guaranteed);
  return {
    offeredPerS: Math.round(rates.ratePerSecond),
    goodPerS: round(goodPerS),
    inDeadline: round(inTime.length / responses.length),
    ofGuaranteed: round(goodPerS / duePerS),
    p99Ms: summarize(inTime.map((response) => response.latencyMs)).p99Ms,
  };
}

/** Naive proxies with their own backend servers. */
class NaiveFleet {
  readonly addresses: string[] = [];
  readonly #backends: BackendProcess[] = [];
  readonly #proxies: Child[] = [];

  static async start(deployment: Deployment): Promise<NaiveFleet> {
    const fleet = new NaiveFleet();
    for (let server = 0; server < deployment.servers.urgent; server++) {
      const behaviour = { serviceMs: SERVICE_MS, slots: deployment.slots };
      fleet.#backends.push(await BackendProcess.start("any", "", behaviour));
    }
    const addresses = fleet.#backends.map(({ port }) => `127.0.0.1:${port}`);
    for (let proxy = 0; proxy < NAIVE_PROXIES; proxy++) {
      const child = new Child([
        distFile("fakes/naive_main.js"),
        JSON.stringify({ "/": addresses }),
      ]);
      fleet.#proxies.push(child);
      fleet.addresses.push(`127.0.0.1:${await child.waitForPort()}`);
    }
    return fleet;
  }

  async close(): Promise<void> {
    await Promise.all([
      ...this.#backends.map((backend) => backend.close()),
      ...this.#proxies.map((proxy) => proxy.kill()),
    ]);
  }
}
