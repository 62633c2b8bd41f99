import { performance } from "node:perf_hooks";
import { Pool } from "undici";
import { Child } from "../testkit/child.ts";
import { distFile } from "../testkit/dist_file.ts";
import {
  type DaemonProcess,
  PRODUCTION_SETTINGS,
} from "../testkit/daemon_process.ts";
import { Fleet } from "../testkit/fleet.ts";
import { openLoop, type OpenLoopPlan } from "../testkit/open_loop.ts";
import { productionSource, VENDOR_TOKEN } from "../testkit/sample_config.ts";
import {
  median,
  round,
  summarize,
  type Summary,
} from "../testkit/statistics.ts";

/** Calls a second at a daemon in two years. */
const RATE_PER_SECOND = 225;
/** One window of the measurement. */
const WINDOW = { ratePerSecond: RATE_PER_SECOND, durationMs: 4_000 };
/** Calls before the measurement, so that all code has been compiled. */
const WARM_UP = { ratePerSecond: 800, durationMs: 6_000 };
/** Windows of each way, in turns. */
const WINDOWS = 6;
/** Calls by which processor time is compared, some at a time, in turns. */
const COST_CALLS = 2_000;
const COST_PARALLEL = 8;
const COST_TURNS = 3;
/** Size of an answer, in bytes. */
const ANSWER_BYTES = 1_024;
/** Target of the time added for 99 calls in 100, in ms. */
const TARGET_P99_MS = 0.94;

/**
 * Ways of a call: through the daemon beside the backend server; through two
 * daemons; through one and two naive proxies.
 */
type Way = "local" | "remote" | "naiveOne" | "naiveTwo";

/** Latencies of calls that went straight and another way at the same time. */
interface Pair {
  readonly direct: Summary;
  readonly through: Summary;
}

/** Measures the time that the daemons add to a call. */
export async function benchHop(): Promise<unknown> {
  const fleet = await Fleet.start({
    network: 31,
    source: productionSource(),
    settings: PRODUCTION_SETTINGS,
    behaviour: { serviceMs: 2, slots: 40, maxConnections: 200 },
    isBackendInProcess: false,
    // The way of a call has no proxies but the daemons.
    isProxied: false,
    domains: [{ name: "east", services: ["lookup", ""] }],
  });
  try {
    return await measure(fleet);
  } finally {
    await fleet.close();
  }
}

async function measure(fleet: Fleet): Promise<unknown> {
  const beside = fleet.ofService("lookup")[0]!;
  const apart = fleet.ofService("none")[0]!;
  const backendAddress = `127.0.0.1:${beside.backend!.port}`;
  const [one, two] = await startNaive(backendAddress);
  const direct = new Pool(`http://${backendAddress}`);
  const pools: Record<Way, Pool> = {
    naiveOne: new Pool(`http://${one}`),
    naiveTwo: new Pool(`http://${two}`),
    local: new Pool(`http://${beside.daemon.ingress}`),
    remote: new Pool(`http://${apart.daemon.ingress}`),
  };
  const ways: Way[] = ["local", "remote", "naiveOne", "naiveTwo"];
  for (const pool of [direct, ...ways.map((way) => pools[way])]) {
    await runWindow(pool, WARM_UP);
  }
  const pairs: Record<Way, Pair[]> = {
    local: [],
    remote: [],
    naiveOne: [],
    naiveTwo: [],
  };
  for (let window = 0; window < WINDOWS; window++) {
    for (const way of ways) {
      pairs[way].push(await runPair(direct, pools[way]));
    }
  }
  const cost = await measureCost(beside.daemon, pools.local);
  await Promise.all([
    direct.destroy(),
    ...ways.map((way) => pools[way].destroy()),
  ]);
  return {
    cost,
    ratePerSecond: RATE_PER_SECOND,
    windows: WINDOWS,
    targetP99Ms: TARGET_P99_MS,
    direct: middle(ways.flatMap((way) => pairs[way].map((one) => one.direct))),
    local: added(pairs.local),
    remote: added(pairs.remote),
    naiveOne: added(pairs.naiveOne),
    naiveTwo: added(pairs.naiveTwo),
  };
}

/** Compares the processor time of served and of refused calls. */
async function measureCost(
  daemon: DaemonProcess,
  pool: Pool,
): Promise<unknown> {
  const cpuMsOf = async (path: string) => {
    const before = await daemon.fetchPage<{ cpuMs: number }>("/statistics");
    for (let round = 0; round < COST_CALLS / COST_PARALLEL; round++) {
      await Promise.all(
        Array.from({ length: COST_PARALLEL }, () => send(pool, path)),
      );
    }
    const after = await daemon.fetchPage<{ cpuMs: number }>("/statistics");
    return (after.cpuMs - before.cpuMs) / COST_CALLS;
  };
  const servedMs: number[] = [];
  const refusedMs: number[] = [];
  for (let turn = 0; turn < COST_TURNS; turn++) {
    servedMs.push(await cpuMsOf(`/lookup/size/${ANSWER_BYTES}`));
    refusedMs.push(await cpuMsOf("/nowhere"));
  }
  return {
    servedCpuMs: round(median(servedMs)),
    refusedCpuMs: round(median(refusedMs)),
    ratio: round(median(servedMs) / median(refusedMs)),
  };
}

async function send(pool: Pool, path: string): Promise<number> {
  const answer = await pool.request({
    method: "GET",
    path,
    headers: { authorization: `Bearer ${VENDOR_TOKEN}` },
  });
  await answer.body.arrayBuffer();
  return answer.statusCode;
}

/** Starts a naive proxy before a backend server, and another before it. */
async function startNaive(backend: string): Promise<[string, string]> {
  const one = await new Child([
    distFile("fakes/naive_main.js"),
    JSON.stringify({ "/": [backend] }),
  ]).waitForPort();
  const two = await new Child([
    distFile("fakes/naive_main.js"),
    JSON.stringify({ "/": [`127.0.0.1:${one}`] }),
  ]).waitForPort();
  return [`127.0.0.1:${one}`, `127.0.0.1:${two}`];
}

async function runWindow(pool: Pool, plan: OpenLoopPlan): Promise<Summary> {
  const latenciesMs = await openLoop(plan, async () => {
    const startMs = performance.now();
    const status = await send(pool, `/lookup/size/${ANSWER_BYTES}`);
    if (status !== 200) throw new Error(`Cannot measure: status ${status}`);
    return performance.now() - startMs;
  });
  return summarize(latenciesMs);
}

function middle(windows: readonly Summary[]): { p50Ms: number; p99Ms: number } {
  return {
    p50Ms: round(median(windows.map((one) => one.p50Ms))),
    p99Ms: round(median(windows.map((one) => one.p99Ms))),
  };
}

/** Calls straight and another way at once, so that noise strikes both. */
async function runPair(direct: Pool, through: Pool): Promise<Pair> {
  const [one, other] = await Promise.all([
    runWindow(direct, WINDOW),
    runWindow(through, WINDOW),
  ]);
  return { direct: one, through: other };
}

/** Differences within each pair. */
function added(pairs: readonly Pair[]): unknown {
  const p50Ms = pairs.map((one) => one.through.p50Ms - one.direct.p50Ms);
  const p99Ms = pairs.map((one) => one.through.p99Ms - one.direct.p99Ms);
  return {
    ...middle(pairs.map((one) => one.through)),
    addedP50Ms: round(median(p50Ms)),
    addedP99Ms: round(median(p99Ms)),
    leastAddedP99Ms: round(Math.min(...p99Ms)),
    addedP99MsByWindow: p99Ms.map(round).sort((a, b) => a - b),
  };
}
