import type { QuotaAnswer } from "../../protocol/quota_message.ts";
import type { FleetView } from "./fleet_view.ts";

/** Time for which an account that did not answer is not asked, in ms. */
const SILENCE_MS = 200;
/** The same for a daemon that cannot read the question, in ms. */
const UNREADABLE_SILENCE_MS = 5_000;
/** Time between two attempts to get a lease, in ms. */
const CLAIM_PERIOD_MS = 200;
/** Renewals of a lease within its length. */
const RENEWALS_PER_LEASE = 3;

/** Why an account daemon gave no usable answer. */
export enum AccountFailure {
  /** No answer in time, or the connection broke. */
  Unreachable = "unreachable",
  /** By its own directory it does not hold the accounts. */
  NotAccount = "not-account",
  /** It is of a version without quotas. */
  Unreadable = "unreadable",
}

/** What this daemon knows of one group's account daemon. */
export class AccountLink {
  readonly group: string;
  /** Instance of the account daemon. */
  readonly account: string;
  /** Process of the account daemon that answered last; empty if none did. */
  epoch = "";
  stampMs = 0;
  leaseMs = 0;
  heardAtMs = -Infinity;
  /** Whether this daemon held a lease by the last answer. */
  isLeased = false;
  /** Whether the accounts were elsewhere a short time before the last answer. */
  isMoved = false;
  /** No lease that this daemon claimed lasts longer. */
  claimedUntilMs = -Infinity;
  /** Not asked until then. */
  silentUntilMs = -Infinity;
  sentAtMs = -Infinity;

  /**
   * Creates a link to a daemon that has not been heard from.
   *
   * @param group Name of the group.
   * @param account Instance of its account daemon.
   */
  constructor(group: string, account: string) {
    this.group = group;
    this.account = account;
  }

  /**
   * Records an answer.
   *
   * @param reply The answer.
   * @param nowMs Monotonic time, in ms.
   */
  recordReply(
    reply: QuotaAnswer,
    nowMs: number,
  ): void {
    const isLate = reply.epoch === this.epoch && reply.stampMs < this.stampMs;
    if (isLate) return;
    this.epoch = reply.epoch;
    this.stampMs = reply.stampMs;
    this.leaseMs = reply.leaseMs;
    this.isLeased = reply.isLeased;
    this.isMoved = reply.isMoved;
    this.heardAtMs = nowMs;
    this.silentUntilMs = -Infinity;
  }

  /**
   * Records that there was no usable answer.
   *
   * @param failure The reason.
   * @param nowMs Monotonic time, in ms.
   */
  recordFailure(failure: AccountFailure, nowMs: number): void {
    this.isLeased = false;
    this.silentUntilMs = nowMs +
      (failure === AccountFailure.Unreadable
        ? UNREADABLE_SILENCE_MS
        : SILENCE_MS);
  }

  /** Records that a lease is claimed on the basis of the last answer. */
  recordClaim(): void {
    this.claimedUntilMs = Math.max(
      this.claimedUntilMs,
      this.heardAtMs + this.leaseMs,
    );
  }
}

/**
 * Links to the account daemons of all groups.
 *
 * Of each limit, a daemon has a lease at one account or its fixed share, never
 * both: it claims a lease only once those at former accounts have ended.
 *
 * @example
 * ```ts ignore
 * links.update(view, nowMs);
 * const link = links.find("0/4");
 * ```
 */
export class AccountLinks {
  readonly #startedAtMs: number;
  #view: FleetView | undefined;
  #current = new Map<string, AccountLink>();
  #former: AccountLink[] = [];

  /**
   * Creates a table without links.
   *
   * @param startedAtMs Start of this process; an earlier one may have a lease.
   */
  constructor(startedAtMs: number) {
    this.#startedAtMs = startedAtMs;
  }

  /**
   * Adopts the assignment of accounts.
   *
   * @param view The view of the fleet.
   * @param nowMs Monotonic time, in ms.
   */
  update(view: FleetView, nowMs: number): void {
    this.#former = this.#former.filter((link) => link.claimedUntilMs > nowMs);
    if (view === this.#view) return;
    this.#view = view;
    const next = new Map<string, AccountLink>();
    for (const group of view.groups) {
      const account = view.accountOf(group);
      if (account === undefined) continue;
      const known = this.#current.get(group);
      next.set(
        group,
        known?.account === account ? known : new AccountLink(group, account),
      );
    }
    for (const [group, link] of this.#current) {
      if (next.get(group) !== link && link.claimedUntilMs > nowMs) {
        this.#former.push(link);
      }
    }
    this.#current = next;
  }

  /**
   * Returns the link of a group.
   *
   * @param group Name of the group.
   * @returns The link; `undefined` if the group has no account.
   */
  find(group: string): AccountLink | undefined {
    return this.#current.get(group);
  }

  /**
   * Returns the time from which this daemon has its fixed share in a group.
   *
   * @param link The group's link.
   * @returns Monotonic time, in ms.
   */
  fixedFromMs(link: AccountLink): number {
    let fromMs = Math.max(
      this.#startedAtMs + (this.#view?.leaseMs ?? 0),
      link.claimedUntilMs,
    );
    for (const former of this.#former) {
      if (isConflict(former, link)) {
        fromMs = Math.max(fromMs, former.claimedUntilMs);
      }
    }
    return fromMs;
  }

  /**
   * Returns whether this daemon may claim a lease.
   *
   * @param link Link of the group.
   * @param nowMs Monotonic time, in ms.
   * @returns Whether no other lease may be in force.
   */
  mayClaim(link: AccountLink, nowMs: number): boolean {
    // An earlier process may have a lease at the former account.
    const startedMs = nowMs - this.#startedAtMs;
    const mayHaveFormer = link.isMoved && startedMs < link.leaseMs;
    return link.stampMs > 0 && !mayHaveFormer &&
      this.#former.every((former) =>
        !isConflict(former, link) || former.claimedUntilMs <= nowMs
      );
  }

  /**
   * Returns the links to which a message is due to keep or get a lease.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The links.
   */
  dueForRenewal(nowMs: number): readonly AccountLink[] {
    const periodMs = (this.#view?.leaseMs ?? 0) / RENEWALS_PER_LEASE;
    return [...this.#current.values()].filter((link) => {
      if (link.silentUntilMs > nowMs) return false;
      const mayGet = !link.isLeased &&
        (link.stampMs === 0 || this.mayClaim(link, nowMs));
      return nowMs - link.sentAtMs >= (mayGet ? CLAIM_PERIOD_MS : periodMs);
    });
  }

  /** Former links whose leases are to be ended. */
  get former(): readonly AccountLink[] {
    return this.#former;
  }

  /**
   * Records that the lease at a former account has ended.
   *
   * @param link Its link.
   */
  recordRelease(link: AccountLink): void {
    this.#former = this.#former.filter((former) => former !== link);
  }
}

/** With another number of groups, each organisation may be in another one. */
function isConflict(former: AccountLink, link: AccountLink): boolean {
  const [index, count] = link.group.split("/");
  const [formerIndex, formerCount] = former.group.split("/");
  return formerCount !== count || formerIndex === index;
}
