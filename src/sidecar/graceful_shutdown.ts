/** Part of the grace after which the process ends at the latest. */
const LATEST_END_SHARE = 0.95;
/** Part of the grace in which requests are taken whatever time they have. */
const ADMIT_ALL_SHARE = 0.45;
/** Time to answer what reaches its deadline before the process ends, in ms. */
const RESPONSE_MARGIN_MS = 100;

/**
 * The time at which this process ends, once it was asked to, and what it takes
 * until then.
 *
 * @example
 * ```ts
 * const ending = new Ending();
 * ending.begin(0, 6_000);
 * ending.allows(6_000, 4_000); // false
 * ```
 */
export class GracefulShutdown {
  #endAtMs = Infinity;
  #admitAllUntilMs = Infinity;

  /** Monotonic time of the end; infinite until the process is asked to stop. */
  get endAtMs(): number {
    return this.#endAtMs;
  }

  /**
   * Takes in that the process was asked to stop.
   *
   * @param nowMs Monotonic time.
   * @param graceMs Time until it is ended by force.
   */
  begin(nowMs: number, graceMs: number): void {
    this.#endAtMs = nowMs + graceMs * LATEST_END_SHARE;
    this.#admitAllUntilMs = nowMs + graceMs * ADMIT_ALL_SHARE;
  }

  /**
   * Takes in that the process ends once what it carries is answered.
   *
   * @param nowMs Monotonic time.
   */
  stopAdmission(nowMs: number): void {
    this.#endAtMs = nowMs;
    // Also for a request that came before and is judged only now.
    this.#admitAllUntilMs = -Infinity;
  }

  /**
   * Says whether a request may be taken. Late ones have to be sure of an answer
   * before the end, as they would be cut; early ones are likely to end before.
   *
   * @param deadlineMs Monotonic time until which its caller waits.
   * @param nowMs Monotonic time.
   * @returns Whether it may.
   */
  admits(deadlineMs: number, nowMs: number): boolean {
    return nowMs < this.#admitAllUntilMs ||
      deadlineMs + RESPONSE_MARGIN_MS <= this.#endAtMs;
  }
}
