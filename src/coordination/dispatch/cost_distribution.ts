/** Ratio of the upper to the lower bound of a bin. */
const BIN_RATIO = 1.25;
const BIN_COUNT = 48;
const LOG_RATIO = Math.log(BIN_RATIO);
/** Half-life of an observation, in ms. */
const HALF_LIFE_MS = 15_000;
/** Observations as which the next coarser distribution counts. */
const COARSER_WEIGHT = 4;

/**
 * A distribution of the work of requests at the usual pace. Its bins have a
 * constant ratio, and older observations lose their weight.
 *
 * @example
 * ```ts
 * const costs = new CostDistribution();
 * costs.record(80, 0);
 * costs.meanMs; // 80
 * ```
 */
export class CostDistribution {
  readonly #bins = new Float64Array(BIN_COUNT);
  /** Sum of the observations in each bin, in ms. */
  readonly #sumsMs = new Float64Array(BIN_COUNT);
  #weight = 0;
  #sumMs = 0;
  #atMs = 0;

  /** Average of the observations, in ms; `NaN` without observations. */
  get meanMs(): number {
    return this.#sumMs / this.#weight;
  }

  /** Monotonic time of the newest observation, in ms. */
  get updatedAtMs(): number {
    return this.#atMs;
  }

  /**
   * Records the work of a request.
   *
   * @param workMs Time that it takes at the usual pace, in ms.
   * @param nowMs Monotonic time, in ms.
   */
  record(workMs: number, nowMs: number): void {
    const kept = this.#keptShare(nowMs);
    for (let bin = 0; bin < BIN_COUNT; bin++) {
      this.#bins[bin]! *= kept;
      this.#sumsMs[bin]! *= kept;
    }
    const bin = binOf(workMs);
    this.#bins[bin]!++;
    this.#sumsMs[bin]! += workMs;
    this.#weight = this.#weight * kept + 1;
    this.#sumMs = this.#sumMs * kept + workMs;
    this.#atMs = Math.max(this.#atMs, nowMs);
  }

  /**
   * Refines this distribution by one of fewer requests. Each counts by its
   * observations, and this one as a few.
   *
   * @param finer Distribution of a part of the requests.
   * @param nowMs Monotonic time, in ms.
   */
  refine(finer: CostDistribution, nowMs: number): void {
    const finerWeight = finer.#weight * finer.#keptShare(nowMs);
    if (finerWeight === 0) return;
    const coarserWeight = this.#weight === 0 ? 0 : COARSER_WEIGHT;
    const total = finerWeight + coarserWeight;
    const coarser = coarserWeight === 0
      ? 0
      : coarserWeight / total / this.#weight;
    const fine = finerWeight / total / finer.#weight;
    for (let bin = 0; bin < BIN_COUNT; bin++) {
      this.#bins[bin] = this.#bins[bin]! * coarser + finer.#bins[bin]! * fine;
      this.#sumsMs[bin] = this.#sumsMs[bin]! * coarser +
        finer.#sumsMs[bin]! * fine;
    }
    this.#sumMs = this.#sumMs * coarser + finer.#sumMs * fine;
    this.#weight = 1;
  }

  /** Removes all observations. */
  clear(): void {
    this.#bins.fill(0);
    this.#sumsMs.fill(0);
    this.#weight = 0;
    this.#sumMs = 0;
  }

  /**
   * Returns the share of requests whose work is at most a bound.
   *
   * @param boundMs The bound, in ms.
   * @returns 0 to 1.
   */
  shareWithin(boundMs: number): number {
    if (boundMs <= 0) return 0;
    const position = Math.max(0, Math.log(boundMs) / LOG_RATIO);
    const last = Math.min(BIN_COUNT, Math.floor(position));
    let within = 0;
    for (let bin = 0; bin < last; bin++) within += this.#bins[bin]!;
    if (last < BIN_COUNT) within += this.#bins[last]! * (position - last);
    return within / this.#weight;
  }

  /** Returns the average of the bin with the median, in ms. */
  medianMs(): number {
    let left = this.#weight / 2;
    for (let bin = 0; bin < BIN_COUNT; bin++) {
      left -= this.#bins[bin]!;
      if (left <= 0) return this.#sumsMs[bin]! / this.#bins[bin]!;
    }
    return this.meanMs;
  }

  #keptShare(nowMs: number): number {
    return 0.5 ** (Math.max(0, nowMs - this.#atMs) / HALF_LIFE_MS);
  }
}

function binOf(workMs: number): number {
  const bin = Math.floor(Math.log(Math.max(1, workMs)) / LOG_RATIO);
  return Math.min(BIN_COUNT - 1, bin);
}
