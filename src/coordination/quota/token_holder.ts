import type {
  QuotaAnswer,
  QuotaReport,
  TokenDemand,
} from "../../protocol/quota_message.ts";
import {
  type AccountFailure,
  type AccountLink,
  AccountLinks,
} from "./account_links.ts";
import type { FleetView } from "./fleet_view.ts";
import {
  QuotaBasis,
  type QuotaDecision,
  type QuotaRefusal,
} from "./quota_decision.ts";
import { TokenStore } from "./token_store.ts";
import { BRIDGE_HOLD_MS, type QuotaPlan } from "./quota_plan.ts";
import type { SharePart } from "./share_schedule.ts";

/** Bounds of the time after which a refused request may come back, in ms. */
const MIN_RETRY_AFTER_MS = 20;
const MAX_RETRY_AFTER_MS = 1_000;
/** Time between two reports of used tokens, in ms. */
const REPORT_PERIOD_MS = 500;
/** The same if there are messages to the account anyway, in ms. */
const MIN_REPORT_PERIOD_MS = 200;

const MS_PER_S = 1_000;

/** Options of a {@linkcode TokenHolder}. */
export interface TokenHolderOptions {
  /** Name of this instance. */
  readonly instance: string;
  /** Monotonic start of this process, in ms. */
  readonly startedAtMs: number;
  /** What the wall clock is ahead of the monotonic one, in ms. */
  readonly wallOffsetMs: number;
}

/**
 * Decides about requests at the daemon that received them, with the tokens that
 * it holds, what it knows about accounts, and its fixed share.
 *
 * @example
 * ```ts ignore
 * const decision = holder.decide("quick-fox", nowMs);
 * ```
 */
export class TokenHolder {
  readonly links: AccountLinks;
  readonly #options: TokenHolderOptions;
  readonly #stores = new Map<string, TokenStore>();
  /** Organisations of which the accounts have to be told something. */
  readonly #changed = new Set<TokenStore>();
  #plans: ReadonlyMap<string, QuotaPlan> = new Map();
  #view: FleetView | undefined;
  #isOutdated = false;

  /**
   * Creates a holder without tokens.
   *
   * @param options Instance and clocks.
   */
  constructor(options: TokenHolderOptions) {
    this.#options = options;
    this.links = new AccountLinks(options.startedAtMs);
  }

  /**
   * Applies limits and the view of the fleet.
   *
   * @param plans Plans of all organisations with a limit, by name; another map
   * whenever one has changed.
   * @param view The view of the fleet.
   * @param isOutdated Whether the view of the store is old.
   * @param nowMs Monotonic time, in ms.
   */
  update(
    plans: ReadonlyMap<string, QuotaPlan>,
    view: FleetView,
    isOutdated: boolean,
    nowMs: number,
  ): void {
    this.#view = view;
    this.#isOutdated = isOutdated;
    this.links.update(view, nowMs);
    if (plans !== this.#plans) this.#applyPlans(plans);
  }

  #applyPlans(plans: ReadonlyMap<string, QuotaPlan>): void {
    this.#plans = plans;
    for (const [name, store] of this.#stores) {
      if (plans.has(name)) continue;
      this.#stores.delete(name);
      this.#changed.delete(store);
    }
    for (const [name, plan] of plans) {
      const store = this.#stores.get(name);
      if (store === undefined) {
        this.#stores.set(name, new TokenStore(name, plan));
      } else {
        store.configure(plan);
      }
    }
  }

  /**
   * Decides about a new request.
   *
   * @param organisation Name of its organisation.
   * @param nowMs Monotonic time, in ms.
   * @returns The decision.
   */
  decide(organisation: string, nowMs: number): QuotaDecision {
    const store = this.#stores.get(organisation);
    if (store === undefined || this.#view === undefined) {
      return { kind: "admitted", basis: QuotaBasis.Unlimited };
    }
    store.recordDemand(nowMs);
    if (store.tryUse(nowMs)) {
      this.#changed.add(store);
      return { kind: "admitted", basis: QuotaBasis.Account };
    }
    if (nowMs < store.emptyUntilMs) {
      return this.#refuse(
        store,
        QuotaBasis.Account,
        store.emptyUntilMs - nowMs,
        nowMs,
      );
    }
    const link = this.links.find(this.#view.groupOf(organisation));
    if (
      link !== undefined && link.silentUntilMs <= nowMs &&
      nowMs >= store.unknownUntilMs
    ) return { kind: "ask", link };
    return this.decideAlone(organisation, nowMs);
  }

