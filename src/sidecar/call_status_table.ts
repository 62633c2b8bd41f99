import { CallStatus } from "../protocol/peer_call.ts";

/** Time for which an ended or refused request is remembered, in ms. */
export const RETENTION_MS = 10_000;

interface Entry {
  readonly status: CallStatus;
  readonly expiresAtMs: number;
}

/**
 * Requests of other daemons that reached this one lately.
 *
 * Who asks about a request that never arrived is told so, and the request is
 * refused if it arrives after all.
 *
 * @example
 * ```ts
 * const ledger = new CallLedger();
 * ledger.ask("a", 0); // "unknown"
 * ledger.open("a", 1); // false
 * ```
 */
export class CallStatusTable {
  readonly #entries = new Map<string, Entry>();

  /**
   * Takes in a request.
   *
   * @param id Id of the request.
   * @param nowMs Monotonic time.
   * @returns Whether it may be executed.
   */
  register(id: string, nowMs: number): boolean {
    const known = this.#entries.get(id);
    if (known?.status === CallStatus.Unknown && known.expiresAtMs > nowMs) {
      return false;
    }
    this.#entries.set(id, { status: CallStatus.Open, expiresAtMs: Infinity });
    return true;
  }

  /**
   * Notes that a request ended.
   *
   * @param id Id of the request.
   * @param nowMs Monotonic time.
   */
  finish(id: string, nowMs: number): void {
    this.#set(id, CallStatus.Ended, nowMs);
    this.#removeExpired(nowMs);
  }

  /**
   * Answers a question about a request.
   *
   * @param id Id of the request.
   * @param nowMs Monotonic time.
   * @returns Its status; one that is unknown is refused from now on.
   */
  query(id: string, nowMs: number): CallStatus {
    const known = this.#entries.get(id);
    if (known !== undefined) return known.status;
    this.#set(id, CallStatus.Unknown, nowMs);
    return CallStatus.Unknown;
  }

  #set(id: string, status: CallStatus, nowMs: number): void {
    // Set anew, so that the map stays in the order of the times.
    this.#entries.delete(id);
    this.#entries.set(id, { status, expiresAtMs: nowMs + RETENTION_MS });
  }

  #removeExpired(nowMs: number): void {
    for (const [id, entry] of this.#entries) {
      if (entry.expiresAtMs === Infinity) continue;
      if (entry.expiresAtMs > nowMs) return;
      this.#entries.delete(id);
    }
  }
}
