import { setTimeout as sleep } from "node:timers/promises";
import type { Dispatcher } from "undici";
import { Ejection } from "../coordination/routing/ejection.ts";
import type { Service } from "../protocol/config_schema.ts";
import { type PerRank, perRank, type Rank, RANKS } from "../protocol/rank.ts";
import { messageOf } from "../protocol/step_error.ts";
import { strictConnector } from "../transport/http/strict_connector.ts";
import { Agent, Pool, request } from "../transport/http/undici_parts.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { monotonicMs } from "./clocks.ts";
import type { BackendStatus, FleetBus } from "./fleet_bus.ts";

/** A backend server's announcement of itself. */
export interface Announcement {
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly slots: number;
  readonly maxConnections: number;
  /** Whether it is about to stop and accepts no new requests. */
  readonly isDraining: boolean;
}

/** State of the backend server after a failed exchange. */
export enum Diagnosis {
  Alive = "alive",
  Crashed = "crashed",
}

/** Health policy that applies until a configuration is in force. */
const DEFAULT_HEALTH: Service["health"] = {
  path: "/health",
  intervalMs: 1_000,
  timeoutMs: 1_000,
  failuresToEject: 3,
};
/** Time after which an idle connection is closed, in ms. */
const IDLE_TIMEOUT_MS = 10_000;
/** Timeout for opening a connection on the same instance, in ms. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Consecutive successes after which the next ejection is short again. */
const SUCCESSES_TO_RESET = 50;
/** Timeout of a diagnosis, and pause between its probes, in ms. */
const DIAGNOSIS_TIMEOUT_MS = 1_000;
const DIAGNOSIS_PAUSE_MS = 20;

/** Options of a {@linkcode BackendTask}. */
export interface BackendTaskOptions {
  readonly bus: FleetBus;
  readonly log: EventLog;
  /** Returns a service's configuration in force. */
  readonly serviceOf: (name: string) => Service | undefined;
}

/**
 * Manages the connections to the local backend server and tracks its health.
 *
 * Nothing else probes the backend server. Probe results are combined with the
 * results of exchanges, as the health endpoint may lag or be wrong.
 *
 * @example
 * ```ts ignore
 * const task = new BackendTask({ bus, log, serviceOf });
 * task.announce(announcement);
 * ```
 */
export class BackendTask {
  readonly #options: BackendTaskOptions;
  #announcement: Announcement | undefined;
  #pools: PerRank<Pool> | undefined;
  /** Opens a new connection for each probe. */
  readonly #probeAgent = new Agent({ connections: 1, pipelining: 0 });
  #isReady = false;
  #readyAtMs = 0;
  #probeFailures = 0;
  #consecutiveFailures = 0;
  #successes = 0;
  readonly #ejection = new Ejection();
  #probeTimer: NodeJS.Timeout | undefined;
  #pendingDiagnosis: Promise<Diagnosis> | undefined;
  #isStopped = false;

  /**
   * Creates a task; the backend server is not known yet.
   *
   * @param options Bus, log and configuration.
   */
  constructor(options: BackendTaskOptions) {
    this.#options = options;
  }

  /** The backend server's latest announcement. */
  get announcement(): Announcement | undefined {
    return this.#announcement;
  }

  /** Whether the backend server may get new requests. */
  get isReady(): boolean {
    return this.#isReady;
  }

  /** The state to publish to the fleet. */
  get status(): BackendStatus {
    return {
      service: this.#announcement?.service ?? "",
      isReady: this.#isReady,
      slots: this.#announcement?.slots ?? 0,
      readyAtMs: this.#readyAtMs,
    };
  }

