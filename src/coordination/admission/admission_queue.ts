import { Reason } from "../../protocol/outcome.ts";
import {
  type PerRank,
  perRank,
  type Rank,
  RANKS,
} from "../../protocol/rank.ts";
import { AdaptiveLimit } from "./adaptive_limit.ts";

/** Weight of the newest service time in the average. */
const SERVICE_TIME_WEIGHT = 0.1;
/** Share of the slots that may be kept free; few slots keep none. */
const MAX_HEADROOM_SHARE = 0.1;
/** Time for which a rank keeps its headroom after its last request, in ms. */
const HEADROOM_MEMORY_MS = 10_000;

/** A request that asks for a slot. */
export interface SlotRequest {
  readonly id: string;
  readonly rank: Rank;
  /** Monotonic time by which the answer is of use. */
  readonly deadlineMs: number;
}

/** Answer to a request for a slot. */
export type Admission =
  | { readonly kind: "start" }
  | { readonly kind: "queued"; readonly position: number }
  | { readonly kind: "refused"; readonly reason: Reason };

/** What the end of a request sets free. */
export interface ReleaseResult {
  /** Requests that start now. */
  readonly started: readonly SlotRequest[];
  /** Requests that can not make their deadline any more. */
  readonly expired: readonly SlotRequest[];
}

/** Policy of an {@linkcode AdmissionQueue}. */
export interface AdmissionPolicy {
  /** Share of the slots guaranteed to each rank. */
  readonly shares: Readonly<PerRank<number>>;
  /** Longest queue of each rank. */
  readonly queuePerRank: number;
}

/** Load of the destination, as it is reported to callers. */
export interface AdmissionLoad {
  readonly running: number;
  readonly queued: number;
  readonly limit: number;
}

/**
 * Returns the load once a running request has ended, as its answer reports it.
 *
 * @param load The load with the request.
 * @returns The load without it; the next one that waits takes its slot.
 *
 * @example
 * ```ts
 * loadWithoutOne({ running: 4, queued: 1, limit: 4 }); // { running: 4, queued: 0, limit: 4 }
 * ```
 */
export function loadAfterCompletion(load: AdmissionLoad): AdmissionLoad {
  if (load.queued > 0) return { ...load, queued: load.queued - 1 };
  return { ...load, running: Math.max(0, load.running - 1) };
}

/**
 * Gives the slots of one backend server to requests by rank.
 *
 * Each rank is guaranteed its share: a rank that runs below it goes first,
 * most urgent first among several. What is left goes to the most urgent rank.
 * Less urgent ranks leave up to a tenth of the slots free for more urgent ranks
 * that were seen lately, as a running request is never interrupted. A request that can
 * not make its deadline is refused at once.
 *
 * @example
 * ```ts
 * const policy = { shares: { urgent: 0.5, standard: 0.3, bulk: 0.2 }, queuePerRank: 10 };
 * const queue = new AdmissionQueue(4, policy);
 * queue.ask({ id: "a", rank: Rank.Urgent, deadlineMs: 1000 }, 0); // { kind: "start" }
 * ```
 */
export class AdmissionQueue {
  readonly limit: AdaptiveLimit;
  #policy: AdmissionPolicy;
  readonly #queues = perRank<SlotRequest[]>(() => []);
  readonly #running = perRank(() => 0);
  readonly #credits = perRank(() => 0);
  readonly #serviceMs = perRank(() => 0);
  readonly #seenAtMs = perRank(() => -Infinity);

  /**
   * Creates an empty queue.
   *
   * @param slots Slots that the backend server announced.
   * @param policy Shares and bounds.
   */
  constructor(slots: number, policy: AdmissionPolicy) {
    this.limit = new AdaptiveLimit(slots);
    this.#policy = policy;
  }

  /** Takes in a changed policy. */
  set policy(policy: AdmissionPolicy) {
    this.#policy = policy;
  }

