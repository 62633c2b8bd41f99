import type { DomainLoad } from "./domain_load.ts";

/** Weight of the newest report in the averages. */
const REPORT_WEIGHT = 0.3;
/** Half-life of the deviation from the domain's load without reports, in ms. */
const HALF_LIFE_MS = 5_000;

/**
 * Average load of one backend server over its recent reports, which returns to
 * that of its domain. Fast servers are busier than others, so the load of the
 * domain alone would send too many requests to them.
 *
 * @example
 * ```ts
 * const load = new UsualLoad(new DomainLoad());
 * load.record(1, 40, 0);
 * load.waitMsAt(0); // 12
 * ```
 */
export class UsualLoad {
  readonly #domain: DomainLoad;
  #busyDeviation = 0;
  #waitDeviationMs = 0;
  #atMs = 0;

  /**
   * Creates the load of a backend server without reports.
   *
   * @param domain Load of its domain.
   */
  constructor(domain: DomainLoad) {
    this.#domain = domain;
  }

  /**
   * Records a report.
   *
   * @param busy Requests at the backend server, as a share of its slots.
   * @param waitMs Expected wait there, in ms.
   * @param nowMs Monotonic time, in ms.
   */
  record(busy: number, waitMs: number, nowMs: number): void {
    const kept = this.#keptShare(nowMs);
    const busyDeviation = busy - this.#domain.busyAt(nowMs);
    const waitDeviationMs = waitMs - this.#domain.waitMsAt(nowMs);
    this.#busyDeviation = this.#busyDeviation * kept * (1 - REPORT_WEIGHT) +
      busyDeviation * REPORT_WEIGHT;
    this.#waitDeviationMs = this.#waitDeviationMs * kept * (1 - REPORT_WEIGHT) +
      waitDeviationMs * REPORT_WEIGHT;
    this.#atMs = nowMs;
  }

  /** Returns the usual requests at the backend server per slot. */
  busyAt(nowMs: number): number {
    const deviation = this.#busyDeviation * this.#keptShare(nowMs);
    return Math.max(0, this.#domain.busyAt(nowMs) + deviation);
  }

  /** Returns the usual wait, in ms. */
  waitMsAt(nowMs: number): number {
    const deviationMs = this.#waitDeviationMs * this.#keptShare(nowMs);
    return Math.max(0, this.#domain.waitMsAt(nowMs) + deviationMs);
  }

  #keptShare(nowMs: number): number {
    return 0.5 ** (Math.max(0, nowMs - this.#atMs) / HALF_LIFE_MS);
  }
}
