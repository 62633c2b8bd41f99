/**
 * Limits a rate but allows short bursts.
 *
 * @example
 * ```ts
 * const bucket = new TokenBucket(2, 2);
 * bucket.tryTake(0); // true
 * ```
 */
export class TokenBucket {
  readonly #ratePerSecond: number;
  readonly #capacity: number;
  #tokens: number;
  #updatedAtMs = 0;

  /**
   * Creates a full bucket.
   *
   * @param ratePerSecond Tokens that are added each second.
   * @param capacity Maximum number of tokens.
   */
  constructor(ratePerSecond: number, capacity: number) {
    this.#ratePerSecond = ratePerSecond;
    this.#capacity = capacity;
    this.#tokens = capacity;
  }

  /**
   * Takes a token if one is available.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Whether a token was taken.
   */
  tryTake(nowMs: number): boolean {
    this.#refill(nowMs);
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  /**
   * Returns the time until the next token is available.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The time in ms; 0 if a token is available.
   */
  waitMs(nowMs: number): number {
    this.#refill(nowMs);
    if (this.#tokens >= 1) return 0;
    return Math.ceil(((1 - this.#tokens) / this.#ratePerSecond) * 1_000);
  }

  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    const refilled = this.#tokens + (elapsedMs * this.#ratePerSecond) / 1_000;
    this.#tokens = Math.min(this.#capacity, refilled);
    this.#updatedAtMs = nowMs;
  }
}