  /**
   * Applies an announcement of the backend server; repeating one has no effect.
   *
   * @param announcement The announcement.
   */
  announce(announcement: Announcement): void {
    const previous = this.#announcement;
    this.#announcement = announcement;
    const hasMoved = previous?.port !== announcement.port ||
      previous.host !== announcement.host;
    if (hasMoved || previous?.slots !== announcement.slots) {
      this.#replacePools(announcement);
      this.#options.log.info("backend-announced", {
        service: announcement.service,
        port: announcement.port,
        slots: announcement.slots,
      });
    }
    if (announcement.isDraining) this.#setReady(false, "announced-draining");
    else if (hasMoved || previous?.isDraining === true) this.#probeNow();
  }

  /**
   * Returns the connections for requests of a rank.
   *
   * @param rank The rank.
   * @returns The pool; `undefined` before an announcement.
   */
  poolOf(rank: Rank): Dispatcher | undefined {
    return this.#pools?.[rank];
  }

  /** Records a successful exchange. */
  recordSuccess(): void {
    this.#consecutiveFailures = 0;
    this.#successes++;
    if (this.#successes >= SUCCESSES_TO_RESET) this.#ejection.resetBackoff();
  }

  /**
   * Records a failed exchange, such as a server error or a timeout. It counts
   * whatever the health endpoint reports.
   */
  recordFailure(): void {
    this.#consecutiveFailures++;
    this.#successes = 0;
    const limit = this.#health().failuresToEject;
    if (this.#consecutiveFailures < limit || !this.#isReady) return;
    this.#ejection.start(monotonicMs());
    this.#setReady(false, "exchanges-failed");
  }

  /**
   * Finds out whether the backend server crashed after a connection broke.
   * Concurrent calls share one diagnosis.
   *
   * @param pool Pool that the broken connection belonged to.
   * @returns Whether the backend server crashed.
   */
  diagnose(pool: Dispatcher): Promise<Diagnosis> {
    const isCurrent = RANKS.some((rank) => this.#pools?.[rank] === pool);
    // Another process announced itself since, so the old one is gone.
    if (!isCurrent) return Promise.resolve(Diagnosis.Crashed);
    this.#pendingDiagnosis ??= this.#probeUntilDiagnosed().finally(() => {
      this.#pendingDiagnosis = undefined;
    });
    return this.#pendingDiagnosis;
  }

  /** Stops the probes and closes the connections. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    clearTimeout(this.#probeTimer);
    await Promise.all([
      this.#probeAgent.destroy(),
      ...RANKS.map((rank) => this.#pools?.[rank].destroy()),
    ]);
  }

  /**
   * Probes until the result is clear: a process that is about to exit may still
   * accept a connection and then reset it.
   */
  async #probeUntilDiagnosed(): Promise<Diagnosis> {
    const pools = this.#pools;
    const deadlineMs = monotonicMs() + DIAGNOSIS_TIMEOUT_MS;
    while (monotonicMs() < deadlineMs) {
      const failure = await this.#probe();
      if (this.#pools !== pools) return Diagnosis.Crashed;
      if (failure === undefined) return Diagnosis.Alive;
      if (failure === "refused") {
        this.#setReady(false, "crashed");
        return Diagnosis.Crashed;
      }
      await sleep(DIAGNOSIS_PAUSE_MS);
    }
    return Diagnosis.Alive;
  }

  #probeNow(): void {
    clearTimeout(this.#probeTimer);
    this.#probeTimer = undefined;
    void this.#probeRound();
  }

  async #probeRound(): Promise<void> {
    const failure = await this.#probe();
    if (this.#isStopped) return;
    const { failuresToEject, intervalMs } = this.#health();
    if (failure === undefined) this.#probeSucceeded();
    else {
      this.#probeFailures++;
      const isGone = failure === "refused" ||
        this.#probeFailures >= failuresToEject;
      if (isGone) this.#setReady(false, `probe-${failure}`);
    }
    clearTimeout(this.#probeTimer);
    this.#probeTimer = setTimeout(() => void this.#probeRound(), intervalMs);
  }

  #probeSucceeded(): void {
    this.#probeFailures = 0;
    if (this.#announcement?.isDraining === true || this.#isReady) return;
    if (this.#ejection.isActive(monotonicMs())) return;
    // After failed exchanges, a single further failure ejects it again.
    const { failuresToEject } = this.#health();
    this.#consecutiveFailures = Math.min(
      this.#consecutiveFailures,
      failuresToEject - 1,
    );
    this.#setReady(true, "probe-passed");
  }

  /** Probes over a separate connection; returns the failure, if any. */
  async #probe(): Promise<"refused" | "failed" | undefined> {
    const announcement = this.#announcement;
    if (announcement === undefined) return "failed";
    const { path, timeoutMs } = this.#health();
    try {
      const response = await request(this.#probeAgent, {
        origin: `http://${announcement.host}:${announcement.port}`,
        path,
        method: "GET",
        signal: AbortSignal.timeout(timeoutMs),
      });
      await response.body.dump();
      return response.statusCode === 200 ? undefined : "failed";
    } catch (error) {
      const code = (error as { code?: string }).code;
      this.#options.log.info("backend-probe-failed", {
        service: announcement.service,
        port: announcement.port,
        error: messageOf(error),
      });
      return code === "ECONNREFUSED" ? "refused" : "failed";
    }
  }

  #health(): Service["health"] {
    const name = this.#announcement?.service ?? "";
    return this.#options.serviceOf(name)?.health ?? DEFAULT_HEALTH;
  }

  #setReady(isReady: boolean, reason: string): void {
    if (this.#isReady === isReady) return;
    this.#isReady = isReady;
    if (isReady) this.#readyAtMs = Date.now();
    this.#options.log.info("backend-state", {
      service: this.#announcement?.service,
      ready: isReady,
      reason,
    });
    void this.#options.bus.emit("backendChanged", this.status);
  }

  #replacePools(announcement: Announcement): void {
    const oldPools = this.#pools;
    const connectionsPerPool = Math.max(
      1,
      Math.min(
        announcement.slots,
        // One connection is reserved for probes.
        Math.floor((announcement.maxConnections - 1) / RANKS.length),
      ),
    );
    this.#pools = perRank(() =>
      new Pool(`http://${announcement.host}:${announcement.port}`, {
        connections: connectionsPerPool,
        pipelining: 1,
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: strictConnector({ timeout: CONNECT_TIMEOUT_MS }),
      })
    );
    if (oldPools === undefined) return;
    for (const rank of RANKS) void oldPools[rank].close().catch(() => {});
  }
}
