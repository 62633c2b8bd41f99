/** Latencies that a percentile is taken from. */
const WINDOW = 128;
/** Records after which the percentiles are computed anew. */
const RECORDS_PER_SORT = 16;
/** Latencies needed before a percentile is given. */
const MIN_SAMPLES = 20;

/**
 * Tracks the latest latencies of a service to tell slow calls from usual ones.
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
  #recorded = 0;

  /**
   * Records a latency.
   *
   * @param latencyMs The latency.
   */
  record(latencyMs: number): void {
    this.#samplesMs[this.#next] = latencyMs;
    this.#next = (this.#next + 1) % WINDOW;
    this.#recorded++;
    if (this.#recorded % RECORDS_PER_SORT === 0) this.#isStale = true;
  }

  /**
   * Returns a percentile of the latest latencies.
   *
   * @param share The percentile as a share, such as 0.95.
   * @returns Milliseconds, or `undefined` while there are too few.
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
