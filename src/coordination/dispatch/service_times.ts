/**
 * Smallest weight of the newest sample. With 0.1, one request of twenty times
 * the usual work made the queue refuse those after it.
 */
const MIN_SAMPLE_WEIGHT = 0.03;
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
  readonly #byRoute = new Map<string, Average>();
  readonly #overall = new Average();

  /**
   * Records a served request.
   *
   * @param route Name of its route.
   * @param serviceMs Its service time, in ms.
   */
  record(route: string, serviceMs: number): void {
    let average = this.#byRoute.get(route);
    if (average === undefined) {
      average = new Average();
      this.#byRoute.set(route, average);
    }
    average.add(serviceMs);
    this.#overall.add(serviceMs);
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
    return this.#overall.valueMs || INITIAL_SERVICE_MS;
  }

  /**
   * Returns the expected service time of a request.
   *
   * @param route Name of its route.
   * @returns The average of the route, or of all routes if it has none, in ms.
   */
  expectedMs(route: string): number {
    return this.#byRoute.get(route)?.valueMs ?? this.overallMs;
  }
}

/** A moving average that follows its first samples at once. */
class Average {
  #valueMs = 0;
  #count = 0;

  /** The average, in ms; 0 before the first sample. */
  get valueMs(): number {
    return this.#valueMs;
  }

  add(sampleMs: number): void {
    this.#count++;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / this.#count);
    this.#valueMs += (sampleMs - this.#valueMs) * weight;
  }
}
