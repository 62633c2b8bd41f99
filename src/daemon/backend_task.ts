import { setTimeout as sleep } from "node:timers/promises";
import type { Dispatcher } from "undici";
import { Ejection } from "../coordination/routing/ejection.ts";
import type { Service } from "../protocol/config_schema.ts";
import { type PerRank, perRank, type Rank, RANKS } from "../protocol/rank.ts";
import { messageOf } from "../protocol/step_error.ts";
import { Agent, Pool, request } from "../transport/http/undici_parts.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { monotonicMs } from "./clocks.ts";
import type { BackendStatus, FleetBus } from "./fleet_bus.ts";

/** How a backend server announces itself. */
export interface Announcement {
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly slots: number;
  readonly maxConnections: number;
  /** Whether it wants no new work because it is about to leave. */
  readonly isDraining: boolean;
}

/** What a look at the backend server after a failed exchange showed. */
export enum Diagnosis {
  Alive = "alive",
  Crashed = "crashed",
}

/** Health policy that applies before a configuration is in force. */
const DEFAULT_HEALTH: Service["health"] = {
  path: "/health",
  intervalMs: 1_000,
  timeoutMs: 1_000,
  failuresToEject: 3,
};
/** Time after which an unused connection is closed, in ms. */
const IDLE_CONNECTION_MS = 10_000;
/** Longest time to open a connection on the same instance, in ms. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Exchanges in a row after which the next pause is short again. */
const SUCCESSES_TO_TRUST = 50;
/** Time to tell a crash from a broken connection, and pauses between looks. */
const LOOK_TIMEOUT_MS = 1_000;
const LOOK_PAUSE_MS = 20;

/** What a {@linkcode BackendTask} needs. */
export interface BackendTaskOptions {
  readonly bus: FleetBus;
  readonly log: EventLog;
  /** Returns the configuration of a service in force. */
  readonly serviceOf: (name: string) => Service | undefined;
}

/**
 * Owns the connections to the backend server beside this daemon.
 *
 * It is the only prober of the backend server, and joins what it probes with
 * what exchanges show, as the health endpoint may lag or mislead.
 *
 * @example
 * ```ts ignore
 * const task = new BackendTask({ bus, log, serviceOf });
 * task.announce(announcement);
 * ```
 */
export class BackendTask {
  readonly #options: BackendTaskOptions;
  #announced: Announcement | undefined;
  #pools: PerRank<Pool> | undefined;
  /** Opens a connection for each probe. */
  readonly #probes = new Agent({ connections: 1, pipelining: 0 });
  #isReady = false;
  #readyAtMs = 0;
  #probeFailures = 0;
  #exchangeFailures = 0;
  #successes = 0;
  readonly #ejection = new Ejection();
  #timer: NodeJS.Timeout | undefined;
  #diagnosis: Promise<Diagnosis> | undefined;
  #stopped = false;

  /**
   * Creates a task without a backend server.
   *
   * @param options Bus, log and configuration.
   */
  constructor(options: BackendTaskOptions) {
    this.#options = options;
  }

  /** The backend server's latest announcement. */
  get announced(): Announcement | undefined {
    return this.#announced;
  }

  /** Whether the backend server may get new work. */
  get isReady(): boolean {
    return this.#isReady;
  }

  /** The state to tell the fleet. */
  get status(): BackendStatus {
    return {
      service: this.#announced?.service ?? "",
      isReady: this.#isReady,
      slots: this.#announced?.slots ?? 0,
      readyAtMs: this.#readyAtMs,
    };
  }

