import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import type { Fault } from "../fakes/fault_proxy.ts";
import { KvServer } from "../platform/fakes/kv_server.ts";
import {
  CONFIG_KEY,
  sampleConfig,
  sampleRoute,
} from "../platform/fakes/mesh.ts";
import { SoakInstance } from "../soak/instance.ts";
import { BackendState } from "../src/protocol/mesh.ts";
import {
  encodeRecord,
  RECORD_PREFIX,
} from "../src/sidecar/backend_record_codec.ts";
import { round } from "../testkit/statistics.ts";
import { until } from "../testkit/until.ts";

/** Daemons in one failure domain; two of them read the store for the others. */
const DAEMONS = 12;
/** Number of records of daemons in other domains, which are not started. */
const RECORDS_ELSEWHERE = 78;
/** Total number of routes in a version. */
const ROUTES = 1_120;
/** Versions in a series, and the pause between two of them, in ms. */
const VERSIONS = 20;
const VERSION_GAP_MS = 100;
/** Durations of the idle phase and of each fault, in ms. */
const IDLE_MS = 20_000;
const FAULT_MS = 9_000;
/** Time at the end of a phase for work that is still pending, in ms. */
const SETTLE_MS = 3_000;
/** Pause between changes of two records, in ms. */
const RECORD_GAP_MS = 50;
/** Time limit for all daemons to adopt a version, in ms. */
const IN_FORCE_MS = 15_000;
/** Node.js arguments of the daemons. */
const NODE_ARGS = (process.env.DAEMON_NODE_ARGS ?? "").split(" ")
  .filter((arg) => arg !== "");
const MS_PER_S = 1_000;
/** Frequency of the clock ticks that `/proc/PID/stat` counts in. */
const TICKS_PER_S = 100;

/** Cost of a phase. */
interface Cost {
  /** Average CPU time of a daemon, in ms. */
  readonly daemonMs: number;
  /** CPU time of the busiest daemon, in ms. */
  readonly mostMs: number;
  /** Share of the CPU time that is spent in the kernel. */
  readonly kernelShare: number;
  /** Number of calls to the store, by path. */
  readonly storeCalls: Readonly<Record<string, number>>;
  /** Time until all daemons have adopted the last version, in ms. */
  readonly inForceMs?: number;
}

/**
 * Measures the cost of sidecar daemons without requests: at the start, when
 * idle, during a series of versions, while records change, and while a third of
 * the daemons cannot reach the store.
 */
export async function benchSidecar(): Promise<unknown> {
  const bench = await SidecarBench.start();
  try {
    return await bench.run();
  } finally {
    await bench.end();
  }
}

class SidecarBench {
  readonly #folder = mkdtempSync(join(tmpdir(), "sesamepond-sidecar-"));
  readonly #store: KvServer;
  readonly #instances: SoakInstance[] = [];
  #version = 1;

  private constructor(store: KvServer) {
    this.#store = store;
  }

  static async start(): Promise<SidecarBench> {
    return new SidecarBench(await KvServer.start());
  }

  async run(): Promise<unknown> {
    const start = await this.#measure(() => this.#startDaemons());
    const idle = await this.#measure(() => sleep(IDLE_MS));
    const series = await this.#measure(() => this.#changeVersions());
    const records = await this.#measure(() => this.#changeRecords());
    return {
      start,
      idle,
      series,
      records,
      silent: await this.#measureFault({ kind: "silence" }),
      cut: await this.#measureFault({ kind: "cut" }),
    };
  }

