import { effectiveDeadlineMs } from "./effective_deadline.ts";
import { ServiceTimes } from "./service_times.ts";

/** Factor on the cost of work that misses its objective anyway. */
const LATE_FACTOR = 2;
/** Part of the time that a caller still waits that counts as cost. */
const TIME_LEFT_SHARE = 0.1;
/** Lead of a priority that runs below its share; above any other key. */
const OWED_LEAD = 1e9;
/** Share of the slots kept for each less urgent priority while it waits. */
const GUARANTEED_SHARE = 0.1;
/** Shortest and longest wait that is suggested to a refused caller, in ms. */
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 2_000;

/** A request that asks for a slot. */
export interface WorkItem {
  readonly route: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly objectiveAtMs: number;
  readonly deadlineMs: number;
  readonly arrivedAtMs: number;
}

const NOTHING: DispatchResult<never> = { started: [], expired: [] };

/** Answer to a request for a slot. */
export type OfferResult =
  | { readonly kind: "start" }
  | { readonly kind: "wait" }
  | { readonly kind: "refuse"; readonly retryAfterMs: number };

/** What may start and what can no longer be served. */
export interface DispatchResult<T> {
  readonly started: readonly T[];
  readonly expired: readonly T[];
}

/**
 * Gives the slots of one backend server to requests.
 *
 * Requests that take little of a slot go first (weighted shortest job first):
 * the cost of a request is its expected service time, times its priority, and
 * more where it misses its objective anyway. Each priority that waits keeps a
 * small share of the slots. What cannot be served in time is refused on
 * arrival.
 *
 * @example
 * ```ts ignore
 * const queue = new WorkQueue<WorkItem>(18);
 * queue.offer(item, performance.now()); // { kind: "start" }
 * ```
 */
export class WorkQueue<T extends WorkItem> {
  readonly serviceTimes = new ServiceTimes();
  #slots: number;
  #waiting: T[] = [];
  #running = 0;
  readonly #runningByPriority = new Map<number, number>();

  /**
   * Creates an empty queue.
   *
   * @param slots Requests that the backend server runs at a time.
   */
  constructor(slots: number) {
    this.#slots = slots;
  }

  /** Requests that the backend server runs at a time. */
  get slots(): number {
    return this.#slots;
  }

  set slots(slots: number) {
    this.#slots = slots;
  }

  /** Requests that run. */
  get running(): number {
    return this.#running;
  }

  /** Requests that wait. */
  get queued(): number {
    return this.#waiting.length;
  }

  /**
   * Asks for a slot.
   *
   * @param item The request.
   * @param nowMs Monotonic time.
   * @returns Whether it starts, waits or is refused.
   */
  offer(item: T, nowMs: number): OfferResult {
    const serviceMs = this.serviceTimes.expectedMs(item.route);
    if (this.#waiting.length === 0 && this.#running < this.#slots) {
      if (nowMs >= item.deadlineMs) return this.#refusal(0);
      this.#start(item);
      return { kind: "start" };
    }
    const waitMs = this.#waitMs(item, nowMs);
    if (nowMs + waitMs + serviceMs > this.effectiveDeadlineMs(item)) {
      return this.#refusal(waitMs);
    }
    this.#waiting.push(item);
    return { kind: "wait" };
  }

  /**
   * Ends a running request.
   *
   * @param item The request.
   * @param ranMs Time that it ran; `undefined` where it says nothing about
   * the backend server.
   */
  finish(item: T, ranMs: number | undefined): void {
    this.#running--;
    this.#count(item.priority, -1);
    if (ranMs !== undefined) this.serviceTimes.record(item.route, ranMs);
  }

  /**
   * Takes a waiting request out.
   *
   * @param item The request.
   * @returns Whether it was waiting.
   */
  remove(item: T): boolean {
    const index = this.#waiting.indexOf(item);
    if (index >= 0) this.#waiting.splice(index, 1);
    return index >= 0;
  }

  /** Takes all waiting requests out. */
  removeAll(): T[] {
    const waiting = this.#waiting;
    this.#waiting = [];
    return waiting;
  }

  /**
   * Starts what may start, and gives up what cannot be served in time.
   *
   * @param nowMs Monotonic time.
   * @returns The requests that left the queue.
   */
  dispatch(nowMs: number): DispatchResult<T> {
    if (this.#waiting.length === 0) return NOTHING;
    const expired = this.#waiting.filter((item) => this.#isLost(item, nowMs));
    for (const item of expired) this.remove(item);
    const started: T[] = [];
    while (this.#running < this.#slots && this.#waiting.length > 0) {
      const item = this.#next(nowMs);
      this.remove(item);
      this.#start(item);
      started.push(item);
    }
    return { started, expired };
  }

  /**
   * Returns the latest time at which the end of a request is worth waiting for.
   *
   * @param item The request.
   * @returns The time, monotonic.
   */
  effectiveDeadlineMs(item: WorkItem): number {
    return effectiveDeadlineMs(item, this.serviceTimes.isShort(item.route));
  }

  /**
   * Estimates how long one more request would wait.
   *
   * @param item The request.
   * @param nowMs Monotonic time.
   * @returns The wait, in ms.
   */
  expectedWaitMs(item: WorkItem, nowMs: number): number {
    const isFree = this.#waiting.length === 0 && this.#running < this.#slots;
    return isFree ? 0 : this.#waitMs(item, nowMs);
  }

  #refusal(waitMs: number): OfferResult {
    const retryAfterMs = Math.min(
      MAX_RETRY_AFTER_MS,
      Math.max(MIN_RETRY_AFTER_MS, waitMs),
    );
    return { kind: "refuse", retryAfterMs };
  }

  #waitMs(item: WorkItem, nowMs: number): number {
    const key = this.#key(item, nowMs);
    let workMs = this.serviceTimes.overallMs;
    for (const other of this.#waiting) {
      if (this.#key(other, nowMs) > key) continue;
      workMs += this.serviceTimes.expectedMs(other.route);
    }
    return workMs / Math.max(1, this.#slots);
  }

  /** Smaller keys go first. */
  #key(item: WorkItem, nowMs: number): number {
    const serviceMs = this.serviceTimes.expectedMs(item.route);
    const cost = serviceMs * (1 + item.priority);
    const leftMs = item.deadlineMs - nowMs;
    const isLate = nowMs + serviceMs > item.objectiveAtMs;
    return cost * (isLate ? LATE_FACTOR : 1) + leftMs * TIME_LEFT_SHARE;
  }

  #next(nowMs: number): T {
    let best = this.#waiting[0]!;
    let bestKey = Infinity;
    for (const item of this.#waiting) {
      // A priority below its share goes before all keys.
      const key = this.#key(item, nowMs) - (this.#isOwed(item) ? OWED_LEAD : 0);
      if (key >= bestKey) continue;
      best = item;
      bestKey = key;
    }
    return best;
  }

  /** Whether the request's priority runs below its guaranteed share. */
  #isOwed(item: T): boolean {
    const guaranteed = Math.floor(this.#slots * GUARANTEED_SHARE);
    return (this.#runningByPriority.get(item.priority) ?? 0) < guaranteed;
  }

  #isLost(item: T, nowMs: number): boolean {
    const endMs = nowMs + this.serviceTimes.expectedMs(item.route);
    return endMs > this.effectiveDeadlineMs(item);
  }

  #start(item: T): void {
    this.#running++;
    this.#count(item.priority, 1);
  }

  #count(priority: number, change: number): void {
    const running = this.#runningByPriority.get(priority) ?? 0;
    this.#runningByPriority.set(priority, running + change);
  }
}
