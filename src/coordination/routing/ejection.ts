/** Shortest and, by default, longest duration of an ejection, in ms. */
const MIN_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;

/**
 * Ejection of a failing endpoint, for durations that double each time.
 *
 * @example
 * ```ts
 * const ejection = new Ejection();
 * ejection.start(0);
 * ejection.isActive(999); // true
 * ```
 */
export class Ejection {
  readonly #maxMs: number;
  #count = 0;
  #untilMs = 0;

  /**
   * Creates an ejection that has not started.
   *
   * @param maxMs Longest duration, in ms.
   */
  constructor(maxMs = MAX_EJECTION_MS) {
    this.#maxMs = maxMs;
  }

  /**
   * Starts an ejection.
   *
   * @param nowMs Monotonic time, in ms.
   */
  start(nowMs: number): void {
    const ejectionMs = MIN_EJECTION_MS * 2 ** this.#count;
    this.#untilMs = nowMs + Math.min(ejectionMs, this.#maxMs);
    this.#count++;
  }

  /** Resets the duration of the next ejection to the shortest one. */
  resetBackoff(): void {
    this.#count = 0;
  }

  /** Returns whether an ejection is active at a monotonic time. */
  isActive(nowMs: number): boolean {
    return nowMs < this.#untilMs;
  }
}
