/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.3;
/** Half-life of the average without new samples, in ms. */
const HALF_LIFE_MS = 1_000;

/**
 * A moving average that decays to zero without new samples, so that a
 * destination with bad samples is tried again.
 *
 * @example
 * ```ts
 * const average = new DecayingAverage();
 * average.add(800, 0);
 * average.valueAt(0); // 240
 * average.valueAt(1_000); // 120
 * ```
 */
export class DecayingAverage {
  #value = 0;
  #atMs = 0;

  /**
   * Adds a sample.
   *
   * @param sample The sample.
   * @param nowMs Monotonic time, in ms.
   */
  add(sample: number, nowMs: number): void {
    const current = this.valueAt(nowMs);
    this.#value = current + (sample - current) * SAMPLE_WEIGHT;
    this.#atMs = nowMs;
  }

  /**
   * Returns the decayed average at a time.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The average, in the unit of the samples.
   */
  valueAt(nowMs: number): number {
    return this.#value * 0.5 ** ((nowMs - this.#atMs) / HALF_LIFE_MS);
  }
}
