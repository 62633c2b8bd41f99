import { Reason } from "../../protocol/outcome.ts";
import {
  type PerRank,
  perRank,
  type Rank,
  RANKS,
} from "../../protocol/rank.ts";

/** Share of an ingress's running calls guaranteed to each rank. */
export const INGRESS_SHARES: Readonly<PerRank<number>> = {
  urgent: 0.4,
  standard: 0.3,
  bulk: 0.2,
};

/** A call that arrives at an ingress. */
export interface LimiterCall {
  readonly rank: Rank;
  readonly caller: string;
  /** Maximum number of running calls of the caller. */
  readonly callerMaxRunning: number;
}

/**
 * Limits the running calls of one ingress, by rank and by caller.
 *
 * A rank below its share is admitted even at the limit, so that overload by any
 * rank leaves the others their share.
 *
 * @example
 * ```ts
 * const limiter = new IngressLimiter(100);
 * limiter.admit({ rank: Rank.Urgent, caller: "stall", callerMaxRunning: 5 }); // undefined
 * ```
 */
export class IngressLimiter {
  readonly #maxRunning: number;
  readonly #runningByRank = perRank(() => 0);
  readonly #runningByCaller = new Map<string, number>();

  /**
   * Creates a limiter.
   *
   * @param maxRunning Maximum number of running calls.
   */
  constructor(maxRunning: number) {
    this.#maxRunning = maxRunning;
  }

  /** Number of running calls. */
  get running(): number {
    return RANKS.reduce((sum, rank) => sum + this.#runningByRank[rank], 0);
  }

  /**
   * Admits or refuses a call.
   *
   * @param call The call.
   * @returns `undefined` if it is admitted, else the reason of the refusal.
   */
  admit(call: LimiterCall): Reason | undefined {
    const callerRunning = this.#runningByCaller.get(call.caller) ?? 0;
    if (callerRunning >= call.callerMaxRunning) return Reason.CallerLimit;
    if (!this.#hasCapacity(call.rank)) return Reason.Overloaded;
    this.#runningByCaller.set(call.caller, callerRunning + 1);
    this.#runningByRank[call.rank]++;
    return undefined;
  }

  /**
   * Releases the capacity of an admitted call that has ended.
   *
   * @param call The call.
   */
  release(call: LimiterCall): void {
    this.#runningByRank[call.rank]--;
    const callerRunning = this.#runningByCaller.get(call.caller)! - 1;
    if (callerRunning === 0) this.#runningByCaller.delete(call.caller);
    else this.#runningByCaller.set(call.caller, callerRunning);
  }

  #hasCapacity(rank: Rank): boolean {
    const share = this.#maxRunning * INGRESS_SHARES[rank];
    if (this.#runningByRank[rank] < share) return true;
    return this.running < this.#maxRunning - this.#reservedForOthers(rank);
  }

  /** Guaranteed capacity that the other ranks do not use now. */
  #reservedForOthers(rank: Rank): number {
    return RANKS.filter((other) => other !== rank).reduce((sum, other) => {
      const share = this.#maxRunning * INGRESS_SHARES[other];
      return sum + Math.max(0, share - this.#runningByRank[other]);
    }, 0);
  }
}
