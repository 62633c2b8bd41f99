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

/** Daemons, in one failure domain: two read the store for the others. */
const DAEMONS = 12;
/** Records of daemons elsewhere, which do not run here. */
const RECORDS_ELSEWHERE = 78;
/** Routes of a version, in all. */
const ROUTES = 1_120;
/** Versions of a series, and the pause between two. */
const VERSIONS = 20;
const VERSION_GAP_MS = 100;
/** Time for which each state is measured, in ms. */
const IDLE_MS = 20_000;
const FAULT_MS = 9_000;
/** Time after a state in which what it left behind is done, in ms. */
const SETTLE_MS = 3_000;
/** Pause between two changes of a record, in ms. */
const RECORD_GAP_MS = 50;
/** Time in which all daemons have to take a version, in ms. */
const IN_FORCE_MS = 15_000;
/** Arguments of Node.js for the daemons. */
const NODE_ARGS = (process.env.DAEMON_NODE_ARGS ?? "").split(" ")
  .filter((arg) => arg !== "");
const MS_PER_S = 1_000;
/** Unit in which the kernel counts the time of a process. */
const TICKS_PER_S = 100;

/** What a state cost. */
interface Cost {
  /** Processor time of a daemon on average, in ms. */
  readonly daemonMs: number;
  /** Processor time of the busiest daemon, in ms. */
  readonly mostMs: number;
  /** Share of the kernel. */
  readonly kernelShare: number;
  /** Calls to the store, by path. */
  readonly storeCalls: Readonly<Record<string, number>>;
  /** Time until the last version was known to all daemons, in ms. */
  readonly inForceMs?: number;
}

/**
 * Measures what sidecar daemons cost without any request: start, idling, a
 * series of versions, a store that fails for a third of them, and records that
 * change.
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
    await this.#untilInForce();
    await sleep(SETTLE_MS);
  }

  async #changeVersions(): Promise<number> {
    for (let count = 0; count < VERSIONS; count++) {
      this.#putVersion();
      await sleep(VERSION_GAP_MS);
    }
    const inForceMs = await this.#untilInForce();
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

  /** Versions come while a third of the daemons do not reach the store. */
  #measureFault(fault: Fault): Promise<Cost> {
    const cutOff = this.#instances.filter((_, index) => index % 3 === 0);
    const sound = this.#instances.filter((one) => !cutOff.includes(one));
    return this.#measure(async () => {
      for (const { storeProxy } of cutOff) storeProxy.set(fault);
      const untilMs = performance.now() + FAULT_MS;
      while (performance.now() < untilMs) {
        this.#putVersion();
        await sleep(FAULT_MS / VERSIONS);
      }
      const inForceMs = await this.#untilInForce(sound);
      for (const { storeProxy } of cutOff) storeProxy.set({ kind: "none" });
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

  #putRecord(index: number, life: number): void {
    const instance = `elsewhere-${index}`;
    const record = encodeRecord({
      id: `i-${index}-${life}`,
      instance,
      service: "stock",
      domain: `domain-${index % 3}`,
      peerAddress: "127.0.0.1:1",
      slots: 8,
      state: BackendState.Ready,
      bornAtUnixMs: life,
      linkMbps: 7,
    });
    this.#store.put(RECORD_PREFIX + instance, record.toString());
  }

  /** Waits until daemons know the last version; returns how long. */
  async #untilInForce(instances = this.#instances): Promise<number> {
    const startedAtMs = performance.now();
    const line = `version=${this.#version} `;
    await until(
      () => instances.every(({ output }) => output.includes(line)),
      `all daemons know version ${this.#version}`,
      IN_FORCE_MS,
    );
    return performance.now() - startedAtMs;
  }

  async #measure(run: () => Promise<number | void>): Promise<Cost> {
    const callsBefore = new Map(this.#store.calls);
    const before = new Map(
      this.#instances.map(({ pid }) => [pid, usageOf(pid)]),
    );
    const inForceMs = await run();
    const used = this.#instances.map(({ pid }) => {
      const { totalMs, kernelMs } = usageOf(pid);
      const earlier = before.get(pid);
      return {
        totalMs: totalMs - (earlier?.totalMs ?? 0),
        kernelMs: kernelMs - (earlier?.kernelMs ?? 0),
      };
    });
    const sum = (values: number[]) => values.reduce((a, b) => a + b, 0);
    const totalMs = sum(used.map((one) => one.totalMs));
    const calls = [...this.#store.calls].map(([path, count]) =>
      [path, count - (callsBefore.get(path) ?? 0)] as const
    );
    return {
      daemonMs: round(totalMs / DAEMONS),
      mostMs: round(Math.max(...used.map((one) => one.totalMs))),
      kernelShare: round(sum(used.map((one) => one.kernelMs)) / totalMs),
      storeCalls: sumByCall(calls),
      ...(inForceMs === undefined ? {} : { inForceMs: round(inForceMs) }),
    };
  }
}

/** Processor time of a process so far. */
function usageOf(pid: number): { totalMs: number; kernelMs: number } {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]!
    .split(" ");
  const [userMs, kernelMs] = fields.slice(11, 13).map((ticks) =>
    Number(ticks) * MS_PER_S / TICKS_PER_S
  );
  return { totalMs: userMs! + kernelMs!, kernelMs: kernelMs! };
}

/** Leases have their number in the path. */
function sumByCall(
  calls: readonly (readonly [string, number])[],
): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const [path, count] of calls) {
    const call = path.replace(/\/\d+$/, "");
    if (count > 0) sums[call] = (sums[call] ?? 0) + count;
  }
  return sums;
}
