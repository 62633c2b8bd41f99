/**
 * Limits a rate while letting short bursts pass.
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
   * @param ratePerSecond Tokens that come back each second.
   * @param capacity Most tokens that it holds.
   */
  constructor(ratePerSecond: number, capacity: number) {
    this.#ratePerSecond = ratePerSecond;
    this.#capacity = capacity;
    this.#tokens = capacity;
  }

  /**
   * Takes a token if there is one.
   *
   * @param nowMs Monotonic time.
   * @returns Whether a token was taken.
   */
  tryTake(nowMs: number): boolean {
    this.#refill(nowMs);
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  /**
   * Returns the time until the next token.
   *
   * @param nowMs Monotonic time.
   * @returns Milliseconds, 0 where a token is there.
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
