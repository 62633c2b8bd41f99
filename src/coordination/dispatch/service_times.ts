/** Weight of the newest sample in an average. */
const SAMPLE_WEIGHT = 0.1;
/** Share of the average service time up to which a route is short. */
const SHORT_SHARE = 0.6;
/** Assumed service time before the first sample, in ms. */
const INITIAL_SERVICE_MS = 50;

/**
 * Moving averages of one backend server's service times, by route.
 *
 * @example
 * ```ts
 * const times = new ServiceTimes();
 * times.record("stock", 120);
 * times.expectedMs("stock"); // 120
 * ```
 */
export class ServiceTimes {
  readonly #byRoute = new Map<string, number>();
  #overallMs = 0;

  /**
   * Records a served request.
   *
   * @param route Name of its route.
   * @param serviceMs Its service time, in ms.
   */
  record(route: string, serviceMs: number): void {
    this.#byRoute.set(route, average(this.#byRoute.get(route), serviceMs));
    this.#overallMs = average(this.#overallMs || undefined, serviceMs);
  }

  /**
   * Returns whether requests of a route are short compared to the average, so
   * that refusing one frees little capacity.
   *
   * @param route Name of the route.
   * @returns Whether they are short.
   */
  isShort(route: string): boolean {
    return this.expectedMs(route) <= this.overallMs * SHORT_SHARE;
  }

  /** Average over all routes, in ms. */
  get overallMs(): number {
    return this.#overallMs || INITIAL_SERVICE_MS;
  }

  /**
   * Returns the expected service time of a request.
   *
   * @param route Name of its route.
   * @returns The average of the route, or of all routes if it has none, in ms.
   */
  expectedMs(route: string): number {
    return this.#byRoute.get(route) ?? this.overallMs;
  }
}

function average(current: number | undefined, sample: number): number {
  return current === undefined
    ? sample
    : current + (sample - current) * SAMPLE_WEIGHT;
}
