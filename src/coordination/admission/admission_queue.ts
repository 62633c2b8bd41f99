import { Reason } from "../../protocol/outcome.ts";
import {
  type PerRank,
  perRank,
  type Rank,
  RANKS,
} from "../../protocol/rank.ts";
import { AdaptiveLimit } from "./adaptive_limit.ts";

/** Weight of the newest sample in the average service time. */
const SERVICE_TIME_WEIGHT = 0.1;
/** Largest share of the slots kept free; rounds down to none with few slots. */
const MAX_HEADROOM_SHARE = 0.1;
/** Time for which headroom is kept after the last request of a rank, in ms. */
const HEADROOM_RETENTION_MS = 10_000;

/** A request for a slot. */
export interface SlotRequest {
  readonly id: string;
  readonly rank: Rank;
  /** Monotonic time by which the request has to be answered. */
  readonly deadlineMs: number;
}

/** Decision on a request for a slot. */
export type Admission =
  | { readonly kind: "start" }
  | { readonly kind: "queued"; readonly position: number }
  | { readonly kind: "refused"; readonly reason: Reason };

/** Requests that left the queue as slots became free. */
export interface ReleaseResult {
  /** Requests that start now. */
  readonly started: readonly SlotRequest[];
  /** Requests that can no longer meet their deadline. */
  readonly expired: readonly SlotRequest[];
}

/** Policy of an {@linkcode AdmissionQueue}. */
export interface AdmissionPolicy {
  /** Share of the slots guaranteed to each rank. */
  readonly shares: Readonly<PerRank<number>>;
  /** Maximum queue length of each rank. */
  readonly queuePerRank: number;
}

/** Load of a destination, as reported to peers. */
export interface AdmissionLoad {
  readonly running: number;
  readonly queued: number;
  readonly limit: number;
}

/**
 * Returns the load after the completion of one running request, for the report
 * in its response.
 *
 * @param load The load that includes the request.
 * @returns The load without it; a queued request takes over its slot.
 *
 * @example
 * ```ts
 * loadAfterCompletion({ running: 4, queued: 1, limit: 4 }); // { running: 4, queued: 0, limit: 4 }
 * ```
 */
export function loadAfterCompletion(load: AdmissionLoad): AdmissionLoad {
  if (load.queued > 0) return { ...load, queued: load.queued - 1 };
  return { ...load, running: Math.max(0, load.running - 1) };
}

/**
 * Assigns the slots of one backend server to requests by rank.
 *
 * Each rank is guaranteed its share: ranks below their share go first, the most
 * urgent one before the others. Remaining slots go to the most urgent rank.
 * Less urgent ranks leave up to a tenth of the slots free for more urgent ranks
 * with recent requests, as a running request is never preempted. A request that
 * cannot meet its deadline is refused at once.
 *
 * @example
 * ```ts
 * const policy = { shares: { urgent: 0.5, standard: 0.3, bulk: 0.2 }, queuePerRank: 10 };
 * const queue = new AdmissionQueue(4, policy);
 * queue.admit({ id: "a", rank: Rank.Urgent, deadlineMs: 1000 }, 0); // { kind: "start" }
 * ```
 */
export class AdmissionQueue {
  readonly limit: AdaptiveLimit;
  #policy: AdmissionPolicy;
  readonly #queues = perRank<SlotRequest[]>(() => []);
  readonly #running = perRank(() => 0);
  readonly #credits = perRank(() => 0);
  readonly #averageServiceMs = perRank(() => 0);
  readonly #lastSeenAtMs = perRank(() => -Infinity);

  /**
   * Creates an empty queue.
   *
   * @param slots Slots that the backend server announced.
   * @param policy Shares of the ranks and maximum queue length.
   */
  constructor(slots: number, policy: AdmissionPolicy) {
    this.limit = new AdaptiveLimit(slots);
    this.#policy = policy;
  }

  /** Replaces the policy. */
  set policy(policy: AdmissionPolicy) {
    this.#policy = policy;
  }

