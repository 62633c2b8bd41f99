import { SettleState } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";

/** What became of a request at its destination. */
export enum LedgerState {
  Waiting = "waiting",
  Running = "running",
  Done = "done",
  /** Never ran; a late arrival is refused. */
  Tombstone = "tombstone",
}

/** Most requests that are remembered. */
export const MAX_LEDGER_ENTRIES = 50_000;
/** Time for which a finished request is remembered, in ms. */
const DONE_MEMORY_MS = 60_000;
/** Time for which a late arrival is refused, in ms. */
const TOMBSTONE_MEMORY_MS = 600_000;
/** Allowance for the time that a request spends on the way, in ms. */
const TRANSIT_MARGIN_MS = 1_000;

/** What a sender asks about a request whose answer is late or lost. */
export interface SettleQuery {
  /** Time since the request was sent. */
  readonly ageMs: number;
  /** Whether a request that waits is given up; else it counts as running. */
  readonly givesUp: boolean;
}

/**
 * Remembers the requests that reached this destination.
 *
 * It answers "not run" only where it can prove it: the request is unknown, the
 * ledger reaches back to before it was sent, and a tombstone now refuses it.
 *
 * @example
 * ```ts
 * const ledger = new RequestLedger(0);
 * ledger.settle("r1", { ageMs: 10, givesUp: true }, 5_000); // SettleState.NOT_RUN
 * ledger.begin("r1", 5_001); // false: refused for good
 * ```
 */
export class RequestLedger {
  readonly #live = new Map<string, LedgerState.Waiting | LedgerState.Running>();
  /** Monotonic times at which finished requests may be forgotten. */
  readonly #done = new Map<string, number>();
  readonly #tombstones = new Map<string, number>();
  #completeSinceMs: number;

  /**
   * Creates an empty ledger.
   *
   * @param nowMs Monotonic time of the process start.
   */
  constructor(nowMs: number) {
    this.#completeSinceMs = nowMs;
  }

  /** Number of remembered requests. */
  get size(): number {
    return this.#live.size + this.#done.size + this.#tombstones.size;
  }

  /**
   * Records the arrival of a request.
   *
   * @param id The attempt's id.
   * @param nowMs Monotonic time.
   * @returns False where the id was settled or used before; it must not run.
   */
  admit(id: string, nowMs: number): boolean {
    if (this.#stateOf(id) !== undefined) return false;
    this.#forget(nowMs);
    this.#live.set(id, LedgerState.Waiting);
    return true;
  }

  /**
   * Records that a request is handed to the backend server.
   *
   * @param id The attempt's id.
   * @returns False where it was settled as not run meanwhile.
   */
  start(id: string): boolean {
    if (this.#live.get(id) !== LedgerState.Waiting) return false;
    this.#live.set(id, LedgerState.Running);
    return true;
  }

  /**
   * Records the end of a request that ran, or may have.
   *
   * @param id The attempt's id.
   * @param nowMs Monotonic time.
   */
  finish(id: string, nowMs: number): void {
    this.#live.delete(id);
    this.#done.set(id, nowMs + DONE_MEMORY_MS);
  }

  /**
   * Records that a request was refused and will never run.
   *
   * @param id The attempt's id.
   * @param nowMs Monotonic time.
   */
  refuse(id: string, nowMs: number): void {
    this.#live.delete(id);
    this.#tombstones.set(id, nowMs + TOMBSTONE_MEMORY_MS);
  }

  /**
   * Tells what became of a request, and makes "not run" final.
   *
   * @param id The attempt's id.
   * @param question Time since it was sent, and whether it is given up where
   * it still waits.
   * @param nowMs Monotonic time.
   * @returns What is known.
   */
  settle(
    id: string,
    question: SettleQuery,
    nowMs: number,
  ): SettleState {
    const state = this.#stateOf(id);
    switch (state) {
      case LedgerState.Waiting:
        if (!question.givesUp) return SettleState.RUNNING;
        this.refuse(id, nowMs);
        return SettleState.NOT_RUN;
      case LedgerState.Tombstone:
        return SettleState.NOT_RUN;
      case LedgerState.Running:
        return SettleState.RUNNING;
      case LedgerState.Done:
        return SettleState.DONE;
      case undefined:
        return this.#settleUnseen(id, question.ageMs, nowMs);
    }
  }

  #settleUnseen(id: string, ageMs: number, nowMs: number): SettleState {
    this.#forget(nowMs);
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

  #forget(nowMs: number): void {
    this.#dropOldest(this.#tombstones, nowMs, () => {});
    this.#dropOldest(this.#done, nowMs, (forgetAtMs) => {
      // A request sent later than this finished later too, so it is kept.
      const finishedAtMs = forgetAtMs - DONE_MEMORY_MS;
      this.#completeSinceMs = Math.max(this.#completeSinceMs, finishedAtMs);
    });
  }

  #dropOldest(
    entries: Map<string, number>,
    nowMs: number,
    onDrop: (forgetAtMs: number) => void,
  ): void {
    for (const [id, forgetAtMs] of entries) {
      const full = entries.size >= MAX_LEDGER_ENTRIES;
      if (forgetAtMs > nowMs && !full) return;
      entries.delete(id);
      onDrop(forgetAtMs);
    }
  }
}
