import type {
  QuotaReply,
  QuotaReport,
  TokenGrant,
} from "../../protocol/quota_message.ts";
import { QuotaAccount } from "./quota_account.ts";
import type { QuotaPlan } from "./quota_plan.ts";

/**
 * Time by which a lease ends sooner at the account than at its daemon, in ms:
 * the account looks for ended leases less often than that.
 */
const LEASE_MARGIN_MS = 100;
const SWEEP_PERIOD_MS = 50;
/** Time in which all daemons learn of a move of the accounts, in ms. */
const MOVE_NOTICE_MS = 5_000;

/** Facts about the fleet that determine the shares. */
export interface GroupConditions {
  /** Instances of the fleet. */
  readonly fleetSize: number;
  readonly leaseMs: number;
  /** Whether the directory may be outdated. */
  readonly isOutdated: boolean;
}

/**
 * The accounts of one group of organisations at their account daemon.
 *
 * A daemon holds either a lease here or its fixed share of each limit. The
 * accounts have the shares of the daemons with a lease only. A lease counts from
 * an answer that its daemon has received, so that it ends here before the daemon
 * uses its fixed share, whatever was lost or late between them.
 *
 * @example
 * ```ts ignore
 * const group = new AccountGroup("epoch-1");
 * group.update(plans, conditions, nowMs);
 * const reply = group.serve(report, nowMs);
 * ```
 */
export class AccountGroup {
  readonly #epoch: string;
  readonly #movedAtMs: number;
  readonly #accounts = new Map<string, QuotaAccount>();
  /** Ends of leases by instance, in ms. */
  readonly #leases = new Map<string, number>();
  /** Times at which leases were given up, by instance, in ms. */
  readonly #releases = new Map<string, number>();
  #plans: ReadonlyMap<string, QuotaPlan> = new Map();
  #conditions: GroupConditions = {
    fleetSize: 1,
    leaseMs: 0,
    isOutdated: false,
  };
  #share = 0;
  #sweptAtMs = -Infinity;

  /**
   * Creates a group without accounts.
   *
   * @param epoch Id of this account daemon's process and of this group in it.
   * @param movedAtMs Time at which the accounts came from another daemon, if
   * they did.
   */
  constructor(epoch: string, movedAtMs = -Infinity) {
    this.#epoch = epoch;
    this.#movedAtMs = movedAtMs;
  }

  /** Daemons with a lease. */
  get leaseCount(): number {
    return this.#leases.size;
  }

  /** Share of the limits that belongs to the accounts. */
  get share(): number {
    return this.#share;
  }

  /**
   * Returns the account of an organisation.
   *
   * @param organisation Its name.
   * @returns The account; `undefined` if there is none.
   */
  account(organisation: string): QuotaAccount | undefined {
    return this.#accounts.get(organisation);
  }

  /**
   * Applies limits and facts about the fleet.
   *
   * @param plans Plans of the group's organisations, by name.
   * @param conditions The facts.
   * @param nowMs Monotonic time, in ms.
   */
  update(
    plans: ReadonlyMap<string, QuotaPlan>,
    conditions: GroupConditions,
    nowMs: number,
  ): void {
    this.#plans = plans;
    this.#conditions = conditions;
    for (const organisation of this.#accounts.keys()) {
      if (!plans.has(organisation)) this.#accounts.delete(organisation);
    }
    for (const [organisation, plan] of plans) {
      if (this.#accounts.has(organisation)) continue;
      this.#accounts.set(organisation, new QuotaAccount(plan, nowMs));
    }
    this.#sweep(nowMs);
    this.#configureAccounts(nowMs);
  }

  /**
   * Serves a daemon.
   *
   * @param report What it sent.
   * @param nowMs Monotonic time, in ms.
   * @returns The answer.
   */
  serve(report: QuotaReport, nowMs: number): QuotaReply {
    if (nowMs - this.#sweptAtMs >= SWEEP_PERIOD_MS) this.#sweep(nowMs);
    this.#updateLease(report, nowMs);
    if (this.#computeShare() !== this.#share) this.#configureAccounts(nowMs);
    const isSameEpoch = report.epoch === this.#epoch;
    const grants: TokenGrant[] = [];
    for (const demand of report.demands) {
      const account = this.#accounts.get(demand.organisation);
      if (account === undefined) continue;
      grants.push(account.serve(
        report.sender,
        isSameEpoch ? demand : { ...demand, grantId: 0, held: 0, returned: 0 },
        nowMs,
      ));
    }
    return {
      kind: "served",
      epoch: this.#epoch,
      stampMs: nowMs,
      leaseMs: this.#conditions.leaseMs,
      isLeased: this.#leases.has(report.sender),
      isMoved: nowMs - this.#movedAtMs < MOVE_NOTICE_MS,
      grants,
    };
  }

  #updateLease(report: QuotaReport, nowMs: number): void {
    const { sender, epoch, stampMs, leaseMs, releases } = report;
    if (releases) {
      this.#leases.delete(sender);
      this.#releases.set(sender, nowMs);
      return;
    }
    if (epoch !== this.#epoch || stampMs <= 0) return;
    // A message from before the release may come after it.
    if (stampMs <= (this.#releases.get(sender) ?? -Infinity)) return;
    const endsAtMs = Math.min(stampMs, nowMs) +
      Math.min(leaseMs, this.#conditions.leaseMs) - LEASE_MARGIN_MS;
    const known = this.#leases.get(sender) ?? -Infinity;
    if (endsAtMs > nowMs && endsAtMs > known) {
      this.#leases.set(sender, endsAtMs);
    }
  }

  #sweep(nowMs: number): void {
    this.#sweptAtMs = nowMs;
    for (const [instance, endsAtMs] of this.#leases) {
      if (endsAtMs <= nowMs) this.#leases.delete(instance);
    }
    for (const [instance, releasedAtMs] of this.#releases) {
      const isOld = nowMs - releasedAtMs > this.#conditions.leaseMs;
      if (isOld) this.#releases.delete(instance);
    }
    if (this.#computeShare() !== this.#share) this.#configureAccounts(nowMs);
  }

  /**
   * Without a recent view of the store, only a majority may go on: the others
   * may have removed this daemon, and have the accounts elsewhere.
   */
  #computeShare(): number {
    const { fleetSize, isOutdated } = this.#conditions;
    const share = Math.min(1, this.#leases.size / Math.max(1, fleetSize));
    return isOutdated && share <= 0.5 ? 0 : share;
  }

  #configureAccounts(nowMs: number): void {
    this.#share = this.#computeShare();
    for (const [organisation, account] of this.#accounts) {
      const plan = this.#plans.get(organisation);
      if (plan === undefined) continue;
      account.configure(plan, {
        share: this.#share,
        daemons: this.#leases.size,
      }, nowMs);
    }
  }
}
