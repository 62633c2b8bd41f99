import type { ServiceTimes } from "./service_times.ts";

/** Smallest weight of the newest sample in the pace. */
const MIN_SAMPLE_WEIGHT = 0.1;
/** Samples as which the pace of the whole service counts at first. */
const PRIOR_SAMPLES = 1;
/** Half-life of the deviation from the service's pace without samples, in ms. */
const HALF_LIFE_MS = 8_000;
/** Bounds of one sample, since single requests may be far longer than others. */
const MIN_SAMPLE = 0.25;
const MAX_SAMPLE = 4;

/**
 * Service times of one backend server, as its pace relative to the mean times
 * of its service.
 *
 * In a large fleet a daemon sends few requests to each backend server. The
 * service times of routes are averaged over the service, so that one request
 * of any route tells about all of them.
 *
 * @example
 * ```ts
 * const shared = new ServiceTimes();
 * shared.record("stock", 100);
 * const pace = new MeanPace(shared);
 * pace.record("stock", 300, 0);
 * pace.expectedMs("stock", 0); // between 100 and 300
 * ```
 */
export class MeanPace {
  readonly #shared: ServiceTimes;
  #pace = 1;
  #atMs = 0;
  #sampleCount = 0;

  /**
   * Creates the pace of a backend server without requests so far.
   *
   * @param shared Service times over all backend servers of the service.
   */
  constructor(shared: ServiceTimes) {
    this.#shared = shared;
  }

  /**
   * Records a served request.
   *
   * @param route Name of its route.
   * @param serviceMs Its service time, in ms.
   * @param nowMs Monotonic time, in ms.
   */
  record(route: string, serviceMs: number, nowMs: number): void {
    const sample = serviceMs / this.#shared.expectedMs(route);
    this.#shared.record(route, serviceMs);
    const pace = this.#paceAt(nowMs);
    const bounded = Math.min(MAX_SAMPLE, Math.max(MIN_SAMPLE, sample));
    this.#sampleCount++;
    const weight = Math.max(
      MIN_SAMPLE_WEIGHT,
      1 / (this.#sampleCount + PRIOR_SAMPLES),
    );
    this.#pace = pace + (bounded - pace) * weight;
    this.#atMs = nowMs;
  }

  /**
   * Returns the expected service time of a request.
   *
   * @param route Name of its route.
   * @param nowMs Monotonic time, in ms.
   * @returns The time, in ms.
   */
  expectedMs(route: string, nowMs: number): number {
    return this.#shared.expectedMs(route) * this.#paceAt(nowMs);
  }

  /**
   * Returns whether requests of a route are short for the service.
   *
   * @param route Name of the route.
   * @returns Whether they are short.
   */
  isShort(route: string): boolean {
    return this.#shared.isShort(route);
  }

  #paceAt(nowMs: number): number {
    return 1 + (this.#pace - 1) * 0.5 ** ((nowMs - this.#atMs) / HALF_LIFE_MS);
  }
}