  /** Requests that run. */
  get running(): number {
    return RANKS.reduce((sum, rank) => sum + this.#running[rank], 0);
  }

  /** The load to report. */
  get load(): AdmissionLoad {
    const queued = RANKS.reduce(
      (sum, rank) => sum + this.#queues[rank].length,
      0,
    );
    return { running: this.running, queued, limit: this.limit.current };
  }

  /**
   * Asks for a slot.
   *
   * @param request The request.
   * @param nowMs Monotonic time.
   * @returns Whether it starts, waits or is refused.
   */
  admit(request: SlotRequest, nowMs: number): Admission {
    const { rank } = request;
    this.#seenAtMs[rank] = nowMs;
    const queue = this.#queues[rank];
    if (this.hasFreeSlot(rank, nowMs)) {
      this.#running[rank]++;
      return { kind: "start" };
    }
    if (queue.length >= this.#policy.queuePerRank) {
      return { kind: "refused", reason: Reason.Overloaded };
    }
    if (nowMs + this.#expectedMs(rank) > request.deadlineMs) {
      return { kind: "refused", reason: Reason.DeadlineTooShort };
    }
    queue.push(request);
    return { kind: "queued", position: queue.length };
  }

  /**
   * Says whether a request would start at once.
   *
   * @param rank Its rank.
   * @param nowMs Monotonic time.
   * @returns Whether a slot is free for the rank.
   */
  hasFreeSlot(rank: Rank, nowMs: number): boolean {
    return this.#queues[rank].length === 0 && this.#mayStart(rank, nowMs);
  }

  /**
   * Ends a running request.
   *
   * @param rank Its rank.
   * @param serviceMs Time that it ran; `undefined` where it says nothing about
   * the backend server.
   * @param nowMs Monotonic time.
   * @returns The requests that start or expire now.
   */
  release(
    rank: Rank,
    serviceMs: number | undefined,
    nowMs: number,
  ): ReleaseResult {
    if (serviceMs !== undefined) this.#learn(rank, serviceMs);
    this.#running[rank]--;
    return this.startWaiting(nowMs);
  }

  /**
   * Removes a waiting request.
   *
   * @param request The request.
   * @returns Whether it was waiting.
   */
  cancel(request: SlotRequest): boolean {
    const queue = this.#queues[request.rank];
    const index = queue.findIndex((waiting) => waiting.id === request.id);
    if (index >= 0) queue.splice(index, 1);
    return index >= 0;
  }

  /**
   * Starts what may start.
   *
   * @param nowMs Monotonic time.
   * @returns The requests that start or expire now.
   */
  startWaiting(nowMs: number): ReleaseResult {
    const started: SlotRequest[] = [];
    const expired: SlotRequest[] = [];
    for (;;) {
      const rank = this.#nextRank(nowMs);
      if (rank === undefined) return { started, expired };
      const request = this.#queues[rank].shift()!;
      if (nowMs + this.#serviceMs[rank] > request.deadlineMs) {
        expired.push(request);
        continue;
      }
      this.#charge(rank);
      this.#running[rank]++;
      started.push(request);
    }
  }

  #learn(rank: Rank, serviceMs: number): void {
    const known = this.#serviceMs[rank];
    this.#serviceMs[rank] = known === 0
      ? serviceMs
      : known + (serviceMs - known) * SERVICE_TIME_WEIGHT;
    this.limit.recordSuccess(this.running);
  }

  /** Expected time to the end of a request that joins the queue now. */
  #expectedMs(rank: Rank): number {
    const serviceMs = this.#serviceMs[rank];
    const slots = Math.max(1, this.#guaranteed(rank));
    return serviceMs * (1 + this.#queues[rank].length / slots);
  }

  #guaranteed(rank: Rank): number {
    return Math.floor(this.limit.current * this.#policy.shares[rank]);
  }

  #mayStart(rank: Rank, nowMs: number): boolean {
    const free = this.limit.current - this.running;
    if (free <= 0) return false;
    if (this.#running[rank] < this.#guaranteed(rank)) return true;
    return free > this.#headroomAbove(rank, nowMs);
  }

  /** Slots kept free for more urgent ranks. */
  #headroomAbove(rank: Rank, nowMs: number): number {
    let headroom = 0;
    for (const other of RANKS) {
      if (other === rank) break;
      const recent = nowMs - this.#seenAtMs[other] < HEADROOM_MEMORY_MS;
      if (recent && this.#running[other] < this.#guaranteed(other)) headroom++;
    }
    return Math.min(
      headroom,
      Math.floor(this.limit.current * MAX_HEADROOM_SHARE),
    );
  }

  #nextRank(nowMs: number): Rank | undefined {
    const waiting = RANKS.filter((rank) =>
      this.#queues[rank].length > 0 && this.#mayStart(rank, nowMs)
    );
    return waiting.find((rank) =>
      this.#running[rank] < this.#guaranteed(rank)
    ) ?? waiting.find((rank) => this.#credits[rank] >= 1) ?? waiting[0];
  }

  /**
   * Gives waiting ranks whose share is less than a slot credit for each start,
   * so that they get their share over time.
   */
  #charge(started: Rank): void {
    for (const rank of RANKS) {
      if (this.#queues[rank].length === 0 && rank !== started) continue;
      if (this.#guaranteed(rank) > 0) continue;
      this.#credits[rank] += this.#policy.shares[rank];
    }
    if (this.#credits[started] >= 1) this.#credits[started] -= 1;
  }
}
