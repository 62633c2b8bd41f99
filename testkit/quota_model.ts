import {
  AccountBook,
  AccountFailure,
  type AccountLink,
  type FleetMember,
  FleetTracker,
  planQuota,
  type QuotaBasis,
  type QuotaBounds,
  type QuotaLimit,
  type QuotaPlan,
  TokenHolder,
} from "../src/coordination/quota/mod.ts";
import type { QuotaReply, QuotaReport } from "../src/protocol/quota_message.ts";
import type { Random } from "../src/protocol/random.ts";

/** Period of a daemon's regular work, in ms. */
const TICK_MS = 250;
/** Time for which a request waits for its account, in ms. */
const WAIT_MS = 50;
/** Time at which daemons start, in ms; it must not be 0. */
const START_MS = 1;
/** What the wall clocks are ahead of the monotonic one, in ms. */
const WALL_OFFSET_MS = 1e9;

/** Faults in the rules themselves, to show that a check notices them. */
export enum QuotaFlaw {
  None = "none",
  /** A daemon uses its fixed share beside its lease at an account. */
  BothShares = "both-shares",
  /** A daemon forgets the leases that it has when the accounts move. */
  ForgottenLeases = "forgotten-leases",
}

/** A request of a caller. */
export interface ModelRequest {
  readonly atMs: number;
  readonly daemon: number;
  readonly organisation: string;
}

/** A limit in force from a time on. */
export interface ModelLimit {
  readonly atMs: number;
  readonly organisation: string;
  /** `undefined` removes the limit. */
  readonly limit: QuotaLimit | undefined;
}

/** What happens in a run of a {@linkcode QuotaModel}. */
export interface ModelPlan {
  readonly members: readonly FleetMember[];
  readonly bounds: QuotaBounds;
  readonly durationMs: number;
  readonly requests: readonly ModelRequest[];
  /** Each applies at a daemon up to `maxNoticeMs` later. */
  readonly limits: readonly ModelLimit[];
  readonly maxNoticeMs: number;
  /** Delay of a message, in ms; `undefined` if it is lost. */
  readonly deliver: (
    from: number,
    to: number,
    atMs: number,
  ) => number | undefined;
  readonly restarts: readonly { readonly atMs: number; daemon: number }[];
  /** Instances that are removed from the directory, or added again. */
  readonly changes: readonly {
    readonly atMs: number;
    readonly daemon: number;
    readonly isMember: boolean;
  }[];
  /** Largest error of a daemon's wall clock, in ms; 0 by default. */
  readonly maxClockErrorMs?: number;
  readonly flaw?: QuotaFlaw;
}

/** How a request ended. */
export interface ModelResult {
  readonly atMs: number;
  readonly daemon: number;
  readonly organisation: string;
  readonly isAdmitted: boolean;
  readonly basis: QuotaBasis;
  readonly retryAfterMs: number;
}

interface ModelDaemon {
  holder: TokenHolder;
  book: AccountBook;
  tracker: FleetTracker;
  generation: number;
  members: readonly FleetMember[];
  plans: Map<string, QuotaPlan>;
}

/**
 * Daemons without a network that keep the quotas of organisations: the decision
 * modules with simulated messages, clocks and faults.
 *
 * @example
 * ```ts ignore
 * const results = new QuotaModel(plan, new Random(1)).run();
 * ```
 */
export class QuotaModel {
  readonly #plan: ModelPlan;
  readonly #random: Random;
  readonly #daemons: ModelDaemon[];
  /** What is to happen, by ms. */
  readonly #agenda: (() => void)[][] = [];
  readonly #results: ModelResult[] = [];
  /** Holders without leases, for {@linkcode QuotaFlaw.BothShares}. */
  readonly #sidelines: TokenHolder[] = [];
  #nowMs = 0;
  #messages = 0;