  async end(): Promise<void> {
    for (const instance of this.#instances) await instance.end();
    await this.#store.stop();
    rmSync(this.#folder, { recursive: true });
  }

  async #startDaemons(): Promise<void> {
    const bundle = join(this.#folder, "sesamepond.cjs");
    spawnSync(process.execPath, ["scripts/build_platform.mjs", bundle]);
    this.#putVersion();
    for (let index = 0; index < RECORDS_ELSEWHERE; index++) {
      this.#putRecord(index, 1);
    }
    const storePort = Number(this.#store.address.split(":")[1]);
    const starting = Array.from(
      { length: DAEMONS },
      (_, index) =>
        SoakInstance.start({
          index,
          domain: "here",
          folder: this.#folder,
          bundle,
          storePort,
          nodeArgs: NODE_ARGS,
        }),
    );
    this.#instances.push(...await Promise.all(starting));
    await this.#waitUntilInForce();
    await sleep(SETTLE_MS);
  }

  async #changeVersions(): Promise<number> {
    for (let count = 0; count < VERSIONS; count++) {
      this.#putVersion();
      await sleep(VERSION_GAP_MS);
    }
    const inForceMs = await this.#waitUntilInForce();
    await sleep(SETTLE_MS);
    return inForceMs;
  }

  async #changeRecords(): Promise<void> {
    for (let index = 0; index < RECORDS_ELSEWHERE; index++) {
      this.#putRecord(index, this.#version);
      await sleep(RECORD_GAP_MS);
    }
    await sleep(SETTLE_MS);
  }

  /** Measures new versions while a third of the daemons have lost the store. */
  #measureFault(fault: Fault): Promise<Cost> {
    const isolated = this.#instances.filter((_, index) => index % 3 === 0);
    const reachable = this.#instances.filter((instance) =>
      !isolated.includes(instance)
    );
    return this.#measure(async () => {
      for (const { storeProxy } of isolated) storeProxy.set(fault);
      const untilMs = performance.now() + FAULT_MS;
      while (performance.now() < untilMs) {
        this.#putVersion();
        await sleep(FAULT_MS / VERSIONS);
      }
      const inForceMs = await this.#waitUntilInForce(reachable);
      for (const { storeProxy } of isolated) storeProxy.set({ kind: "none" });
      await sleep(SETTLE_MS);
      return inForceMs;
    });
  }

  #putVersion(): void {
    const routes = Array.from(
      { length: ROUTES - 2 },
      (_, index) => sampleRoute(`route-${index}`),
    );
    const config = sampleConfig(++this.#version, routes);
    this.#store.put(CONFIG_KEY, JSON.stringify(config));
  }

  #putRecord(index: number, startNumber: number): void {
    const instance = `elsewhere-${index}`;
    const record = encodeRecord({
      id: `i-${index}-${startNumber}`,
      instance,
      service: "stock",
      domain: `domain-${index % 3}`,
      peerAddress: "127.0.0.1:1",
      slots: 8,
      state: BackendState.Ready,
      bornAtUnixMs: startNumber,
      linkMbps: 7,
    });
    this.#store.put(RECORD_PREFIX + instance, record.toString());
  }

  /** Waits until daemons adopt the last version; returns the time in ms. */
  async #waitUntilInForce(instances = this.#instances): Promise<number> {
    const startedAtMs = performance.now();
    const line = `version=${this.#version} `;
    await until(
      () => instances.every(({ output }) => output.includes(line)),
      `all daemons have adopted version ${this.#version}`,
      IN_FORCE_MS,
    );
    return performance.now() - startedAtMs;
  }

  async #measure(run: () => Promise<number | void>): Promise<Cost> {
    const callsBefore = new Map(this.#store.calls);
    const before = new Map(
      this.#instances.map(({ pid }) => [pid, readCpuTime(pid)]),
    );
    const inForceMs = await run();
    const used = this.#instances.map(({ pid }) => {
      const { totalMs, kernelMs } = readCpuTime(pid);
      const earlier = before.get(pid);
      return {
        totalMs: totalMs - (earlier?.totalMs ?? 0),
        kernelMs: kernelMs - (earlier?.kernelMs ?? 0),
      };
    });
    const sum = (values: number[]) => values.reduce((a, b) => a + b, 0);
    const totalMs = sum(used.map((usage) => usage.totalMs));
    const calls = [...this.#store.calls].map(([path, count]) =>
      [path, count - (callsBefore.get(path) ?? 0)] as const
    );
    return {
      daemonMs: round(totalMs / DAEMONS),
      mostMs: round(Math.max(...used.map((usage) => usage.totalMs))),
      kernelShare: round(sum(used.map((usage) => usage.kernelMs)) / totalMs),
      storeCalls: sumByPath(calls),
      ...(inForceMs === undefined ? {} : { inForceMs: round(inForceMs) }),
    };
  }
}

/** Reads the total CPU time of a process and the part spent in the kernel. */
function readCpuTime(pid: number): { totalMs: number; kernelMs: number } {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]!
    .split(" ");
  const [userMs, kernelMs] = fields.slice(11, 13).map((ticks) =>
    Number(ticks) * MS_PER_S / TICKS_PER_S
  );
  return { totalMs: userMs! + kernelMs!, kernelMs: kernelMs! };
}

/** Sums calls by path, without the number of a lease at its end. */
function sumByPath(
  calls: readonly (readonly [string, number])[],
): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const [path, count] of calls) {
    const basePath = path.replace(/\/\d+$/, "");
    if (count > 0) sums[basePath] = (sums[basePath] ?? 0) + count;
  }
  return sums;
}
