/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.3;
/** Time in which an average without new samples halves, in ms. */
const HALF_LIFE_MS = 1_000;

/**
 * An average of recent times that fades to zero without new samples, so that
 * what looked bad is tried again.
 *
 * @example
 * ```ts
 * const average = new FadingAverage();
 * average.add(800, 0);
 * average.at(0); // 240
 * average.at(1_000); // 120
 * ```
 */
export class DecayingAverage {
  #value = 0;
  #atMs = 0;

  /**
   * Takes in a sample.
   *
   * @param sample The sample.
   * @param nowMs Monotonic time.
   */
  add(sample: number, nowMs: number): void {
    const current = this.valueAt(nowMs);
    this.#value = current + (sample - current) * SAMPLE_WEIGHT;
    this.#atMs = nowMs;
  }

  /**
   * Returns the average at a time.
   *
   * @param nowMs Monotonic time.
   * @returns The average, faded.
   */
  valueAt(nowMs: number): number {
    return this.#value * 0.5 ** ((nowMs - this.#atMs) / HALF_LIFE_MS);
  }
}
