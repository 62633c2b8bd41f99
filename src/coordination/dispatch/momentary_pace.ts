/** Time constant with which a reported pace loses its weight, in ms. */
const DECAY_MS = 300;

/**
 * How long work takes on a backend server at this moment, relative to usual, as
 * it reports with its responses. The report is soon outdated, so it returns to
 * 1, the usual pace.
 *
 * @example
 * ```ts
 * const pace = new MomentaryPace();
 * pace.record(2.5, 0);
 * pace.valueAt(0); // 2.5
 * ```
 */
export class MomentaryPace {
  #pace = 1;
  #atMs = 0;

  /**
   * Records a report.
   *
   * @param pace How long work takes, relative to usual.
   * @param nowMs Monotonic time, in ms.
   */
  record(pace: number, nowMs: number): void {
    this.#pace = pace;
    this.#atMs = nowMs;
  }

  /**
   * Returns the pace at a time.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns How long work takes, relative to usual.
   */
  valueAt(nowMs: number): number {
    return 1 + (this.#pace - 1) * Math.exp((this.#atMs - nowMs) / DECAY_MS);
  }
}
