import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { KvServer, StoreFault } from "../../platform/fakes/kv_server.ts";
import {
  CONFIG_KEY,
  sampleConfig,
  sampleRoute,
} from "../../platform/fakes/mesh.ts";
import { SoakInstance } from "../../soak/instance.ts";
import { until } from "../../testkit/until.ts";

/** How the store returns. */
export enum StoreReturn {
  /** It answered nothing; what waited in it is lost. */
  FromSilence = "from-silence",
  /** It refused all calls. */
  FromRefusals = "from-refusals",
  /** Its answers took seconds, those still under way go on taking them. */
  FromSlowness = "from-slowness",
  /** As from silence, and it answers few reads in a second from then on. */
  WithFewReads = "with-few-reads",
  /** As from silence, and it has dropped its history. */
  WithoutHistory = "without-history",
}

/** Time from the return to the newest version at a daemon. */
export interface ReturnResult {
  /** Time at the daemon that had it last, in ms; infinite if it never did. */
  readonly lastMs: number;
  /** Name of that daemon. */
  readonly lastInstance: string;
  /** The end of its log. */
  readonly lastOutput: string;
  /** Reads and polls while the store was away. */
  readonly readsWhileAway: number;
  /** Reads and polls from the return until the newest version was everywhere. */
  readonly readsAfterReturn: number;
}

const DOMAINS = 3;
/** Bandwidth of the slowest links of a large fleet, 4.9 Mbit/s. */
const SLOW_BYTES_PER_S = 612_500;
/** Routes of a large configuration of some 300 KB. */
const ROUTE_COUNT = 2_000;
const ROUTES = Array.from(
  { length: ROUTE_COUNT },
  (_, index) => sampleRoute(`route-${index}`),
);
/** Versions that wait for the store's return, and the pause between two. */
const VERSION_COUNT = 5;
const VERSION_GAP_MS = 240;
/** Reads in a second of a store that returns with few. */
const FEW_READS_PER_S = 20;
/** Time for daemons to take what came before, in ms. */
const REST_MS = 1_500;
/**
 * Time after a change within which all daemons have just polled again, in ms:
 * polls that are lost then are waited for the longest.
 */
const REPOLL_MS = 700;
/** Bandwidth of a link that is not slow, in Mbit/s. */
const FAST_MBPS = 1_000;
const START_TIMEOUT_MS = 120_000;
const MAX_OUTPUT_LENGTH = 8_000;
/** Time after the return for which adoptions are awaited, in ms. */
const WATCH_MS = 12_000;
const NODE_ARGS = ["--max-semi-space-size=2", "--max-old-space-size=120"];
const ADOPTED = /time=(\S+) .*event=config-adopted .*version=(\d+) /g;

/** Size and links of a {@linkcode ReturnFleet}. */
export interface ReturnFleetOptions {
  /** Number of daemons, in three failure domains. */
  readonly size: number;
  /** Whether every second daemon has a slow link. */
  readonly hasSlowLinks: boolean;
}

/** Daemons as processes, and their store. */
export class ReturnFleet {
  readonly store: KvServer;
  readonly #folder: string;
  readonly #daemons: SoakInstance[] = [];
  #version = 1;

  private constructor(store: KvServer) {
    this.store = store;
    this.#folder = mkdtempSync(join(tmpdir(), "sesamepond-"));
  }

  /**
   * Starts daemons and waits until they know each other.
   *
   * @param options Size and links.
   * @returns The fleet.
   */
  static async start(options: ReturnFleetOptions): Promise<ReturnFleet> {
    const fleet = new ReturnFleet(await KvServer.start());
    try {
      await fleet.#start(options);
    } catch (error) {
      // Otherwise, its processes would go on beside the next fleet.
      await fleet.stop();
      throw error;
    }
    return fleet;
  }

