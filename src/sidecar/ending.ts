/** Time to answer what reaches its deadline before the process ends, in ms. */
const ANSWER_MARGIN_MS = 100;

/**
 * The time at which this process ends, once it was asked to.
 *
 * @example
 * ```ts
 * const ending = new Ending();
 * ending.endAtMs = 5_000;
 * ending.allows(6_000); // false
 * ```
 */
export class Ending {
  /** Monotonic time of the end; infinite until the process is asked to stop. */
  endAtMs = Infinity;

  /**
   * Says whether a request is sure to be answered before the end.
   *
   * @param deadlineMs Monotonic time until which its caller waits.
   * @returns Whether it is.
   */
  allows(deadlineMs: number): boolean {
    return deadlineMs + ANSWER_MARGIN_MS <= this.endAtMs;
  }
}
