/** Parts into which the window is divided. */
const BUCKETS = 10;

/** Bounds of a {@linkcode WindowedRetryBudget}. */
export interface WindowedRetryBudgetOptions {
  readonly windowMs: number;
  /** Repeats that each first request allows. */
  readonly ratio: number;
  /** Repeats allowed in a window besides, as the fleet stands now. */
  readonly slack: () => number;
}

interface Bucket {
  readonly index: number;
  requests: number;
  repeats: number;
}

/**
 * Bounds the repeats of one service to a share of its requests in a sliding
 * window.
 *
 * @example
 * ```ts
 * const budget = new WindowBudget({ windowMs: 10_000, ratio: 0.1, slack: () => 2 });
 * budget.request(0);
 * budget.trySpend(0); // true
 * ```
 */
export class WindowedRetryBudget {
  readonly #options: WindowedRetryBudgetOptions;
  readonly #bucketMs: number;
  #buckets: Bucket[] = [];

  /**
   * Creates an unused budget.
   *
   * @param options Window, ratio and slack.
   */
  constructor(options: WindowedRetryBudgetOptions) {
    this.#options = options;
    this.#bucketMs = options.windowMs / BUCKETS;
  }

  /**
   * Records a first request.
   *
   * @param nowMs Monotonic time.
   */
  recordRequest(nowMs: number): void {
    this.#bucketAt(nowMs).requests++;
  }

  /**
   * Spends a repeat if the window allows one.
   *
   * @param nowMs Monotonic time.
   * @returns Whether the repeat may go out.
   */
  trySpend(nowMs: number): boolean {
    const bucket = this.#bucketAt(nowMs);
    let requests = 0;
    let repeats = 0;
    for (const one of this.#buckets) {
      requests += one.requests;
      repeats += one.repeats;
    }
    const allowed = requests * this.#options.ratio +
      this.#options.slack();
    if (repeats + 1 > allowed) return false;
    bucket.repeats++;
    return true;
  }

  #bucketAt(nowMs: number): Bucket {
    const index = Math.floor(nowMs / this.#bucketMs);
    const newest = this.#buckets.at(-1);
    if (newest?.index === index) return newest;
    const bucket = { index, requests: 0, repeats: 0 };
    this.#buckets = this.#buckets.filter((one) => one.index > index - BUCKETS);
    this.#buckets.push(bucket);
    return bucket;
  }
}
