import { CallStatus } from "../protocol/peer_call.ts";

/** Time for which an ended or refused request is retained, in ms. */
export const RETENTION_MS = 10_000;

interface Entry {
  readonly status: CallStatus;
  readonly expiresAtMs: number;
}

/**
 * Status of the requests that other daemons sent to this one recently.
 *
 * Once a query has reported a request as unknown, the request is refused if it
 * still arrives, so that the sender may safely send it elsewhere.
 *
 * @example
 * ```ts
 * const table = new CallStatusTable();
 * table.query("a", 0); // "unknown"
 * table.open("a", 1); // false
 * ```
 */
export class CallStatusTable {
  readonly #entries = new Map<string, Entry>();

  /**
   * Registers a request that arrives.
   *
   * @param id Id of the request.
   * @param nowMs Monotonic time.
   * @returns Whether it may be executed.
   */
  open(id: string, nowMs: number): boolean {
    const known = this.#entries.get(id);
    if (known?.status === CallStatus.Unknown && known.expiresAtMs > nowMs) {
      return false;
    }
    this.#entries.set(id, { status: CallStatus.Open, expiresAtMs: Infinity });
    return true;
  }

  /**
   * Marks a request as ended.
   *
   * @param id Id of the request.
   * @param nowMs Monotonic time.
   */
  end(id: string, nowMs: number): void {
    this.#set(id, CallStatus.Ended, nowMs);
    this.#removeExpired(nowMs);
  }

  /**
   * Returns the status of a request.
   *
   * @param id Id of the request.
   * @param nowMs Monotonic time.
   * @returns Its status; an unknown request is refused from now on.
   */
  query(id: string, nowMs: number): CallStatus {
    const known = this.#entries.get(id);
    if (known !== undefined) return known.status;
    this.#set(id, CallStatus.Unknown, nowMs);
    return CallStatus.Unknown;
  }

  #set(id: string, status: CallStatus, nowMs: number): void {
    // Reinserted, so that the map stays ordered by expiry time.
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
