/** Weight of the newest report in the averages. */
const REPORT_WEIGHT = 0.1;
/** Half-life of the averages without new reports, in ms. */
const HALF_LIFE_MS = 2_000;

/**
 * Average load of a service's backend servers in one failure domain. It stands
 * in for a backend server whose own report is old: in a large fleet a daemon
 * hears from each of them rarely.
 *
 * @example
 * ```ts
 * const load = new DomainLoad();
 * load.record(0.5, 40, 0);
 * load.waitMsAt(0); // 4
 * ```
 */
export class DomainLoad {
  #busy = 0;
  #waitMs = 0;
  #atMs = 0;

  /**
   * Records a report of a backend server.
   *
   * @param busy Requests there, as a share of its slots.
   * @param waitMs Expected wait there, in ms.
   * @param nowMs Monotonic time, in ms.
   */
  record(busy: number, waitMs: number, nowMs: number): void {
    const kept = this.#keptShare(nowMs);
    this.#busy = this.#busy * kept * (1 - REPORT_WEIGHT) + busy * REPORT_WEIGHT;
    this.#waitMs = this.#waitMs * kept * (1 - REPORT_WEIGHT) +
      waitMs * REPORT_WEIGHT;
    this.#atMs = nowMs;
  }

  /** Returns the average requests at a backend server per slot. */
  busyAt(nowMs: number): number {
    return this.#busy * this.#keptShare(nowMs);
  }

  /** Returns the average wait, in ms. */
  waitMsAt(nowMs: number): number {
    return this.#waitMs * this.#keptShare(nowMs);
  }

  #keptShare(nowMs: number): number {
    return 0.5 ** (Math.max(0, nowMs - this.#atMs) / HALF_LIFE_MS);
  }
}
