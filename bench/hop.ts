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

/** Calls per second at a daemon expected in two years. */
const RATE_PER_SECOND = 225;
/** Load of a measurement window. */
const WINDOW = { ratePerSecond: RATE_PER_SECOND, durationMs: 4_000 };
/** Load before the measurement, so that all code is compiled. */
const WARM_UP = { ratePerSecond: 800, durationMs: 6_000 };
/** Windows per path, in alternation with the other paths. */
const WINDOWS = 6;
/** Calls per turn, concurrency and turns of the CPU time comparison. */
const COST_CALLS = 2_000;
const COST_CONCURRENCY = 8;
const COST_TURNS = 3;
/** Size of a response body, in bytes. */
const RESPONSE_BYTES = 1_024;
/** Target of the added latency at the 99th percentile, in ms. */
const TARGET_P99_MS = 0.94;

/**
 * Paths of a call: through the daemon of the backend server, through two
 * daemons, and through one or two naive proxies.
 */
type CallPath = "local" | "remote" | "naiveOne" | "naiveTwo";

/** Latencies of concurrent direct and proxied calls. */
interface LatencyPair {
  readonly direct: Summary;
  readonly proxied: Summary;
}

/** Measures the latency that the daemons add to a call. */
export async function benchHop(): Promise<unknown> {
  const fleet = await Fleet.start({
    network: 31,
    source: productionSource(),
    settings: PRODUCTION_SETTINGS,
    behaviour: { serviceMs: 2, slots: 40, maxConnections: 200 },
    isBackendInProcess: false,
    // Calls pass through no proxies other than the daemons.
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
  const localInstance = fleet.ofService("lookup")[0]!;
  const remoteInstance = fleet.ofService("none")[0]!;
  const backendAddress = `127.0.0.1:${localInstance.backend!.port}`;
  const [firstAddress, secondAddress] = await startNaiveProxies(backendAddress);
  const direct = new Pool(`http://${backendAddress}`);
  const pools: Record<CallPath, Pool> = {
    naiveOne: new Pool(`http://${firstAddress}`),
    naiveTwo: new Pool(`http://${secondAddress}`),
    local: new Pool(`http://${localInstance.daemon.ingress}`),
    remote: new Pool(`http://${remoteInstance.daemon.ingress}`),
  };
  const paths: CallPath[] = ["local", "remote", "naiveOne", "naiveTwo"];
  for (const pool of [direct, ...paths.map((path) => pools[path])]) {
    await runWindow(pool, WARM_UP);
  }
  const pairs: Record<CallPath, LatencyPair[]> = {
    local: [],
    remote: [],
    naiveOne: [],
    naiveTwo: [],
  };
  for (let window = 0; window < WINDOWS; window++) {
    for (const path of paths) {
      pairs[path].push(await runPair(direct, pools[path]));
    }
  }
  const cost = await measureCost(localInstance.daemon, pools.local);
  await Promise.all([
    direct.destroy(),
    ...paths.map((path) => pools[path].destroy()),
  ]);
  return {
    cost,
    ratePerSecond: RATE_PER_SECOND,
    windows: WINDOWS,
    targetP99Ms: TARGET_P99_MS,
    direct: summarizeMedians(
      paths.flatMap((path) => pairs[path].map((pair) => pair.direct)),
    ),
    local: summarizeAdded(pairs.local),
    remote: summarizeAdded(pairs.remote),
    naiveOne: summarizeAdded(pairs.naiveOne),
    naiveTwo: summarizeAdded(pairs.naiveTwo),
  };
}

/** Compares the CPU time of served calls and of refused calls. */
async function measureCost(
  daemon: DaemonProcess,
  pool: Pool,
): Promise<unknown> {
  const cpuMsOf = async (path: string) => {
    const before = await daemon.fetchPage<{ cpuMs: number }>("/statistics");
    for (let round = 0; round < COST_CALLS / COST_CONCURRENCY; round++) {
      await Promise.all(
        Array.from({ length: COST_CONCURRENCY }, () => send(pool, path)),
      );
    }
    const after = await daemon.fetchPage<{ cpuMs: number }>("/statistics");
    return (after.cpuMs - before.cpuMs) / COST_CALLS;
  };
  const servedMs: number[] = [];
  const refusedMs: number[] = [];
  for (let turn = 0; turn < COST_TURNS; turn++) {
    servedMs.push(await cpuMsOf(`/lookup/size/${RESPONSE_BYTES}`));
    refusedMs.push(await cpuMsOf("/nowhere"));
  }
  return {
    servedCpuMs: round(median(servedMs)),
    refusedCpuMs: round(median(refusedMs)),
    ratio: round(median(servedMs) / median(refusedMs)),
  };
}

async function send(pool: Pool, path: string): Promise<number> {
  const response = await pool.request({
    method: "GET",
    path,
    headers: { authorization: `Bearer ${VENDOR_TOKEN}` },
  });
  await response.body.arrayBuffer();
  return response.statusCode;
}

/** Starts a naive proxy for a backend server, and another in front of it. */
async function startNaiveProxies(backend: string): Promise<[string, string]> {
  const firstPort = await new Child([
    distFile("fakes/naive_main.js"),
    JSON.stringify({ "/": [backend] }),
  ]).waitForPort();
  const secondPort = await new Child([
    distFile("fakes/naive_main.js"),
    JSON.stringify({ "/": [`127.0.0.1:${firstPort}`] }),
  ]).waitForPort();
  return [`127.0.0.1:${firstPort}`, `127.0.0.1:${secondPort}`];
}

async function runWindow(pool: Pool, plan: OpenLoopPlan): Promise<Summary> {
  const latenciesMs = await openLoop(plan, async () => {
    const startMs = performance.now();
    const status = await send(pool, `/lookup/size/${RESPONSE_BYTES}`);
    if (status !== 200) throw new Error(`Cannot measure: status ${status}`);
    return performance.now() - startMs;
  });
  return summarize(latenciesMs);
}

function summarizeMedians(
  windows: readonly Summary[],
): { p50Ms: number; p99Ms: number } {
  return {
    p50Ms: round(median(windows.map((window) => window.p50Ms))),
    p99Ms: round(median(windows.map((window) => window.p99Ms))),
  };
}

/** Measures direct and proxied calls at once, so that noise affects both. */
async function runPair(direct: Pool, proxied: Pool): Promise<LatencyPair> {
  const [directSummary, proxiedSummary] = await Promise.all([
    runWindow(direct, WINDOW),
    runWindow(proxied, WINDOW),
  ]);
  return { direct: directSummary, proxied: proxiedSummary };
}

/** Summarizes the differences between the latencies of each pair. */
function summarizeAdded(pairs: readonly LatencyPair[]): unknown {
  const p50Ms = pairs.map((pair) => pair.proxied.p50Ms - pair.direct.p50Ms);
  const p99Ms = pairs.map((pair) => pair.proxied.p99Ms - pair.direct.p99Ms);
  return {
    ...summarizeMedians(pairs.map((pair) => pair.proxied)),
    addedP50Ms: round(median(p50Ms)),
    addedP99Ms: round(median(p99Ms)),
    leastAddedP99Ms: round(Math.min(...p99Ms)),
    addedP99MsByWindow: p99Ms.map(round).sort((a, b) => a - b),
  };
}
