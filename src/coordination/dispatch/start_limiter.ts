/** Time over which unused starts accumulate, in ms. */
const BURST_MS = 250;
/** Lowest rate per second: only a response tells that a limit has changed. */
const MIN_STARTS_PER_S = 0.25;
/** Tolerance for rounding errors of the accumulated starts. */
const EPSILON = 1e-6;

const MS_PER_S = 1_000;

/**
 * Limits how many requests per second start at one backend server.
 *
 * @example
 * ```ts
 * const limiter = new StartLimiter();
 * limiter.setRate(10, 0);
 * limiter.tryStart(0); // false
 * limiter.tryStart(100); // true
 * ```
 */
export class StartLimiter {
  #startsPerS: number | undefined;
  /** Requests that may start at `#updatedAtMs`. */
  #available = 0;
  #updatedAtMs = 0;

  /** Requests that may start in a second; `undefined` without a limit. */
  get startsPerS(): number | undefined {
    return this.#startsPerS;
  }

  /**
   * Sets or lifts the limit. Starts that have accumulated are kept.
   *
   * @param startsPerS Requests per second; `undefined` lifts the limit.
   * @param nowMs Monotonic time, in ms.
   */
  setRate(startsPerS: number | undefined, nowMs: number): void {
    if (startsPerS === undefined) {
      this.#available = 0;
    } else {
      this.#update(nowMs);
    }
    this.#updatedAtMs = nowMs;
    this.#startsPerS = startsPerS === undefined
      ? undefined
      : Math.max(MIN_STARTS_PER_S, startsPerS);
  }

  /**
   * Takes one start, if there is one.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Whether a request may start now.
   */
  tryStart(nowMs: number): boolean {
    if (this.#startsPerS === undefined) return true;
    this.#update(nowMs);
    if (this.#available < 1 - EPSILON) return false;
    this.#available--;
    return true;
  }

  /**
   * Returns the time until requests may start.
   *
   * @param nowMs Monotonic time, in ms.
   * @param count Number of requests, the last of which is waited for.
   * @returns The time, in ms; 0 if all may start now.
   */
  waitMs(nowMs: number, count = 1): number {
    if (this.#startsPerS === undefined) return 0;
    this.#update(nowMs);
    const missing = count - this.#available;
    return missing <= EPSILON ? 0 : missing * MS_PER_S / this.#startsPerS;
  }

  #update(nowMs: number): void {
    if (this.#startsPerS === undefined) return;
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    const maxAvailable = Math.max(1, this.#startsPerS * BURST_MS / MS_PER_S);
    this.#available = Math.min(
      maxAvailable,
      this.#available + elapsedMs * this.#startsPerS / MS_PER_S,
    );
    this.#updatedAtMs = Math.max(this.#updatedAtMs, nowMs);
  }
}