  /**
   * Creates a model.
   *
   * @param plan What happens.
   * @param random Seeded numbers.
   */
  constructor(plan: ModelPlan, random: Random) {
    this.#plan = plan;
    this.#random = random;
    this.#daemons = plan.members.map((_, index) => ({
      ...this.#createProcess(index, 0, START_MS),
      members: plan.members,
      plans: new Map(),
    }));
  }

  /** Messages that daemons sent to each other, without answers. */
  get messages(): number {
    return this.#messages;
  }

  /**
   * Runs the plan.
   *
   * @returns The ends of the requests, in the order of their times.
   */
  run(): readonly ModelResult[] {
    const plan = this.#plan;
    for (const daemon of this.#daemons) {
      // A daemon never adopts an older version after a newer one.
      let knownAtMs = 0;
      for (const { atMs, organisation, limit } of plan.limits) {
        const noticeMs = this.#random.below(plan.maxNoticeMs + 1);
        knownAtMs = Math.max(knownAtMs, atMs + noticeMs);
        this.#at(knownAtMs, () => {
          if (limit === undefined) daemon.plans.delete(organisation);
          else daemon.plans.set(organisation, planQuota(limit, plan.bounds));
          daemon.plans = new Map(daemon.plans);
          this.#update(daemon);
        });
      }
    }
    for (const { atMs, daemon, isMember } of plan.changes) {
      this.#scheduleChange(atMs, daemon, isMember);
    }
    for (const { atMs, daemon: index } of plan.restarts) {
      this.#at(atMs, () => {
        const daemon = this.#daemons[index]!;
        Object.assign(
          daemon,
          this.#createProcess(index, daemon.generation + 1, this.#nowMs),
        );
        this.#tick(index);
      });
    }
    this.#daemons.forEach((_, index) => {
      let atMs = START_MS;
      while (atMs < plan.durationMs) {
        this.#at(atMs, () => this.#tick(index));
        atMs += TICK_MS - this.#random.below(20);
      }
    });
    for (const request of plan.requests) {
      this.#at(request.atMs, () => this.#start(request));
    }
    for (let nowMs = 0; nowMs < plan.durationMs; nowMs++) {
      this.#nowMs = nowMs;
      const due = this.#agenda[nowMs];
      if (due === undefined) continue;
      // The list may grow while it is worked off.
      for (let index = 0; index < due.length; index++) due[index]!();
      delete this.#agenda[nowMs];
    }
    return this.#results;
  }

  #createProcess(index: number, generation: number, startedAtMs: number) {
    const { instance } = this.#plan.members[index]!;
    const maxErrorMs = this.#plan.maxClockErrorMs ?? 0;
    return {
      holder: new TokenHolder({
        instance,
        startedAtMs,
        wallOffsetMs: WALL_OFFSET_MS + this.#random.below(maxErrorMs + 1),
      }),
      book: new AccountBook(instance, `${instance}.${generation}`),
      tracker: new FleetTracker(instance),
      generation,
    };
  }

  #scheduleChange(atMs: number, changed: number, isMember: boolean): void {
    this.#daemons.forEach((daemon, index) => {
      // An instance does not learn that its own record was removed.
      if (index === changed) return;
      this.#at(atMs + this.#random.below(this.#plan.maxNoticeMs + 1), () => {
        const all = this.#plan.members;
        daemon.members = all.filter((member, other) =>
          other === changed ? isMember : daemon.members.includes(member)
        );
        if (this.#plan.flaw === QuotaFlaw.ForgottenLeases) {
          daemon.holder = this.#createProcess(index, 0, -1e6).holder;
        }
        this.#update(daemon);
      });
    });
  }

  #at(atMs: number, act: () => void): void {
    (this.#agenda[Math.max(this.#nowMs, Math.round(atMs))] ??= []).push(act);
  }

  #update(daemon: ModelDaemon): void {
    const view = daemon.tracker.update(daemon.members, this.#nowMs);
    daemon.holder.update(daemon.plans, view, false, this.#nowMs);
    daemon.book.update(view, daemon.plans, false, this.#nowMs);
    this.#checkAccounts(daemon);
  }

  /** Checks what the bound on windows rests on. */
  #checkAccounts({ book, plans }: ModelDaemon): void {
    for (const group of book.groups.values()) {
      for (const organisation of plans.keys()) {
        const account = group.account(organisation);
        if (account === undefined) continue;
        const { level, outstanding, size } = account;
        if (level < 0 || outstanding < 0 || level > size + 1e-6) {
          throw new RangeError(
            `Cannot go on: the account of ${organisation} has a level of ` +
              `${level} with ${outstanding} outstanding, at a size of ${size}`,
          );
        }
      }
    }
  }

  #tick(index: number): void {
    const daemon = this.#daemons[index]!;
    this.#update(daemon);
    const { holder } = daemon;
    for (const link of holder.dueLinks(this.#nowMs)) {
      this.#ask(index, link, new Map(), () => {});
    }
    for (const link of holder.links.former) {
      this.#send(index, link.account, holder.buildRelease(link), (reply) => {
        if (reply !== undefined) holder.links.recordRelease(link);
      });
    }
  }

  #start(request: ModelRequest): void {
    const daemon = this.#daemons[request.daemon]!;
    const { organisation } = request;
    const { holder } = daemon;
    const decision = holder.decide(organisation, this.#nowMs);
    if (decision.kind !== "ask") return this.#end(request, decision);
    const waiting = new Map([[organisation, 1]]);
    this.#ask(request.daemon, decision.link, waiting, (reply) => {
      if (holder !== daemon.holder) return;
      const grant = reply?.kind === "served"
        ? reply.grants.find((one) => one.organisation === organisation)
        : undefined;
      if (grant !== undefined && grant.granted > 0) {
        return this.#end(request, {
          kind: "admitted",
          basis: "account" as QuotaBasis,
        });
      }
      this.#end(
        request,
        grant === undefined
          ? holder.decideAlone(organisation, this.#nowMs)
          : holder.decideEmpty(organisation, this.#nowMs),
      );
    });
  }

  #end(
    request: ModelRequest,
    decision: ReturnType<TokenHolder["decideAlone"]>,
  ): void {
    const { daemon, organisation } = request;
    const hasBoth = this.#plan.flaw === QuotaFlaw.BothShares;
    if (decision.kind === "refused" && hasBoth) {
      // A holder that never has a lease has its fixed share at all times.
      const { members, plans, tracker } = this.#daemons[daemon]!;
      const view = tracker.update(members, this.#nowMs);
      const other = this.#sidelines[daemon] ??=
        this.#createProcess(daemon, 0, -1e6).holder;
      other.update(plans, view, false, this.#nowMs);
      decision = other.decideAlone(organisation, this.#nowMs);
    }
    const isAdmitted = decision.kind === "admitted";
    this.#results.push({
      atMs: this.#nowMs,
      daemon,
      organisation,
      isAdmitted,
      basis: decision.basis,
      retryAfterMs: decision.kind === "refused" ? decision.retryAfterMs : 0,
    });
  }

  /** Calls back once, after the wait at the latest. */
  #ask(
    index: number,
    link: AccountLink,
    waiting: ReadonlyMap<string, number>,
    onEnd: (reply: QuotaReply | undefined) => void,
  ): void {
    const daemon = this.#daemons[index]!;
    const { holder } = daemon;
    const sentAtMs = this.#nowMs;
    const report = holder.buildReport(link, waiting, sentAtMs);
    let hasEnded = false;
    const end = (reply: QuotaReply | undefined) => {
      if (hasEnded) return;
      hasEnded = true;
      onEnd(reply);
    };
    this.#send(index, link.account, report, (reply) => {
      if (holder !== daemon.holder) return;
      const nowMs = this.#nowMs;
      if (reply?.kind === "served") {
        holder.applyReply(link, report, reply, { sentAtMs, nowMs });
        const isFirst = !reply.isLeased && report.epoch !== reply.epoch;
        if (isFirst && holder.links.mayClaim(link, nowMs)) {
          this.#ask(index, link, new Map(), () => {});
        }
      } else {
        holder.recordFailure(link, AccountFailure.NotAccount, nowMs);
      }
      end(reply);
    });
    this.#at(sentAtMs + WAIT_MS, () => {
      if (hasEnded || holder !== daemon.holder) return;
      holder.recordFailure(link, AccountFailure.Unreachable, this.#nowMs);
      end(undefined);
    });
  }

  #send(
    from: number,
    account: string,
    report: QuotaReport,
    onReply: (reply: QuotaReply) => void,
  ): void {
    const to = this.#plan.members.findIndex((one) => one.instance === account);
    if (to === from) {
      return onReply(this.#daemons[to]!.book.serve(report, this.#nowMs));
    }
    this.#messages++;
    const delayMs = this.#plan.deliver(from, to, this.#nowMs);
    if (delayMs === undefined) return;
    this.#at(this.#nowMs + delayMs, () => {
      const reply = this.#daemons[to]!.book.serve(report, this.#nowMs);
      const backMs = this.#plan.deliver(to, from, this.#nowMs);
      if (backMs === undefined) return;
      this.#at(this.#nowMs + backMs, () => onReply(reply));
    });
  }
}

/**
 * Finds the largest number of requests that ran in any window.
 *
 * @param times Times at which requests ran, ascending, in ms.
 * @param windowMs Length of the windows.
 * @returns The number.
 *
 * @example
 * ```ts
 * maxRunsInWindow([0, 10, 20, 200], 50); // 3
 * ```
 */
export function maxRunsInWindow(
  times: readonly number[],
  windowMs: number,
): number {
  let start = 0;
  let most = 0;
  times.forEach((time, index) => {
    while (times[start]! <= time - windowMs) start++;
    most = Math.max(most, index - start + 1);
  });
  return most;
}
