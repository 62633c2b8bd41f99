import type { EventLog } from "./event_log.ts";

/**
 * Limits the log lines of one kind per second, and logs how many were dropped.
 *
 * @example
 * ```ts ignore
 * const limiter = new LogRateLimiter(log, 100);
 * if (limiter.allows(performance.now())) log.info("request-ended");
 * ```
 */
export class LogRateLimiter {
  readonly #log: EventLog;
  readonly #maxPerS: number;
  #second = 0;
  #lines = 0;

  /**
   * Creates a limiter.
   *
   * @param log Log that reports the number of dropped lines.
   * @param maxPerS Maximum number of lines per second.
   */
  constructor(log: EventLog, maxPerS: number) {
    this.#log = log;
    this.#maxPerS = maxPerS;
  }

  /**
   * Counts a line and decides whether it may be written.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Whether the line may be written.
   */
  allows(nowMs: number): boolean {
    const second = Math.floor(nowMs / 1_000);
    if (second !== this.#second) {
      const dropped = this.#lines - this.#maxPerS;
      if (dropped > 0) this.#log.warn("log-lines-dropped", { dropped });
      this.#second = second;
      this.#lines = 0;
    }
    return this.#lines++ < this.#maxPerS;
  }
}
