import type { RequestCostKey } from "./request_cost_key.ts";
import type { RequestCosts } from "./request_costs.ts";

/** Smallest weight of the newest sample in the pace. */
const MIN_SAMPLE_WEIGHT = 0.1;
/** Samples as which the pace of the whole service counts at first. */
const PRIOR_SAMPLES = 1;
/** Half-life of the deviation from the service's pace without samples, in ms. */
const HALF_LIFE_MS = 10_000;
/** Bounds of one sample, since single requests may be far longer than others. */
const MIN_SAMPLE = 0.25;
const MAX_SAMPLE = 4;

/**
 * How long work takes on one backend server, relative to its service.
 *
 * In a large fleet a daemon sends few requests to each backend server. The
 * costs of requests are learned over the service, so that one request of any
 * route tells about all of them.
 *
 * @example
 * ```ts
 * const costs = new RequestCosts();
 * costs.record(["stock"], 100, 0);
 * const pace = new BackendPace(costs);
 * pace.record(["stock"], 300, 0);
 * pace.valueAt(0); // between 1 and 3
 * ```
 */
export class BackendPace {
  readonly #costs: RequestCosts;
  #pace = 1;
  #atMs = 0;
  #sampleCount = 0;

  /**
   * Creates the pace of a backend server without requests so far.
   *
   * @param costs Costs over all backend servers of the service.
   */
  constructor(costs: RequestCosts) {
    this.#costs = costs;
  }

  /**
   * Records a served request.
   *
   * @param key Key of its cost.
   * @param serviceMs Its service time at the server's usual pace, in ms.
   * @param nowMs Monotonic time, in ms.
   */
  record(key: RequestCostKey, serviceMs: number, nowMs: number): void {
    const sample = serviceMs / this.#costs.estimate(key, nowMs).medianMs();
    const pace = this.valueAt(nowMs);
    this.#costs.record(key, serviceMs / pace, nowMs);
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
   * @param key Key of its cost.
   * @param nowMs Monotonic time, in ms.
   * @returns The time, in ms.
   */
  expectedMs(key: RequestCostKey, nowMs: number): number {
    return this.#costs.meanMs(key, nowMs) * this.valueAt(nowMs);
  }

  /**
   * Returns the pace at a time.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns How long work takes, relative to the service.
   */
  valueAt(nowMs: number): number {
    return 1 + (this.#pace - 1) * 0.5 ** ((nowMs - this.#atMs) / HALF_LIFE_MS);
  }
}
