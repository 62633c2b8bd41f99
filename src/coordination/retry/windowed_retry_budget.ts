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

interface Counts {
  requests: number;
  retries: number;
}

interface Bucket extends Counts {
  readonly index: number;
  /** Counts of the organisations with requests in it. */
  readonly byOrganisation: Map<string, Counts>;
}

/**
 * Limits the retries of one service to a share of its requests in a sliding
 * window. An organisation is limited to the same share of its own requests and
 * to its part of the additional retries, or to one retry if that is more.
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
   * @param organisation Organisation of the caller, if it has one.
   */
  recordRequest(nowMs: number, organisation?: string): void {
    const bucket = this.#bucketAt(nowMs);
    bucket.requests++;
    if (organisation !== undefined) countsOf(bucket, organisation).requests++;
  }

  /**
   * Spends one retry if the window allows it.
   *
   * @param nowMs Monotonic time, in ms.
   * @param organisation Organisation of the caller, if it has one.
   * @returns Whether the retry is allowed.
   */
  trySpend(nowMs: number, organisation?: string): boolean {
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
    if (organisation !== undefined) {
      if (!this.#allowsOrganisation(organisation)) return false;
      countsOf(bucket, organisation).retries++;
    }
    bucket.retries++;
    return true;
  }

  #allowsOrganisation(organisation: string): boolean {
    const organisations = new Set<string>();
    let requests = 0;
    let retries = 0;
    for (const { byOrganisation } of this.#buckets) {
      for (const name of byOrganisation.keys()) organisations.add(name);
      const own = byOrganisation.get(organisation);
      requests += own?.requests ?? 0;
      retries += own?.retries ?? 0;
    }
    const allowed = requests * this.#options.ratio +
      this.#options.slack() / Math.max(1, organisations.size);
    return retries + 1 <= Math.max(1, allowed);
  }

  #bucketAt(nowMs: number): Bucket {
    const index = Math.floor(nowMs / this.#bucketMs);
    const newest = this.#buckets.at(-1);
    if (newest?.index === index) return newest;
    const bucket = {
      index,
      requests: 0,
      retries: 0,
      byOrganisation: new Map<string, Counts>(),
    };
    this.#buckets = this.#buckets.filter((one) =>
      one.index > index - BUCKET_COUNT
    );
    this.#buckets.push(bucket);
    return bucket;
  }
}

function countsOf(bucket: Bucket, organisation: string): Counts {
  let counts = bucket.byOrganisation.get(organisation);
  if (counts === undefined) {
    counts = { requests: 0, retries: 0 };
    bucket.byOrganisation.set(organisation, counts);
  }
  return counts;
}
