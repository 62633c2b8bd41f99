import { mkdtempSync, rmSync } from "node:fs";
import { spawnSync } from "node:child_process";
import { Agent } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { KvServer } from "../platform/fakes/kv_server.ts";
import { CONFIG_KEY, sampleConfig } from "../platform/fakes/mesh.ts";
import { sendAsCaller } from "../soak/caller.ts";
import { openLoop, type OpenLoopPlan } from "../testkit/open_loop.ts";
import { round } from "../testkit/statistics.ts";
import { until } from "../testkit/until.ts";
import { CostInstance } from "./cost_instance.ts";
import { readPeakMb, type Usage, UsageProbe } from "./usage_probe.ts";

const DESTINATIONS = 2;
/** Every Nth request is an order with a long body. */
const ORDER_EVERY = 8;
const ORDER_BYTES = 60_000;
/** Timeout of the callers, in ms. */
const TIMEOUT_MS = 1_200;
/** Length of the phase that measures daemons without requests, in ms. */
const IDLE_MS = 5_000;
/** Time after a load until all its requests have ended, in ms. */
const SETTLE_MS = TIMEOUT_MS * 2;
const MS_PER_S = 1_000;

/** Loads in order; during the first, most daemon code is not yet compiled. */
const LOADS: Readonly<Record<string, OpenLoopPlan>> = {
  early: { ratePerSecond: 25, durationMs: 8_000 },
  steady: { ratePerSecond: 100, durationMs: 10_000 },
  overload: { ratePerSecond: 450, durationMs: 6_000 },
};

/** Role of a daemon: it serves the callers or a backend server. */
type DaemonRole = "ingress" | "destination";
type UsageByRole = Readonly<Record<DaemonRole, Usage>>;

/** Measures the CPU time of a request at its ingress and destination daemon. */
export async function benchRequestCost(): Promise<unknown> {
  const folder = mkdtempSync(join(tmpdir(), "sesamepond-cost-"));
  const bundle = join(folder, "sesamepond.cjs");
  spawnSync(process.execPath, ["scripts/build_platform.mjs", bundle]);
  const store = await KvServer.start();
  store.put(CONFIG_KEY, JSON.stringify(sampleConfig(1)));
  const common = { folder, bundle, storeAddress: store.address };
  const ingress = await CostInstance.start({ ...common, name: "ingress" });
  const destinations: CostInstance[] = [];
  for (let index = 0; index < DESTINATIONS; index++) {
    const name = `destination-${index}`;
    destinations.push(
      await CostInstance.start({ ...common, name, isServing: true }),
    );
  }
  const fleet = new CostFleet(ingress, destinations);
  try {
    return await fleet.measure();
  } finally {
    await fleet.end();
    await store.stop();
    rmSync(folder, { recursive: true });
  }
}

class CostFleet {
  readonly #ingress: CostInstance;
  readonly #destinations: readonly CostInstance[];
  readonly #agent = new Agent({ keepAlive: true });
  #nextId = 1;

  constructor(ingress: CostInstance, destinations: readonly CostInstance[]) {
    this.#ingress = ingress;
    this.#destinations = destinations;
  }

  async measure(): Promise<unknown> {
    await until(
      async () => await this.#send(1) === 200,
      "a request is served",
    );
    await sleep(IDLE_MS);
    const idle = await this.#measureUsage(() => sleep(IDLE_MS));
    const result: Record<string, unknown> = {
      idlePerS: perUnit(idle, IDLE_MS / MS_PER_S),
    };
    const names = (process.env.BENCH_LOADS ?? Object.keys(LOADS).join(","))
      .split(",");
    for (const name of names) {
      result[name] = await this.#runLoad(LOADS[name]!);
    }
    result.peakMb = {
      ingress: readPeakMb(this.#ingress.pid),
      destinations: this.#destinations.map(({ pid }) => readPeakMb(pid)),
    };
    return result;
  }

  async end(): Promise<void> {
    this.#agent.destroy();
    const instances = [this.#ingress, ...this.#destinations];
    await Promise.all(instances.map((instance) => instance.end()));
  }

  async #runLoad(plan: OpenLoopPlan): Promise<unknown> {
    let statuses: number[] = [];
    const usage = await this.#measureUsage(async () => {
      statuses = await openLoop(plan, (number) => this.#send(number));
      await sleep(SETTLE_MS);
    });
    return {
      requests: statuses.length,
      served: statuses.filter((status) => status === 200).length,
      perRequest: perUnit(usage, statuses.length),
    };
  }

  async #measureUsage(work: () => Promise<void>): Promise<UsageByRole> {
    const [ingress, destination] = await Promise.all([
      UsageProbe.start([this.#ingress.pid]),
      UsageProbe.start(this.#destinations.map(({ pid }) => pid)),
    ]);
    await work();
    return {
      ingress: await ingress.stop(),
      destination: await destination.stop(),
    };
  }

  async #send(number: number): Promise<number> {
    const isOrder = number % ORDER_EVERY === 0;
    const request = {
      id: `request-${this.#nextId++}`,
      path: isOrder ? "/orders/1" : "/stock/1",
      body: isOrder ? "x".repeat(ORDER_BYTES) : "",
      isIdempotent: !isOrder,
      ingress: "instance-0",
      timeoutMs: TIMEOUT_MS,
      sentAtMs: performance.now(),
      endedAtMs: Infinity,
      headers: {},
      disconnectedAtMs: Infinity,
      ingressPausedAtMs: [],
      status: 0,
      answer: "",
      retryAfterS: 0,
      error: "",
    };
    await sendAsCaller(request, {
      agent: this.#agent,
      port: this.#ingress.ingressPort,
    });
    return request.status;
  }
}

function perUnit(usage: UsageByRole, units: number): unknown {
  const divide = ({ cpuMs, instructionsM, calls }: Usage) => ({
    cpuMs: round(cpuMs / units),
    instructionsM: round(instructionsM / units),
    calls: round(calls / units),
  });
  return {
    ingress: divide(usage.ingress),
    destination: divide(usage.destination),
  };
}
