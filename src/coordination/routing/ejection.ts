/** Shortest and, by default, longest time of an ejection, in ms. */
const MIN_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;

/**
 * Keeps a failing endpoint out for times that double with each ejection.
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
   * @param maxMs Longest time, in ms.
   */
  constructor(maxMs = MAX_EJECTION_MS) {
    this.#maxMs = maxMs;
  }

  /**
   * Starts an ejection.
   *
   * @param nowMs Monotonic time.
   */
  start(nowMs: number): void {
    const ejectionMs = MIN_EJECTION_MS * 2 ** this.#count;
    this.#untilMs = nowMs + Math.min(ejectionMs, this.#maxMs);
    this.#count++;
  }

  /** Makes the next ejection short again. */
  resetBackoff(): void {
    this.#count = 0;
  }

  /** Says whether an ejection lasts at a monotonic time. */
  isActive(nowMs: number): boolean {
    return nowMs < this.#untilMs;
  }
}
