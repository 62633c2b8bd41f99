/** Latencies that a percentile is taken from. */
const WINDOW = 128;
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
  #next = 0;

  /**
   * Records a latency.
   *
   * @param latencyMs The latency.
   */
  record(latencyMs: number): void {
    this.#samplesMs[this.#next] = latencyMs;
    this.#next = (this.#next + 1) % WINDOW;
  }

  /**
   * Returns a percentile of the latest latencies.
   *
   * @param share The percentile as a share, such as 0.95.
   * @returns Milliseconds, or `undefined` while there are too few.
   */
  percentileMs(share: number): number | undefined {
    if (this.#samplesMs.length < MIN_SAMPLES) return undefined;
    const sorted = [...this.#samplesMs].sort((a, b) => a - b);
    return sorted[
      Math.min(sorted.length - 1, Math.floor(sorted.length * share))
    ];
  }
}
