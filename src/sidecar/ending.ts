/** Longest time that a request is taken to need, in ms. */
const MAX_EXPECTED_MS = 2_000;

/**
 * The time at which this process ends, once it was asked to.
 *
 * @example
 * ```ts
 * const ending = new Ending();
 * ending.endAtMs = 5_000;
 * ending.allows(6_000, 4_000); // false
 * ```
 */
export class Ending {
  /** Monotonic time of the end; infinite until the process is asked to stop. */
  endAtMs = Infinity;

  /**
   * Says whether a request that is taken now can be answered before the end.
   *
   * @param deadlineMs Monotonic time until which its caller waits.
   * @param nowMs Monotonic time.
   * @returns Whether it can.
   */
  allows(deadlineMs: number, nowMs: number): boolean {
    return Math.min(deadlineMs, nowMs + MAX_EXPECTED_MS) <= this.endAtMs;
  }
}