  async #start(options: ReturnFleetOptions): Promise<void> {
    const { size, hasSlowLinks } = options;
    const bundle = join(this.#folder, "sesamepond.cjs");
    spawnSync(process.execPath, ["scripts/build_platform.mjs", bundle]);
    this.#putVersion();
    for (let index = 0; index < size; index++) {
      this.#daemons.push(
        await SoakInstance.start({
          index,
          domain: `domain-${index % DOMAINS}`,
          folder: this.#folder,
          bundle,
          storePort: Number(this.store.address.split(":")[1]),
          nodeArgs: NODE_ARGS,
          ...(hasSlowLinks ? {} : { linkMbps: FAST_MBPS }),
        }),
      );
    }
    // One after the other: to ask all at once, again and again, takes the
    // processor time that the store and the proxies in this process need.
    const doAllKnowAll = async () => {
      for (const daemon of this.#daemons) {
        const metrics = await readMetrics(daemon);
        if (!metrics.includes(`backends_known ${size}\n`)) return false;
      }
      return true;
    };
    await until(
      doAllKnowAll,
      "all daemons know all backend servers",
      START_TIMEOUT_MS,
    );
    for (const [index, { storeProxy, peerProxy }] of this.#daemons.entries()) {
      // SoakInstance gives the daemons with odd indexes slow links.
      if (!hasSlowLinks || index % 2 === 0) continue;
      const fault = {
        kind: "slow",
        delayMs: 1,
        bytesPerS: SLOW_BYTES_PER_S,
      } as const;
      storeProxy.set(fault);
      peerProxy.set(fault);
    }
  }

  /**
   * Takes the store away and lets it return, with a series of versions that
   * had waited for it; measures when the last of them is in force.
   *
   * @param how How the store returns.
   * @param awayMs Time for which it is away, in ms.
   */
  async measure(how: StoreReturn, awayMs: number): Promise<ReturnResult> {
    await sleep(REST_MS);
    // Ends all polls, so that those of the daemons are in step.
    this.store.put("sesamepond/nothing", String(this.#version));
    await sleep(REPOLL_MS);
    const readsBefore = this.store.reads;
    this.#takeAway(how);
    await sleep(awayMs);
    const readsAtReturn = this.store.reads;
    const returnedAtUnixMs = Date.now();
    this.#giveBack(how);
    for (let count = 0; count < VERSION_COUNT; count++) {
      if (count > 0) await sleep(VERSION_GAP_MS);
      this.#putVersion();
      if (how === StoreReturn.WithoutHistory) this.store.compact();
    }
    const isEverywhere = () =>
      this.#daemons.every((daemon) => this.#adoptedAtUnixMs(daemon) < Infinity);
    await until(isEverywhere, "the version is in force", WATCH_MS)
      .catch(() => {
        // Reported as infinite.
      });
    const readsAfterReturn = this.store.reads - readsAtReturn;
    this.store.readsPerS = Infinity;
    const times = this.#daemons.map((daemon) => ({
      daemon,
      tookMs: this.#adoptedAtUnixMs(daemon) - returnedAtUnixMs,
    })).sort((a, b) => b.tookMs - a.tookMs);
    return {
      lastMs: times[0]!.tookMs,
      lastInstance: times[0]!.daemon.name,
      lastOutput: times[0]!.daemon.output.slice(-MAX_OUTPUT_LENGTH),
      readsWhileAway: readsAtReturn - readsBefore,
      readsAfterReturn,
    };
  }

  /** Stops the daemons and the store. */
  async stop(): Promise<void> {
    await Promise.all(this.#daemons.map((daemon) => daemon.end()));
    await this.store.stop();
    rmSync(this.#folder, { recursive: true });
  }

  #putVersion(): void {
    this.#version++;
    this.store.put(
      CONFIG_KEY,
      JSON.stringify(sampleConfig(this.#version, ROUTES)),
    );
  }

  #takeAway(how: StoreReturn): void {
    switch (how) {
      case StoreReturn.FromSilence:
      case StoreReturn.WithFewReads:
      case StoreReturn.WithoutHistory:
        this.store.fault = StoreFault.Silent;
        return;
      case StoreReturn.FromRefusals:
        this.store.fault = StoreFault.Busy;
        // Ends the polls, so that the next ones are refused.
        this.store.compact();
        return;
      case StoreReturn.FromSlowness:
        this.store.fault = StoreFault.Slow;
        this.store.compact();
        return;
    }
  }

  #giveBack(how: StoreReturn): void {
    this.store.fault = StoreFault.None;
    if (how === StoreReturn.WithFewReads) {
      this.store.readsPerS = FEW_READS_PER_S;
    }
  }

  /** Returns when a daemon adopted the newest version, in Unix ms. */
  #adoptedAtUnixMs(daemon: SoakInstance): number {
    for (const [, time, version] of daemon.output.matchAll(ADOPTED)) {
      if (Number(version) >= this.#version) return Date.parse(time!);
    }
    return Infinity;
  }
}

async function readMetrics(daemon: SoakInstance): Promise<string> {
  try {
    const url = `http://127.0.0.1:${daemon.metricsPort}/metrics`;
    return await (await fetch(url)).text();
  } catch {
    // The daemon has not opened its port yet.
    return "";
  }
}
