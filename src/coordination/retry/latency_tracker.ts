/** Number of latest samples from which percentiles are computed. */
const WINDOW_SIZE = 128;
/** Number of new samples after which the samples are sorted again. */
const SAMPLES_PER_SORT = 16;
/** Smallest number of samples for which a percentile is returned. */
const MIN_SAMPLES = 20;

/**
 * Tracks the latest latencies of a service to detect slow calls.
 *
 * @example
 * ```ts
 * new LatencyTracker().percentileMs(0.95); // undefined
 * ```
 */
export class LatencyTracker {
  readonly #samplesMs: number[] = [];
  readonly #sortedMs: number[] = [];
  #next = 0;
  #isStale = true;
  #sampleCount = 0;

  /**
   * Records a latency.
   *
   * @param latencyMs The latency, in ms.
   */
  record(latencyMs: number): void {
    this.#samplesMs[this.#next] = latencyMs;
    this.#next = (this.#next + 1) % WINDOW_SIZE;
    this.#sampleCount++;
    if (this.#sampleCount % SAMPLES_PER_SORT === 0) this.#isStale = true;
  }

  /**
   * Returns a percentile of the latest latencies.
   *
   * @param share The percentile as a share, such as 0.95.
   * @returns The latency in ms; `undefined` while there are too few samples.
   */
  percentileMs(share: number): number | undefined {
    if (this.#samplesMs.length < MIN_SAMPLES) return undefined;
    if (this.#isStale) this.#sort();
    const index = Math.floor(this.#sortedMs.length * share);
    return this.#sortedMs[Math.min(this.#sortedMs.length - 1, index)];
  }

  #sort(): void {
    this.#isStale = false;
    this.#sortedMs.length = 0;
    this.#sortedMs.push(...this.#samplesMs);
    this.#sortedMs.sort((a, b) => a - b);
  }
}
