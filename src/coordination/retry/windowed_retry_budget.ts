/** Number of buckets in the sliding window. */
const BUCKET_COUNT = 10;

/** Options of a {@linkcode WindowedRetryBudget}. */
export interface WindowedRetryBudgetOptions {
  readonly windowMs: number;
  /** Retries allowed per new request. */
  readonly ratio: number;
  /** Returns the additional retries per window, for the current fleet. */
  readonly slack: () => number;
}

interface Bucket {
  readonly index: number;
  requests: number;
  retries: number;
}

/**
 * Limits the retries of one service to a share of its requests in a sliding
 * window.
 *
 * @example
 * ```ts
 * const budget = new WindowedRetryBudget({ windowMs: 10_000, ratio: 0.1, slack: () => 2 });
 * budget.recordRequest(0);
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
    this.#bucketMs = options.windowMs / BUCKET_COUNT;
  }

  /**
   * Records a new request.
   *
   * @param nowMs Monotonic time, in ms.
   */
  recordRequest(nowMs: number): void {
    this.#bucketAt(nowMs).requests++;
  }

  /**
   * Spends one retry if the window allows it.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Whether the retry is allowed.
   */
  trySpend(nowMs: number): boolean {
    const bucket = this.#bucketAt(nowMs);
    let requests = 0;
    let retries = 0;
    for (const bucketInWindow of this.#buckets) {
      requests += bucketInWindow.requests;
      retries += bucketInWindow.retries;
    }
    const allowed = requests * this.#options.ratio +
      this.#options.slack();
    if (retries + 1 > allowed) return false;
    bucket.retries++;
    return true;
  }

  #bucketAt(nowMs: number): Bucket {
    const index = Math.floor(nowMs / this.#bucketMs);
    const newest = this.#buckets.at(-1);
    if (newest?.index === index) return newest;
    const bucket = { index, requests: 0, retries: 0 };
    this.#buckets = this.#buckets.filter((one) =>
      one.index > index - BUCKET_COUNT
    );
    this.#buckets.push(bucket);
    return bucket;
  }
}
