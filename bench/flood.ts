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
  type Deployment,
  DEPLOYMENTS,
  domainsOf,
  sourceOf,
} from "./deployments.ts";

/** Time that a backend server takes for a request, in ms. */
const SERVICE_MS = 100;
/** Time within which an answer counts, in ms. */
const DEADLINE_MS = 1_000;
/** Length of one flood, in ms. */
const FLOOD_MS = 6_000;
/** Naive proxies that share the load. */
const NAIVE_PROXIES = 3;

/** Load of each rank as a multiple of the service's capacity. */
type Offered = Readonly<Record<Rank, number>>;

/** Others offer more than their share, so that its use can be seen. */
const FLOODS: Readonly<Record<string, Offered>> = {
  none: { urgent: 0.4, standard: 0.2, bulk: 0.2 },
  bulk3: { urgent: 0.4, standard: 0.2, bulk: 3 },
  bulk10: { urgent: 0.4, standard: 0.2, bulk: 10 },
  urgent3: { urgent: 3, standard: 0.35, bulk: 0.35 },
  urgent10: { urgent: 10, standard: 0.35, bulk: 0.35 },
};

/** Measures what each rank keeps while one of them floods a service. */
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
    source: sourceOf(deployment),
    settings: PRODUCTION_SETTINGS,
    isBackendInProcess: false,
    // The way of a call has no proxies but the daemons.
    isProxied: false,
    behaviour: { serviceMs: SERVICE_MS, slots: deployment.slots },
    domains: domainsOf(deployment),
  });
  const naive = await NaiveFleet.start(deployment);
  try {
    const ingresses = fleet.instances.map(({ daemon }) => daemon.ingress);
    const results: Record<string, unknown> = {};
    const only = process.env.BENCH_FLOODS?.split(",");
    for (const [name, offered] of Object.entries(FLOODS)) {
      if (only !== undefined && !only.includes(name)) continue;
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
  offered: Offered,
  ingresses: readonly string[],
): Promise<unknown> {
  const capacity = deployment.servers.urgent * deployment.slots *
    1_000 / SERVICE_MS;
  const ranks = await Promise.all(RANKS.map(async (rank) => {
    const ratePerSecond = offered[rank] * capacity;
    const plan = { ratePerSecond, durationMs: FLOOD_MS };
    const answers = await openLoop(plan, (number) => {
      const ingress = ingresses[number % ingresses.length]!;
      return call(ingress, `/shared/${rank}/${number}`, {
        timeoutMs: 3 * DEADLINE_MS,
      });
    });
    const guaranteed = deployment.shares[rank] * capacity;
    return [rank, judge(answers, { ratePerSecond, guaranteed })] as const;
  }));
  return Object.fromEntries(ranks);
}

function judge(
  answers: readonly CallResponse[],
  rates: { ratePerSecond: number; guaranteed: number },
) {
  const good = answers.filter((answer) =>
    answer.status === 200 && answer.latencyMs <= DEADLINE_MS
  );
  const goodPerS = good.length / (FLOOD_MS / 1_000);
  const due = Math.min(rates.ratePerSecond, rates.guaranteed);
  return {
    offeredPerS: Math.round(rates.ratePerSecond),
    goodPerS: round(goodPerS),
    inDeadline: round(good.length / answers.length),
    ofGuaranteed: round(goodPerS / due),
    p99Ms: summarize(good.map((answer) => answer.latencyMs)).p99Ms,
  };
}

/** Naive proxies before backend servers of their own. */
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