  /**
   * Decides about a request without the account, which did not answer.
   *
   * @param organisation Name of its organisation.
   * @param nowMs Monotonic time, in ms.
   * @returns The decision, which never is to ask.
   */
  decideAlone(
    organisation: string,
    nowMs: number,
  ): Exclude<QuotaDecision, { kind: "ask" }> {
    const store = this.#stores.get(organisation);
    if (store === undefined || this.#view === undefined) {
      return { kind: "admitted", basis: QuotaBasis.Unlimited };
    }
    const wallMs = nowMs + this.#options.wallOffsetMs;
    const fixed = this.#fixedPart(store);
    const hasFixed = nowMs + this.#options.wallOffsetMs >= fixed.notBeforeMs;
    if (hasFixed && store.fixed.tryTake(fixed, wallMs)) {
      return { kind: "admitted", basis: QuotaBasis.FixedShare };
    }
    const bridge = this.#bridgePart(store);
    if (store.bridge.tryTake(bridge, wallMs)) {
      return { kind: "admitted", basis: QuotaBasis.Bridge };
    }
    const waitMs = Math.min(
      store.fixed.waitMs(fixed, wallMs),
      store.bridge.waitMs(bridge, wallMs),
    );
    return this.#refuse(
      store,
      hasFixed ? QuotaBasis.FixedShare : QuotaBasis.Bridge,
      waitMs,
      nowMs,
    );
  }

  /**
   * Returns the refusal of a request for which the account had no token.
   *
   * @param organisation Name of its organisation.
   * @param nowMs Monotonic time, in ms.
   * @returns The decision.
   */
  decideEmpty(
    organisation: string,
    nowMs: number,
  ): Exclude<QuotaDecision, { kind: "ask" }> {
    const store = this.#stores.get(organisation);
    if (store === undefined || nowMs >= store.emptyUntilMs) {
      return this.decideAlone(organisation, nowMs);
    }
    const waitMs = store.emptyUntilMs - nowMs;
    return this.#refuse(store, QuotaBasis.Account, waitMs, nowMs);
  }

  /**
   * Builds a message to an account daemon.
   *
   * @param link Link of the group.
   * @param waiting Waiting requests by organisation.
   * @param nowMs Monotonic time, in ms.
   * @returns The message.
   */
  buildReport(
    link: AccountLink,
    waiting: ReadonlyMap<string, number>,
    nowMs: number,
  ): QuotaReport {
    const isClaim = this.links.mayClaim(link, nowMs);
    if (isClaim) link.recordClaim();
    link.sentAtMs = nowMs;
    const stores = new Set<TokenStore>();
    for (const name of waiting.keys()) {
      const store = this.#stores.get(name);
      if (store !== undefined) stores.add(store);
    }
    for (const store of this.#changed) {
      const isDue = nowMs - store.describedAtMs >= MIN_REPORT_PERIOD_MS &&
        this.#view?.groupOf(store.organisation) === link.group;
      if (isDue) stores.add(store);
    }
    return {
      group: link.group,
      sender: this.#options.instance,
      epoch: isClaim ? link.epoch : "",
      stampMs: isClaim ? link.stampMs : 0,
      leaseMs: link.leaseMs,
      releases: false,
      demands: [...stores].map((store) =>
        this.#describe(
          store,
          waiting.get(store.organisation) ?? 0,
          link,
          nowMs,
        )
      ),
    };
  }

  #describe(
    store: TokenStore,
    waiting: number,
    link: AccountLink,
    nowMs: number,
  ): TokenDemand {
    const demand = store.describe(waiting, link.epoch, nowMs);
    // What is held is reported again: as used, or given back.
    if (demand.held > 0) this.#changed.add(store);
    else this.#changed.delete(store);
    return demand;
  }

  /**
   * Builds the message that ends the lease at a former account.
   *
   * @param link Link to the account.
   * @returns The message.
   */
  buildRelease(link: AccountLink): QuotaReport {
    return {
      group: link.group,
      sender: this.#options.instance,
      epoch: link.epoch,
      stampMs: link.stampMs,
      leaseMs: link.leaseMs,
      releases: true,
      demands: [],
    };
  }

  /**
   * Returns the links on which a message is due: to keep a lease, or to report
   * the use of tokens.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The links.
   */
  dueLinks(nowMs: number): readonly AccountLink[] {
    const due = new Set(this.links.dueForRenewal(nowMs));
    for (const { organisation } of this.#changed) {
      const link = this.links.find(this.#view?.groupOf(organisation) ?? "");
      const isDue = link !== undefined && link.silentUntilMs <= nowMs &&
        nowMs - link.sentAtMs >= REPORT_PERIOD_MS;
      if (isDue) due.add(link);
    }
    return [...due];
  }

  /**
   * Applies the answer of an account daemon.
   *
   * @param link Link of the group.
   * @param report The message that it answers.
   * @param reply The answer.
   * @param times When the message was sent and when it is now, in ms.
   */
  applyReply(
    link: AccountLink,
    report: QuotaReport,
    reply: QuotaAnswer,
    times: { readonly sentAtMs: number; readonly nowMs: number },
  ): void {
    link.recordReply(reply, times.nowMs);
    const unknown = new Set(report.demands.map((one) => one.organisation));
    for (const grant of reply.grants) {
      unknown.delete(grant.organisation);
      const store = this.#stores.get(grant.organisation);
      if (store === undefined) continue;
      store.recordGrant(grant, { ...times, epoch: reply.epoch });
      if (grant.advance > 0) this.#changed.add(store);
    }
    for (const name of unknown) {
      this.#stores.get(name)?.recordUnknown(times.nowMs);
    }
  }

  /**
   * Records that an account daemon gave no usable answer.
   *
   * @param link Link of the group.
   * @param failure The reason.
   * @param nowMs Monotonic time, in ms.
   */
  recordFailure(
    link: AccountLink,
    failure: AccountFailure,
    nowMs: number,
  ): void {
    link.recordFailure(failure, nowMs);
  }

  #fixedPart(store: TokenStore): SharePart {
    const view = this.#view!;
    const { ratePerS, size } = store.plan;
    const link = this.links.find(view.groupOf(store.organisation));
    const fromMs = link === undefined
      ? this.#options.startedAtMs + view.leaseMs
      : this.links.fixedFromMs(link);
    // An account that does not know the organisation grants nothing for it.
    const notBeforeMs = Math.min(fromMs, store.unknownFromMs);
    return {
      // The others may have removed this daemon and divided its share.
      ratePerS: this.#isOutdated ? 0 : ratePerS / view.size,
      phase: view.phaseOf(store.organisation),
      holdMs: size * MS_PER_S / ratePerS,
      notBeforeMs: notBeforeMs + this.#options.wallOffsetMs,
    };
  }

  #bridgePart(store: TokenStore): SharePart {
    const view = this.#view!;
    return {
      ratePerS: store.plan.bridgePerS / view.size,
      phase: view.phaseOf(store.organisation),
      holdMs: BRIDGE_HOLD_MS,
      notBeforeMs: this.#options.startedAtMs + this.#options.wallOffsetMs,
    };
  }

  #refuse(
    store: TokenStore,
    basis: QuotaBasis,
    waitMs: number,
    nowMs: number,
  ): QuotaRefusal {
    return {
      kind: "refused",
      basis,
      retryAfterMs: Math.min(
        MAX_RETRY_AFTER_MS,
        Math.max(MIN_RETRY_AFTER_MS, waitMs),
      ),
      level: store.level,
      limitPerS: store.plan.ratePerS,
      knownAgeMs: nowMs - store.knownAtMs,
    };
  }
}
