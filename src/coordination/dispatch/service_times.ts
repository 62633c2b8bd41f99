/** Weight of the newest sample in an average. */
const SAMPLE_WEIGHT = 0.1;
/** Part of the average service time up to which a request is short. */
const SHORT_SHARE = 0.6;
/** Service time assumed before the first sample, in ms. */
const INITIAL_MS = 50;

/**
 * Average service times of one backend server by route.
 *
 * @example
 * ```ts
 * const times = new ServiceTimes();
 * times.learn("stock", 120);
 * times.expectedMs("stock"); // 120
 * ```
 */
export class ServiceTimes {
  readonly #byRoute = new Map<string, number>();
  #overallMs = 0;

  /**
   * Takes in a served request.
   *
   * @param route Name of its route.
   * @param serviceMs Time that it ran.
   */
  record(route: string, serviceMs: number): void {
    this.#byRoute.set(route, average(this.#byRoute.get(route), serviceMs));
    this.#overallMs = average(this.#overallMs || undefined, serviceMs);
  }

  /**
   * Says whether requests of a route take little next to the others, so that
   * refusing one frees next to nothing.
   *
   * @param route Name of the route.
   * @returns Whether they do.
   */
  isShort(route: string): boolean {
    return this.expectedMs(route) <= this.overallMs * SHORT_SHARE;
  }

  /** Average over all routes, in ms. */
  get overallMs(): number {
    return this.#overallMs || INITIAL_MS;
  }

  /**
   * Returns the expected service time of a request.
   *
   * @param route Name of its route.
   * @returns The average of the route, or of all routes, in ms.
   */
  expectedMs(route: string): number {
    return this.#byRoute.get(route) ?? this.overallMs;
  }
}

function average(known: number | undefined, sample: number): number {
  return known === undefined
    ? sample
    : known + (sample - known) * SAMPLE_WEIGHT;
}
