import type { TokenDemand, TokenGrant } from "../../protocol/quota_message.ts";
import { type QuotaPlan, TOKEN_TTL_MS } from "./quota_plan.ts";
import { ShareSchedule } from "./share_schedule.ts";

/** Time over which the rate of requests is averaged, in ms. */
const DEMAND_WINDOW_MS = 1_000;
/** Time without a request after which tokens are given back, in ms. */
const IDLE_MS = 300;
/** Time for which an account is not asked that knows of no limit, in ms. */
const UNKNOWN_MS = 500;

const MS_PER_S = 1_000;

/** Tokens in advance of one grant. */
interface Batch {
  readonly grantId: number;
  readonly epoch: string;
  readonly expiresAtMs: number;
  count: number;
}

/**
 * What one daemon holds and knows of one organisation's tokens.
 *
 * @example
 * ```ts ignore
 * if (store.tryUse(nowMs)) admit();
 * ```
 */
export class TokenStore {
  readonly organisation: string;
  #plan: QuotaPlan;
  /** Tokens of this daemon's part of the limit. */
  readonly fixed = new ShareSchedule();
  /** Tokens until this daemon's lease at the account has ended. */
  readonly bridge = new ShareSchedule();
  /** The account has nothing for this daemon until then. */
  emptyUntilMs = -Infinity;
  /** Tokens at the account by its last answer. */
  level = 0;
  /** Monotonic time of that answer, in ms. */
  knownAtMs = -Infinity;
  /** Since when the account is known not to know of a limit. */
  unknownFromMs = Infinity;
  unknownUntilMs = -Infinity;
  /** Monotonic time at which the account was told what is held here, in ms. */
  describedAtMs = -Infinity;
  #batches: Batch[] = [];
  /** Newest grant that was received, and the account process it came from. */
  #lastGrantId = 0;
  #lastEpoch = "";
  #demandPerS = 0;
  #demandAtMs = 0;

  /**
   * Creates a store without tokens.
   *
   * @param organisation Name of the organisation.
   * @param plan Plan of its limit.
   */
  constructor(organisation: string, plan: QuotaPlan) {
    this.organisation = organisation;
    this.#plan = plan;
  }

  /** Plan of the organisation's limit. */
  get plan(): QuotaPlan {
    return this.#plan;
  }

  /**
   * Changes the limit. Tokens of a higher one are void.
   *
   * @param plan The new plan.
   */
  configure(plan: QuotaPlan): void {
    const isLower = plan.ratePerS < this.#plan.ratePerS ||
      plan.size < this.#plan.size;
    if (isLower) this.#batches = [];
    this.#plan = plan;
  }

  /**
   * Records a request.
   *
   * @param nowMs Monotonic time, in ms.
   */
  recordDemand(nowMs: number): void {
    this.#demandPerS = this.#decayedDemand(nowMs) + MS_PER_S / DEMAND_WINDOW_MS;
    this.#demandAtMs = nowMs;
  }

  /**
   * Uses a token that this daemon holds.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Whether there was one.
   */
  tryUse(nowMs: number): boolean {
    for (let batch = this.#batches[0]; batch; batch = this.#batches[0]) {
      if (batch.count > 0 && batch.expiresAtMs > nowMs) {
        batch.count--;
        return true;
      }
      this.#batches.shift();
    }
    return false;
  }

  /**
   * Describes to the account what this daemon needs and holds.
   *
   * @param waiting Requests that wait for a token.
   * @param epoch Process of the account daemon.
   * @param nowMs Monotonic time, in ms.
   * @returns The description.
   */
  describe(waiting: number, epoch: string, nowMs: number): TokenDemand {
    this.describedAtMs = nowMs;
    const isIdle = nowMs - this.#demandAtMs >= IDLE_MS;
    let held = 0;
    let returned = 0;
    for (const batch of this.#batches) {
      if (batch.epoch !== epoch || batch.expiresAtMs <= nowMs) continue;
      if (isIdle) {
        returned += batch.count;
        batch.count = 0;
      }
      held += batch.count;
    }
    return {
      organisation: this.organisation,
      waiting,
      demandPerS: this.#decayedDemand(nowMs),
      grantId: this.#lastEpoch === epoch ? this.#lastGrantId : 0,
      held,
      returned,
    };
  }

  /**
   * Records what the account granted.
   *
   * @param grant The grant.
   * @param answer Process of the account daemon, and times in ms.
   */
  recordGrant(
    grant: TokenGrant,
    answer: {
      readonly epoch: string;
      readonly sentAtMs: number;
      readonly nowMs: number;
    },
  ): void {
    const { epoch, sentAtMs, nowMs } = answer;
    this.level = grant.level;
    this.knownAtMs = nowMs;
    this.unknownFromMs = Infinity;
    if (grant.emptyMs > 0) this.emptyUntilMs = nowMs + grant.emptyMs;
    const expiresAtMs = sentAtMs + TOKEN_TTL_MS;
    this.#batches = this.#batches.filter((batch) => batch.expiresAtMs > nowMs);
    // A grant that a newer one has overtaken was already reported as used up.
    const isOvertaken = epoch === this.#lastEpoch &&
      grant.grantId <= this.#lastGrantId;
    if (grant.advance <= 0 || isOvertaken) return;
    this.#lastEpoch = epoch;
    this.#lastGrantId = grant.grantId;
    if (expiresAtMs <= nowMs) return;
    this.#batches.push({
      grantId: grant.grantId,
      epoch,
      expiresAtMs,
      count: grant.advance,
    });
  }

  /**
   * Records that the account does not know of a limit.
   *
   * @param nowMs Monotonic time, in ms.
   */
  recordUnknown(nowMs: number): void {
    this.unknownFromMs = Math.min(this.unknownFromMs, nowMs);
    this.unknownUntilMs = nowMs + UNKNOWN_MS;
  }

  #decayedDemand(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.#demandAtMs);
    return this.#demandPerS * Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
  }
}
