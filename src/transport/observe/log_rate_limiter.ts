import type { EventLog } from "./event_log.ts";

/**
 * Bounds the lines of one kind in a second, and says how many were left out.
 *
 * @example
 * ```ts ignore
 * const limit = new LineLimit(log, 100);
 * if (limit.allows(performance.now())) log.info("request-ended");
 * ```
 */
export class LogRateLimiter {
  readonly #log: EventLog;
  readonly #maxPerS: number;
  #second = 0;
  #lines = 0;

  /**
   * Creates a limit that has let no line through.
   *
   * @param log Where the lines that were left out are counted.
   * @param maxPerS Most lines in a second.
   */
  constructor(log: EventLog, maxPerS: number) {
    this.#log = log;
    this.#maxPerS = maxPerS;
  }

  /**
   * Asks for a line.
   *
   * @param nowMs Monotonic time.
   * @returns Whether it may be written.
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
