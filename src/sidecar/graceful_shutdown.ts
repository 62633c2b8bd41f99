/** Share of the grace period after which the process ends at the latest. */
const LATEST_END_SHARE = 0.95;
/** Share of the grace period in which every request is admitted. */
const LENIENT_SHARE = 0.45;
/** Longest such time, in ms: most callers have left this instance by then. */
const MAX_LENIENT_MS = 2_800;
/**
 * Time for which requests of other daemons are admitted, in ms: until the
 * callers have left this instance, which takes two failed readiness checks.
 */
const PEERS_ADMITTED_MS = 1_800;
/** Time needed to send a timeout response before the process ends, in ms. */
const RESPONSE_MARGIN_MS = 100;

/**
 * Decides which requests are admitted during a shutdown, and when the process
 * ends at the latest.
 *
 * @example
 * ```ts
 * const shutdown = new GracefulShutdown();
 * shutdown.begin(0, 6_000);
 * shutdown.admits(6_000, 4_000); // false
 * ```
 */
export class GracefulShutdown {
  #endAtMs = Infinity;
  #lenientUntilMs = Infinity;
  #peersUntilMs = Infinity;

  /** Monotonic time of the end; infinite before {@linkcode begin}. */
  get endAtMs(): number {
    return this.#endAtMs;
  }

  /**
   * Begins the grace period.
   *
   * @param nowMs Monotonic time.
   * @param graceMs Time until the process is killed, in ms.
   */
  begin(nowMs: number, graceMs: number): void {
    this.#endAtMs = nowMs + graceMs * LATEST_END_SHARE;
    this.#lenientUntilMs = nowMs +
      Math.min(MAX_LENIENT_MS, graceMs * LENIENT_SHARE);
    this.#peersUntilMs = nowMs + PEERS_ADMITTED_MS;
  }

  /**
   * Admits no further requests; the process ends once the open ones have.
   *
   * @param nowMs Monotonic time.
   */
  stopAdmission(nowMs: number): void {
    this.#endAtMs = nowMs;
    // Also applies to a request that arrived earlier and is checked only now.
    this.#lenientUntilMs = -Infinity;
  }

  /**
   * Reports whether a request is admitted. Early in the grace period every
   * request is, since it is likely to end in time. Later, its deadline must be
   * before the end of the process, which would otherwise cut it off.
   *
   * @param deadlineMs Monotonic time until which its caller waits.
   * @param nowMs Monotonic time.
   * @returns Whether it is admitted.
   */
  admits(deadlineMs: number, nowMs: number): boolean {
    return nowMs < this.#lenientUntilMs ||
      deadlineMs + RESPONSE_MARGIN_MS <= this.#endAtMs;
  }

  /**
   * Reports whether a request of another daemon is admitted. They are refused
   * earlier, since that daemon can choose another backend server at once, and
   * this process can only end without running requests.
   *
   * @param deadlineMs Monotonic time until which its caller waits.
   * @param nowMs Monotonic time.
   * @returns Whether it is admitted.
   */
  admitsPeer(deadlineMs: number, nowMs: number): boolean {
    return nowMs < this.#peersUntilMs && this.admits(deadlineMs, nowMs);
  }
}
