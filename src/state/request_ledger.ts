import { SettleState } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";

/** State of a request at its destination. */
export enum LedgerState {
  Waiting = "waiting",
  Running = "running",
  Done = "done",
  /** The request never ran; it is refused if it arrives late. */
  Tombstone = "tombstone",
}

/** Maximum number of finished requests, and of tombstones. */
export const MAX_LEDGER_ENTRIES = 50_000;
/** Time for which a finished request is kept, in ms. */
const DONE_RETENTION_MS = 60_000;
/** Time for which a tombstone refuses a late arrival, in ms. */
const TOMBSTONE_RETENTION_MS = 600_000;
/** Margin for the transit time of a request, in ms. */
const TRANSIT_MARGIN_MS = 1_000;

/** A sender's query about a request whose response is late or lost. */
export interface SettleQuery {
  /** Time since the request was sent, in ms. */
  readonly ageMs: number;
  /** Whether to refuse a waiting request; otherwise it counts as running. */
  readonly givesUp: boolean;
}

/**
 * Tracks the requests that reached this destination.
 *
 * It reports an unknown request as "not run" only if the ledger covers the time
 * at which the request was sent. A tombstone then refuses the request if it
 * arrives later.
 *
 * @example
 * ```ts
 * const ledger = new RequestLedger(0);
 * ledger.settle("r1", { ageMs: 10, givesUp: true }, 5_000); // SettleState.NOT_RUN
 * ledger.admit("r1", 5_001); // false: refused for good
 * ```
 */
export class RequestLedger {
  readonly #live = new Map<string, LedgerState.Waiting | LedgerState.Running>();
  /** Monotonic times in ms at which finished requests expire. */
  readonly #done = new Map<string, number>();
  readonly #tombstones = new Map<string, number>();
  #completeSinceMs: number;

  /**
   * Creates an empty ledger.
   *
   * @param nowMs Monotonic time of the process start, in ms.
   */
  constructor(nowMs: number) {
    this.#completeSinceMs = nowMs;
  }

  /** Number of requests in the ledger, including tombstones. */
  get size(): number {
    return this.#live.size + this.#done.size + this.#tombstones.size;
  }

  /**
   * Records the arrival of a request.
   *
   * @param id The attempt's id.
   * @param nowMs Monotonic time in ms.
   * @returns False if the id was settled or used before. The request must not
   * run then.
   */
  admit(id: string, nowMs: number): boolean {
    if (this.#stateOf(id) !== undefined) return false;
    this.#evictExpired(nowMs);
    this.#live.set(id, LedgerState.Waiting);
    return true;
  }

  /**
   * Records that a request is sent to the backend server.
   *
   * @param id The attempt's id.
   * @returns False if the request was settled as not run in the meantime.
   */
  start(id: string): boolean {
    if (this.#live.get(id) !== LedgerState.Waiting) return false;
    this.#live.set(id, LedgerState.Running);
    return true;
  }

  /**
   * Records the end of a request that ran or may have run.
   *
   * @param id The attempt's id.
   * @param nowMs Monotonic time in ms.
   */
  finish(id: string, nowMs: number): void {
    this.#live.delete(id);
    this.#done.set(id, nowMs + DONE_RETENTION_MS);
  }

  /**
   * Records that a request was refused and will never run.
   *
   * @param id The attempt's id.
   * @param nowMs Monotonic time in ms.
   */
  refuse(id: string, nowMs: number): void {
    this.#live.delete(id);
    this.#tombstones.set(id, nowMs + TOMBSTONE_RETENTION_MS);
  }

  /**
   * Returns the state of a request. Once the state is "not run", the request
   * never runs.
   *
   * @param id The attempt's id.
   * @param query Time since the request was sent, and whether to refuse it if
   * it is still waiting.
   * @param nowMs Monotonic time in ms.
   * @returns The state; unknown if the ledger does not cover the sending time.
   */
  settle(
    id: string,
    query: SettleQuery,
    nowMs: number,
  ): SettleState {
    const state = this.#stateOf(id);
    switch (state) {
      case LedgerState.Waiting:
        if (!query.givesUp) return SettleState.RUNNING;
        this.refuse(id, nowMs);
        return SettleState.NOT_RUN;
      case LedgerState.Tombstone:
        return SettleState.NOT_RUN;
      case LedgerState.Running:
        return SettleState.RUNNING;
      case LedgerState.Done:
        return SettleState.DONE;
      case undefined:
        return this.#settleUnknown(id, query.ageMs, nowMs);
    }
  }

  #settleUnknown(id: string, ageMs: number, nowMs: number): SettleState {
    this.#evictExpired(nowMs);
    const sentAtMs = nowMs - ageMs - TRANSIT_MARGIN_MS;
    if (sentAtMs < this.#completeSinceMs) return SettleState.UNKNOWN;
    this.refuse(id, nowMs);
    return SettleState.NOT_RUN;
  }

  #stateOf(id: string): LedgerState | undefined {
    const live = this.#live.get(id);
    if (live !== undefined) return live;
    if (this.#done.has(id)) return LedgerState.Done;
    return this.#tombstones.has(id) ? LedgerState.Tombstone : undefined;
  }

  #evictExpired(nowMs: number): void {
    this.#evict(this.#tombstones, nowMs, () => {});
    this.#evict(this.#done, nowMs, (expiresAtMs) => {
      // A request that was sent after this time also finished after it, so its
      // entry has not been evicted yet.
      const finishedAtMs = expiresAtMs - DONE_RETENTION_MS;
      this.#completeSinceMs = Math.max(this.#completeSinceMs, finishedAtMs);
    });
  }

  #evict(
    entries: Map<string, number>,
    nowMs: number,
    onEvict: (expiresAtMs: number) => void,
  ): void {
    for (const [id, expiresAtMs] of entries) {
      const isFull = entries.size >= MAX_LEDGER_ENTRIES;
      if (expiresAtMs > nowMs && !isFull) return;
      entries.delete(id);
      onEvict(expiresAtMs);
    }
  }
}