  /**
   * Takes in an announcement of the backend server; repeats are harmless.
   *
   * @param announcement The announcement.
   */
  announce(announcement: Announcement): void {
    const previous = this.#announced;
    this.#announced = announcement;
    const moved = previous?.port !== announcement.port ||
      previous.host !== announcement.host;
    if (moved || previous?.slots !== announcement.slots) {
      this.#replacePools(announcement);
      this.#options.log.info("backend-announced", {
        service: announcement.service,
        port: announcement.port,
        slots: announcement.slots,
      });
    }
    if (announcement.isDraining) this.#setReady(false, "announced-draining");
    else if (moved || previous?.isDraining === true) this.#probeNow();
  }

  /**
   * Returns the connections for requests of a rank.
   *
   * @param rank The rank.
   * @returns The pool; `undefined` before an announcement.
   */
  pool(rank: Rank): Dispatcher | undefined {
    return this.#pools?.[rank];
  }

  /** Records that the backend server answered an exchange properly. */
  exchangeSucceeded(): void {
    this.#exchangeFailures = 0;
    this.#successes++;
    if (this.#successes >= SUCCESSES_TO_TRUST) this.#ejection.resetBackoff();
  }

  /**
   * Records an answer that speaks against the backend server's health, such as
   * a server error or a timeout, whatever its health endpoint says.
   */
  exchangeFailed(): void {
    this.#exchangeFailures++;
    this.#successes = 0;
    const limit = this.#health().failuresToEject;
    if (this.#exchangeFailures < limit || !this.#isReady) return;
    this.#ejection.start(monotonicMs());
    this.#setReady(false, "exchanges-failed");
  }

  /**
   * Looks at the backend server after a connection broke.
   *
   * @param pool Connections that the broken one belonged to.
   * @returns Whether it is gone. Calls at the same time share one look.
   */
  diagnose(pool: Dispatcher): Promise<Diagnosis> {
    const isCurrent = RANKS.some((rank) => this.#pools?.[rank] === pool);
    // A successor announced itself at another address: the old one is gone.
    if (!isCurrent) return Promise.resolve(Diagnosis.Crashed);
    this.#diagnosis ??= this.#look().finally(() => {
      this.#diagnosis = undefined;
    });
    return this.#diagnosis;
  }

  /** Ends the probes and closes the connections. */
  async stop(): Promise<void> {
    this.#stopped = true;
    clearTimeout(this.#timer);
    await Promise.all([
      this.#probes.destroy(),
      ...RANKS.map((rank) => this.#pools?.[rank].destroy()),
    ]);
  }

  /**
   * Looks until the picture is clear: a process that is about to end may still
   * accept a connection and break it.
   */
  async #look(): Promise<Diagnosis> {
    const pools = this.#pools;
    const deadlineMs = monotonicMs() + LOOK_TIMEOUT_MS;
    while (monotonicMs() < deadlineMs) {
      const failure = await this.#probe();
      if (this.#pools !== pools) return Diagnosis.Crashed;
      if (failure === undefined) return Diagnosis.Alive;
      if (failure === "refused") {
        this.#setReady(false, "crashed");
        return Diagnosis.Crashed;
      }
      await sleep(LOOK_PAUSE_MS);
    }
    return Diagnosis.Alive;
  }

  #probeNow(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    void this.#probeRound();
  }

  async #probeRound(): Promise<void> {
    const failure = await this.#probe();
    if (this.#stopped) return;
    const { failuresToEject, intervalMs } = this.#health();
    if (failure === undefined) this.#probeSucceeded();
    else {
      this.#probeFailures++;
      const gone = failure === "refused" ||
        this.#probeFailures >= failuresToEject;
      if (gone) this.#setReady(false, `probe-${failure}`);
    }
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => void this.#probeRound(), intervalMs);
  }

  #probeSucceeded(): void {
    this.#probeFailures = 0;
    if (this.#announced?.isDraining === true || this.#isReady) return;
    if (this.#ejection.isActive(monotonicMs())) return;
    // A server that failed exchanges is tried again, but not trusted yet.
    const { failuresToEject } = this.#health();
    this.#exchangeFailures = Math.min(
      this.#exchangeFailures,
      failuresToEject - 1,
    );
    this.#setReady(true, "probe-passed");
  }

  /** Probes over a connection of its own. */
  async #probe(): Promise<"refused" | "failed" | undefined> {
    const announced = this.#announced;
    if (announced === undefined) return "failed";
    const { path, timeoutMs } = this.#health();
    try {
      const response = await request(this.#probes, {
        origin: `http://${announced.host}:${announced.port}`,
        path,
        method: "GET",
        signal: AbortSignal.timeout(timeoutMs),
      });
      await response.body.dump();
      return response.statusCode === 200 ? undefined : "failed";
    } catch (error) {
      const code = (error as { code?: string }).code;
      this.#options.log.info("backend-probe-failed", {
        service: announced.service,
        port: announced.port,
        error: messageOf(error),
      });
      return code === "ECONNREFUSED" ? "refused" : "failed";
    }
  }

  #health(): Service["health"] {
    const name = this.#announced?.service ?? "";
    return this.#options.serviceOf(name)?.health ?? DEFAULT_HEALTH;
  }

  #setReady(isReady: boolean, reason: string): void {
    if (this.#isReady === isReady) return;
    this.#isReady = isReady;
    if (isReady) this.#readyAtMs = Date.now();
    this.#options.log.info("backend-state", {
      service: this.#announced?.service,
      ready: isReady,
      reason,
    });
    void this.#options.bus.emit("backendChanged", this.status);
  }

  #replacePools(announcement: Announcement): void {
    const old = this.#pools;
    const perPool = Math.max(
      1,
      Math.min(
        announcement.slots,
        // One connection stays free for the probe.
        Math.floor((announcement.maxConnections - 1) / RANKS.length),
      ),
    );
    this.#pools = perRank(() =>
      new Pool(`http://${announcement.host}:${announcement.port}`, {
        connections: perPool,
        pipelining: 1,
        keepAliveTimeout: IDLE_CONNECTION_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: { timeout: CONNECT_TIMEOUT_MS },
      })
    );
    if (old === undefined) return;
    for (const rank of RANKS) void old[rank].close().catch(() => {});
  }
}
