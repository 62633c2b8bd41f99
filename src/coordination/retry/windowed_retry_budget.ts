/** Number of buckets in the sliding window. */
const BUCKET_COUNT = 10;
/** Most organisations that are told apart in a window. */
const MAX_ORGANISATIONS = 512;
/** Stands for all requests without an organisation, and beyond that number. */
const NO_ORGANISATION = "";

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
  readonly byOrganisation: Map<string, Counts>;
}

/**
 * Limits the retries of one service to a share of its requests in a sliding
 * window.
 *
 * An organisation is limited to the same share of its own requests and to its
 * part of the additional retries, or to one retry if that is more. The whole
 * retries in the share of its own requests are kept for it: others that have
 * used theirs up, in particular many small ones with one retry each, only get
 * what is left besides. Requests without an organisation count as those of one
 * more; if there are no others, only the limit of the service applies.
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
  /** Counts over the window, of organisations with requests or retries in it. */
  readonly #byOrganisation = new Map<string, Counts>();
  /** Retries that are kept for organisations, over all of them. */
  #kept = 0;

  /**
   * Creates an unused budget.
   *
   * @param options Window, ratio and slack.
   */
  constructor(options: WindowedRetryBudgetOptions) {
    this.#options = options;
    this.#bucketMs = options.windowMs / BUCKET_COUNT;
  }

  /** Number of organisations in the window. */
  get organisations(): number {
    return this.#byOrganisation.size;
  }

  /**
   * Records a new request.
   *
   * @param nowMs Monotonic time, in ms.
   * @param organisation Organisation of the caller, if it has one.
   */
  recordRequest(nowMs: number, organisation?: string): void {
    this.#count(this.#bucketAt(nowMs), organisation, "requests");
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
    if (!this.#allows(organisation, allowed - retries)) return false;
    this.#count(bucket, organisation, "retries");
    return true;
  }

  /** Whether an organisation may spend one of the retries that are left. */
  #allows(organisation: string | undefined, left: number): boolean {
    const known = this.#byOrganisation.get(this.#nameOf(organisation));
    const own = known ?? { requests: 0, retries: 0 };
    if (this.#keptOf(own) > 0) return true;
    const count = this.#byOrganisation.size + (known === undefined ? 1 : 0);
    if (count === 1) return true;
    const allowed = own.requests * this.#options.ratio +
      this.#options.slack() / count;
    const hasShare = own.retries + 1 <= Math.max(1, allowed);
    return hasShare && this.#kept + 1 <= left;
  }

  #nameOf(organisation: string | undefined): string {
    if (organisation === undefined) return NO_ORGANISATION;
    const hasRoom = this.#byOrganisation.has(organisation) ||
      this.#byOrganisation.size < MAX_ORGANISATIONS;
    return hasRoom ? organisation : NO_ORGANISATION;
  }

  #count(
    bucket: Bucket,
    organisation: string | undefined,
    field: keyof Counts,
  ): void {
    const name = this.#nameOf(organisation);
    bucket[field]++;
    countsOf(bucket.byOrganisation, name)[field]++;
    this.#change(name, (counts) => counts[field]++);
  }

  #change(name: string, change: (counts: Counts) => void): void {
    const counts = countsOf(this.#byOrganisation, name);
    this.#kept -= this.#keptOf(counts);
    change(counts);
    this.#kept += this.#keptOf(counts);
    const isUnused = counts.requests === 0 && counts.retries === 0;
    if (isUnused) this.#byOrganisation.delete(name);
  }

  /** Whole retries in the share of an organisation that it has not spent. */
  #keptOf({ requests, retries }: Counts): number {
    return Math.max(0, Math.floor(requests * this.#options.ratio) - retries);
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
    const kept: Bucket[] = [];
    for (const one of this.#buckets) {
      if (one.index > index - BUCKET_COUNT) kept.push(one);
      else this.#expire(one);
    }
    this.#buckets = kept;
    this.#buckets.push(bucket);
    return bucket;
  }

  #expire(bucket: Bucket): void {
    for (const [name, { requests, retries }] of bucket.byOrganisation) {
      this.#change(name, (counts) => {
        counts.requests -= requests;
        counts.retries -= retries;
      });
    }
  }
}

function countsOf(
  byOrganisation: Map<string, Counts>,
  name: string,
): Counts {
  let counts = byOrganisation.get(name);
  if (counts === undefined) {
    counts = { requests: 0, retries: 0 };
    byOrganisation.set(name, counts);
  }
  return counts;
}