  /** Number of running requests. */
  get running(): number {
    return RANKS.reduce((sum, rank) => sum + this.#running[rank], 0);
  }

  /** Current load, to be reported to peers. */
  get load(): AdmissionLoad {
    const queued = RANKS.reduce(
      (sum, rank) => sum + this.#queues[rank].length,
      0,
    );
    return { running: this.running, queued, limit: this.limit.current };
  }

  /**
   * Starts, queues or refuses a request.
   *
   * @param request The request.
   * @param nowMs Monotonic time, in ms.
   * @returns The decision.
   */
  admit(request: SlotRequest, nowMs: number): Admission {
    const { rank } = request;
    this.#lastSeenAtMs[rank] = nowMs;
    const queue = this.#queues[rank];
    if (this.hasFreeSlot(rank, nowMs)) {
      this.#running[rank]++;
      return { kind: "start" };
    }
    if (queue.length >= this.#policy.queuePerRank) {
      return { kind: "refused", reason: Reason.Overloaded };
    }
    if (nowMs + this.#expectedCompletionMs(rank) > request.deadlineMs) {
      return { kind: "refused", reason: Reason.DeadlineTooShort };
    }
    queue.push(request);
    return { kind: "queued", position: queue.length };
  }

  /**
   * Returns whether a request would start at once.
   *
   * @param rank Its rank.
   * @param nowMs Monotonic time, in ms.
   * @returns Whether a slot is free for the rank.
   */
  hasFreeSlot(rank: Rank, nowMs: number): boolean {
    return this.#queues[rank].length === 0 && this.#mayStart(rank, nowMs);
  }

  /**
   * Releases the slot of a running request.
   *
   * @param rank Its rank.
   * @param serviceMs Time that it ran, in ms; `undefined` if it says nothing
   * about the backend server.
   * @param nowMs Monotonic time, in ms.
   * @returns The requests that start or expire now.
   */
  release(
    rank: Rank,
    serviceMs: number | undefined,
    nowMs: number,
  ): ReleaseResult {
    if (serviceMs !== undefined) this.#recordServiceTime(rank, serviceMs);
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
   * Starts the waiting requests for which a slot is free.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The requests that start or expire now.
   */
  startWaiting(nowMs: number): ReleaseResult {
    const started: SlotRequest[] = [];
    const expired: SlotRequest[] = [];
    for (;;) {
      const rank = this.#nextRank(nowMs);
      if (rank === undefined) return { started, expired };
      const request = this.#queues[rank].shift()!;
      if (nowMs + this.#averageServiceMs[rank] > request.deadlineMs) {
        expired.push(request);
        continue;
      }
      this.#updateCredits(rank);
      this.#running[rank]++;
      started.push(request);
    }
  }

  #recordServiceTime(rank: Rank, serviceMs: number): void {
    const average = this.#averageServiceMs[rank];
    this.#averageServiceMs[rank] = average === 0
      ? serviceMs
      : average + (serviceMs - average) * SERVICE_TIME_WEIGHT;
    this.limit.recordSuccess(this.running);
  }

  /** Expected time to the completion of a request that is queued now. */
  #expectedCompletionMs(rank: Rank): number {
    const serviceMs = this.#averageServiceMs[rank];
    const slots = Math.max(1, this.#guaranteed(rank));
    return serviceMs * (1 + this.#queues[rank].length / slots);
  }

  #guaranteed(rank: Rank): number {
    return Math.floor(this.limit.current * this.#policy.shares[rank]);
  }

  #mayStart(rank: Rank, nowMs: number): boolean {
    const freeSlots = this.limit.current - this.running;
    if (freeSlots <= 0) return false;
    if (this.#running[rank] < this.#guaranteed(rank)) return true;
    return freeSlots > this.#headroomFor(rank, nowMs);
  }

  /** Slots kept free for more urgent ranks. */
  #headroomFor(rank: Rank, nowMs: number): number {
    let kept = 0;
    for (const other of RANKS) {
      if (other === rank) break;
      const isRecent =
        nowMs - this.#lastSeenAtMs[other] < HEADROOM_RETENTION_MS;
      if (isRecent && this.#running[other] < this.#guaranteed(other)) kept++;
    }
    return Math.min(
      kept,
      Math.floor(this.limit.current * MAX_HEADROOM_SHARE),
    );
  }

  #nextRank(nowMs: number): Rank | undefined {
    const startable = RANKS.filter((rank) =>
      this.#queues[rank].length > 0 && this.#mayStart(rank, nowMs)
    );
    return startable.find((rank) =>
      this.#running[rank] < this.#guaranteed(rank)
    ) ?? startable.find((rank) => this.#credits[rank] >= 1) ?? startable[0];
  }

  /**
   * Adds credit for each start to waiting ranks whose share is less than one
   * slot, so that they receive their share over time.
   */
  #updateCredits(started: Rank): void {
    for (const rank of RANKS) {
      if (this.#queues[rank].length === 0 && rank !== started) continue;
      if (this.#guaranteed(rank) > 0) continue;
      this.#credits[rank] += this.#policy.shares[rank];
    }
    if (this.#credits[started] >= 1) this.#credits[started] -= 1;
  }
}
