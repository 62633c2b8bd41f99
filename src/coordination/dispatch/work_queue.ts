import { effectiveDeadlineMs } from "./effective_deadline.ts";
import { type FairPosition, FairShares } from "./fair_share.ts";
import { ServiceTimes } from "./service_times.ts";
import { StartLimiter } from "./start_limiter.ts";
import { classOf, precedes, type WorkItem } from "./work_item.ts";

/** Factor on the cost of a request that misses its objective in any case. */
const LATE_COST_FACTOR = 2;
/** Weight of the time until the deadline in the sort key. */
const REMAINING_TIME_WEIGHT = 0.1;
/** Sort key bonus of a priority below its share; larger than any key. */
const BELOW_SHARE_LEAD = 1e9;
/** Share of the slots guaranteed to each priority with waiting requests. */
const GUARANTEED_SHARE = 0.1;
/** Bounds of the retry delay suggested to a refused caller, in ms. */
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 2_000;

const EMPTY_RESULT: DispatchResult<never> = { started: [], expired: [] };

/** A waiting request. */
interface Waiting<T> {
  readonly item: T;
  readonly acceptedAtMs: number;
  /** Service time that was expected when it was accepted. */
  readonly serviceMs: number;
  readonly position: FairPosition;
}

/** Result of offering a request to a {@linkcode WorkQueue}. */
export type OfferResult<T = unknown> =
  | { readonly kind: "start" }
  | { readonly kind: "wait" }
  /** It waits, and other requests that are too late by that are refused. */
  | {
    readonly kind: "displace";
    readonly displaced: readonly T[];
    readonly retryAfterMs: number;
  }
  | { readonly kind: "refuse"; readonly retryAfterMs: number };

/** Requests that start now, and requests that can no longer finish in time. */
export interface DispatchResult<T> {
  readonly started: readonly T[];
  readonly expired: readonly T[];
}

/**
 * Assigns the slots of one backend server to requests.
 *
 * Requests with a low cost go first (weighted shortest job first). The cost is
 * the expected service time, multiplied for less urgent priorities and for a
 * missed objective. Each priority with waiting requests is guaranteed a small
 * share of the slots. A request that cannot be served in time is refused on
 * arrival. A call that a running request waits for goes before work that is not
 * more urgent, and is served as long as it can finish before its deadline, as
 * the work of the running request is lost otherwise. A limit on the starts per second holds besides the slots.
 *
 * @example
 * ```ts ignore
 * const queue = new WorkQueue<WorkItem>(18);
 * queue.offer(item, performance.now()); // { kind: "start" }
 * ```
 */
export class WorkQueue<T extends WorkItem> {
  readonly serviceTimes = new ServiceTimes();
  /** Limits the starts per second; there is no limit at first. */
  readonly starts = new StartLimiter();
  #slots: number;
  #waiting: Waiting<T>[] = [];
  readonly #shares = new FairShares();
  #running = 0;
  readonly #runningByClass = new Map<number, number>();

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

  /** Number of running requests. */
  get running(): number {
    return this.#running;
  }

  /** Number of waiting requests. */
  get queued(): number {
    return this.#waiting.length;
  }

  /**
   * Requests a slot.
   *
   * @param item The request.
   * @param nowMs Monotonic time, in ms.
   * @returns Whether it starts, waits or is refused.
   */
  offer(item: T, nowMs: number): OfferResult<T> {
    const { organisation } = item;
    const serviceMs = this.#expectedMs(item);
    if (organisation !== undefined) {
      this.#shares.recordOffer(organisation, nowMs);
    }
    const hasFreeSlot = this.#waiting.length === 0 &&
      this.#running < this.#slots;
    if (hasFreeSlot && nowMs >= item.deadlineMs) return this.#refusal(0);
    if (hasFreeSlot && this.starts.tryStart(nowMs)) {
      this.#recordAccepted(this.#toWaiting(item, serviceMs, nowMs));
      this.#start(item);
      return { kind: "start" };
    }
    const entry = this.#toWaiting(item, serviceMs, nowMs);
    const waitMs = this.#estimateWaitMs(entry, nowMs);
    if (nowMs + waitMs + serviceMs > this.effectiveDeadlineMs(item)) {
      return this.#refusal(waitMs);
    }
    this.#waiting.push(entry);
    this.#recordAccepted(entry);
    return organisation === undefined && item.isSubcall !== true
      ? { kind: "wait" }
      : this.#displaceBehind(entry, nowMs);
  }

