import { Reason } from "../../protocol/outcome.ts";
import {
  type PerRank,
  perRank,
  type Rank,
  RANKS,
} from "../../protocol/rank.ts";

/** Share of an ingress's running calls that each rank is guaranteed. */
export const INGRESS_SHARES: Readonly<PerRank<number>> = {
  urgent: 0.4,
  standard: 0.3,
  bulk: 0.2,
};

/** A call that enters the system. */
export interface IngressCall {
  readonly rank: Rank;
  readonly caller: string;
  /** Most running calls of the caller. */
  readonly callerMaxRunning: number;
}

/**
 * Bounds the calls that one ingress carries, by rank and by caller.
 *
 * Above the bound a rank that runs below its share is still let in, so that a
 * flood of any rank leaves the others their part.
 *
 * @example
 * ```ts
 * const limiter = new IngressLimiter(100);
 * limiter.enter({ rank: Rank.Urgent, caller: "stall", callerMaxRunning: 5 }); // undefined
 * ```
 */
export class IngressLimiter {
  readonly #maxRunning: number;
  readonly #byRank = perRank(() => 0);
  readonly #byCaller = new Map<string, number>();

  /**
   * Creates a limiter.
   *
   * @param maxRunning Most running calls.
   */
  constructor(maxRunning: number) {
    this.#maxRunning = maxRunning;
  }

  /** Calls that run. */
  get running(): number {
    return RANKS.reduce((sum, rank) => sum + this.#byRank[rank], 0);
  }

  /**
   * Lets a call in or refuses it.
   *
   * @param call The call.
   * @returns `undefined` where it is let in, else the reason.
   */
  admit(call: IngressCall): Reason | undefined {
    const ofCaller = this.#byCaller.get(call.caller) ?? 0;
    if (ofCaller >= call.callerMaxRunning) return Reason.CallerLimit;
    if (!this.#hasRoom(call.rank)) return Reason.Overloaded;
    this.#byCaller.set(call.caller, ofCaller + 1);
    this.#byRank[call.rank]++;
    return undefined;
  }

  /**
   * Ends a call that was let in.
   *
   * @param call The call.
   */
  release(call: IngressCall): void {
    this.#byRank[call.rank]--;
    const ofCaller = this.#byCaller.get(call.caller)! - 1;
    if (ofCaller === 0) this.#byCaller.delete(call.caller);
    else this.#byCaller.set(call.caller, ofCaller);
  }

  #hasRoom(rank: Rank): boolean {
    const share = this.#maxRunning * INGRESS_SHARES[rank];
    if (this.#byRank[rank] < share) return true;
    return this.running < this.#maxRunning - this.#reservedForOthers(rank);
  }

  /** Guaranteed room that other ranks do not use now. */
  #reservedForOthers(rank: Rank): number {
    return RANKS.filter((other) => other !== rank).reduce((sum, other) => {
      const share = this.#maxRunning * INGRESS_SHARES[other];
      return sum + Math.max(0, share - this.#byRank[other]);
    }, 0);
  }
}
