import { CostDistribution } from "./cost_distribution.ts";
import type { RequestCostKey } from "./request_cost_key.ts";

/** Most keys below the routes. */
const MAX_FINE_KEYS = 256;
/** Time without requests after which a key makes room for another, in ms. */
const IDLE_MS = 30_000;
/** Shortest time between two searches for an idle key, in ms. */
const SEARCH_INTERVAL_MS = 1_000;
/** Share of the average work up to which a route is short. */
const SHORT_SHARE = 0.6;
/** Assumed work before the first observation, in ms. */
const INITIAL_WORK_MS = 50;

/**
 * Distributions of the work of a service's requests at the usual pace, by what
 * can be seen of a request before it runs. A key without enough observations
 * falls back to the next coarser one.
 *
 * New keys cannot displace those in use: beyond the limit, a key is only
 * admitted in place of one without recent requests.
 *
 * @example
 * ```ts
 * const costs = new RequestCosts();
 * costs.record(["stock"], 120, 0);
 * costs.meanMs(["stock"], 0); // 120
 * ```
 */
export class RequestCosts {
  readonly #overall = new CostDistribution();
  /** By route; their number is bounded by the configuration. */
  readonly #routes = new Map<string, CostDistribution>();
  readonly #fine = new Map<string, CostDistribution>();
  /** Reused for each estimate. */
  readonly #blend = new CostDistribution();
  #searchedAtMs = -Infinity;

  /** Number of keys below the routes. */
  get fineKeyCount(): number {
    return this.#fine.size;
  }

  /**
   * Records the work of a request.
   *
   * @param key Key of the request.
   * @param workMs Time that it takes at the usual pace, in ms.
   * @param nowMs Monotonic time, in ms.
   */
  record(key: RequestCostKey, workMs: number, nowMs: number): void {
    this.#overall.record(workMs, nowMs);
    this.#routeOf(key[0]!).record(workMs, nowMs);
    for (let level = 1; level < key.length; level++) {
      this.#admit(key[level]!, nowMs)?.record(workMs, nowMs);
    }
  }

  /**
   * Estimates the work of a request.
   *
   * @param key Key of the request.
   * @param nowMs Monotonic time, in ms.
   * @returns The distribution, which is valid until the next call.
   */
  estimate(key: RequestCostKey, nowMs: number): CostDistribution {
    const blend = this.#blend;
    blend.clear();
    blend.refine(this.#routes.get(key[0]!) ?? this.#overall, nowMs);
    for (let level = 1; level < key.length; level++) {
      const finer = this.#fine.get(key[level]!);
      if (finer !== undefined) blend.refine(finer, nowMs);
    }
    if (Number.isNaN(blend.meanMs)) blend.record(INITIAL_WORK_MS, nowMs);
    return blend;
  }

  /**
   * Returns the average work of requests of a key.
   *
   * @param key Key of the request.
   * @param nowMs Monotonic time, in ms.
   * @returns The work at the usual pace, in ms.
   */
  meanMs(key: RequestCostKey, nowMs: number): number {
    return this.estimate(key, nowMs).meanMs;
  }

  /**
   * Returns whether requests of a route are short compared to the average, so
   * that refusing one frees little capacity.
   *
   * @param route Name of the route.
   * @returns Whether they are short.
   */
  isShort(route: string): boolean {
    const routeMs = this.#routes.get(route)?.meanMs ?? NaN;
    return routeMs <= this.#overall.meanMs * SHORT_SHARE;
  }

  #routeOf(route: string): CostDistribution {
    let distribution = this.#routes.get(route);
    if (distribution === undefined) {
      distribution = new CostDistribution();
      this.#routes.set(route, distribution);
    }
    return distribution;
  }

  #admit(name: string, nowMs: number): CostDistribution | undefined {
    const known = this.#fine.get(name);
    if (known !== undefined) return known;
    if (this.#fine.size >= MAX_FINE_KEYS) this.#removeIdle(nowMs);
    if (this.#fine.size >= MAX_FINE_KEYS) return undefined;
    const distribution = new CostDistribution();
    this.#fine.set(name, distribution);
    return distribution;
  }

  #removeIdle(nowMs: number): void {
    if (nowMs - this.#searchedAtMs < SEARCH_INTERVAL_MS) return;
    this.#searchedAtMs = nowMs;
    for (const [name, { updatedAtMs }] of this.#fine) {
      if (nowMs - updatedAtMs > IDLE_MS) this.#fine.delete(name);
    }
  }
}