  /**
   * Frees the slot of a running request.
   *
   * @param item The request.
   * @param ranMs Time that it ran, in ms; `undefined` if it says nothing about
   * the backend server.
   */
  finish(item: T, ranMs: number | undefined): void {
    this.#running--;
    this.#addRunning(item, -1);
    if (ranMs === undefined) return;
    this.serviceTimes.record(item.route, ranMs / (item.costFactor ?? 1));
  }

  /**
   * Removes a waiting request.
   *
   * @param item The request.
   * @returns Whether it was waiting.
   */
  remove(item: T): boolean {
    const index = this.#waiting.findIndex((one) => one.item === item);
    if (index < 0) return false;
    const [entry] = this.#waiting.splice(index, 1);
    this.#recordWithdrawn(entry!);
    return true;
  }

  /** Removes all waiting requests and returns them. */
  removeAll(): T[] {
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const entry of waiting) this.#recordWithdrawn(entry);
    return waiting.map(({ item }) => item);
  }

  /**
   * Starts requests in free slots, and drops those that cannot finish in time.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The requests that left the queue.
   */
  dispatch(nowMs: number): DispatchResult<T> {
    if (this.#waiting.length === 0) return EMPTY_RESULT;
    const expired = this.#waiting
      .filter(({ item }) => this.#isTooLate(item, nowMs))
      .map(({ item }) => item);
    for (const item of expired) this.remove(item);
    const started: T[] = [];
    while (
      this.#running < this.#slots && this.#waiting.length > 0 &&
      this.starts.tryStart(nowMs)
    ) {
      const entry = this.#nextEntry(nowMs);
      this.#waiting.splice(this.#waiting.indexOf(entry), 1);
      this.#start(entry.item);
      started.push(entry.item);
    }
    return { started, expired };
  }

  /**
   * Returns the latest useful completion time of a request.
   *
   * @param item The request.
   * @returns Monotonic time, in ms.
   */
  effectiveDeadlineMs(item: WorkItem): number {
    if (item.isSubcall === true) return item.deadlineMs;
    return effectiveDeadlineMs(item, this.serviceTimes.isShort(item.route));
  }

  /**
   * Estimates how long a new request would wait.
   *
   * @param item The request.
   * @param nowMs Monotonic time, in ms.
   * @returns The wait, in ms.
   */
  expectedWaitMs(item: WorkItem, nowMs: number): number {
    const isFree = this.#waiting.length === 0 &&
      this.#running < this.#slots && this.starts.waitMs(nowMs) === 0;
    if (isFree) return 0;
    const serviceMs = this.#expectedMs(item);
    return this.#estimateWaitMs(
      this.#toWaiting(item, serviceMs, nowMs),
      nowMs,
    );
  }

  /**
   * Returns when a waiting request may start that only the limit on starts
   * keeps waiting.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The time from now, in ms; `undefined` if there is none.
   */
  nextStartMs(nowMs: number): number | undefined {
    const isHeld = this.#waiting.length > 0 && this.#running < this.#slots;
    return isHeld ? this.starts.waitMs(nowMs) : undefined;
  }

  #expectedMs({ route, costFactor }: WorkItem): number {
    const usualMs = this.serviceTimes.expectedMs(route);
    return costFactor === undefined ? usualMs : usualMs * costFactor;
  }

  #refusal(waitMs: number): OfferResult<T> {
    return { kind: "refuse", retryAfterMs: boundRetryAfterMs(waitMs) };
  }

  #toWaiting<I extends WorkItem>(
    item: I,
    serviceMs: number,
    nowMs: number,
  ): Waiting<I> {
    const position = this.#shares.positionOf(item, nowMs);
    return { item, acceptedAtMs: nowMs, serviceMs, position };
  }

  /** Refuses waiting requests that are too late with the new one ahead. */
  #displaceBehind(entry: Waiting<T>, nowMs: number): OfferResult<T> {
    const entryKey = this.#sortKey(entry, entry.serviceMs, nowMs);
    const order = this.#waiting
      .map((waiting) => {
        const serviceMs = this.#expectedMs(waiting.item);
        const key = this.#sortKey(waiting, serviceMs, nowMs);
        return { waiting, serviceMs, key };
      })
      .sort((a, b) =>
        Number(b.waiting.item.isSubcall === true) -
          Number(a.waiting.item.isSubcall === true) || a.key - b.key
      );
    const displaced: T[] = [];
    let workMs = this.serviceTimes.overallMs;
    let ahead = 0;
    for (const { waiting: { item }, serviceMs, key } of order) {
      const endMs = nowMs + serviceMs + this.#waitMs(workMs, ahead, nowMs);
      const isBehind = !precedes(item, key, entry.item, entryKey);
      if (isBehind && endMs > this.effectiveDeadlineMs(item)) {
        displaced.push(item);
        continue;
      }
      workMs += serviceMs;
      ahead++;
    }
    if (displaced.length === 0) return { kind: "wait" };
    for (const item of displaced) this.remove(item);
    const retryAfterMs = boundRetryAfterMs(this.#waitMs(workMs, ahead, nowMs));
    return { kind: "displace", displaced, retryAfterMs };
  }

  #estimateWaitMs(entry: Waiting<WorkItem>, nowMs: number): number {
    const key = this.#sortKey(entry, entry.serviceMs, nowMs);
    let workMs = this.serviceTimes.overallMs;
    let ahead = 0;
    for (const other of this.#waiting) {
      const serviceMs = this.#expectedMs(other.item);
      const otherKey = this.#sortKey(other, serviceMs, nowMs);
      if (!precedes(other.item, otherKey, entry.item, key)) continue;
      workMs += serviceMs;
      ahead++;
    }
    return this.#waitMs(workMs, ahead, nowMs);
  }

  /** Wait behind a number of requests and their work. */
  #waitMs(workMs: number, ahead: number, nowMs: number): number {
    return Math.max(
      workMs / Math.max(1, this.#slots),
      this.starts.waitMs(nowMs, ahead + 1),
    );
  }

  /** Smaller keys go first. */
  #sortKey(
    entry: Waiting<WorkItem>,
    serviceMs: number,
    nowMs: number,
  ): number {
    const { item, position } = entry;
    const cost = serviceMs * (1 + item.priority);
    const remainingMs = item.deadlineMs - nowMs;
    const isLate = nowMs + serviceMs > item.objectiveAtMs;
    const lateCost = cost * (isLate ? LATE_COST_FACTOR : 1);
    const surplusMs = position.surplusMs === 0
      ? 0
      : this.#shares.countingSurplusMs(entry, item.objectiveAtMs, nowMs);
    return (lateCost + surplusMs) * position.factor +
      remainingMs * REMAINING_TIME_WEIGHT;
  }

  #nextEntry(nowMs: number): Waiting<T> {
    let best = this.#waiting[0]!;
    let bestKey = Infinity;
    let call: Waiting<T> | undefined;
    let callKey = Infinity;
    for (const entry of this.#waiting) {
      // A priority below its share goes first, whatever its key.
      const serviceMs = this.#expectedMs(entry.item);
      const key = this.#sortKey(entry, serviceMs, nowMs) -
        (this.#isBelowShare(entry.item) ? BELOW_SHARE_LEAD : 0);
      if (key < bestKey) {
        best = entry;
        bestKey = key;
      }
      if (entry.item.isSubcall === true && key < callKey) {
        call = entry;
        callKey = key;
      }
    }
    if (call === undefined || this.#isBelowShare(best.item)) return best;
    return precedes(call.item, callKey, best.item, bestKey) ? call : best;
  }

  /** Whether the request's priority runs on less than its guaranteed share. */
  #isBelowShare(item: T): boolean {
    const guaranteed = Math.floor(this.#slots * GUARANTEED_SHARE);
    return (this.#runningByClass.get(classOf(item)) ?? 0) < guaranteed;
  }

  #isTooLate(item: T, nowMs: number): boolean {
    const endMs = nowMs + this.#expectedMs(item);
    return endMs > this.effectiveDeadlineMs(item);
  }

  #recordAccepted(entry: Waiting<T>): void {
    const { organisation } = entry.item;
    if (organisation === undefined) return;
    const { serviceMs, acceptedAtMs, position } = entry;
    this.#shares.accept({ organisation, serviceMs, acceptedAtMs, position });
  }

  #recordWithdrawn(entry: Waiting<T>): void {
    const { organisation } = entry.item;
    if (organisation === undefined) return;
    const { serviceMs, acceptedAtMs, position } = entry;
    this.#shares.withdraw({ organisation, serviceMs, acceptedAtMs, position });
  }

  #start(item: T): void {
    this.#running++;
    this.#addRunning(item, 1);
  }

  #addRunning(item: T, change: number): void {
    const key = classOf(item);
    const running = this.#runningByClass.get(key) ?? 0;
    this.#runningByClass.set(key, running + change);
  }
}

function boundRetryAfterMs(waitMs: number): number {
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
}
