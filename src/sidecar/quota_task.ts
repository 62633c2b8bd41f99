import {
  AccountBook,
  AccountFailure,
  type AccountLink,
  type FleetMember,
  FleetTracker,
  type FleetView,
  MAX_VIEW_AGE_MS,
  planQuota,
  QuotaBasis,
  type QuotaBounds,
  type QuotaDecision,
  type QuotaPlan,
  TokenHolder,
} from "../coordination/quota/mod.ts";
import type { BackendRecord, MeshOrganisation } from "../protocol/mesh.ts";
import type {
  QuotaAnswer,
  QuotaReply,
  QuotaReport,
} from "../protocol/quota_message.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import { waitForNextPoll } from "../transport/http/disconnect_detector.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import { QuotaObserver } from "./quota_observer.ts";

/** Period of the regular work, in ms. */
const TICK_MS = 250;
/** Longest time for which a request waits for its account, in ms. */
const MAX_WAIT_MS = 50;
/** Shortest wait for the answer to a message, in ms. */
const MIN_WAIT_MS = 10;

/** A decision that needs no further question. */
export type FinalDecision = Exclude<QuotaDecision, { kind: "ask" }>;

/** Result of a message to an account daemon. */
export type QuotaExchange =
  | { readonly kind: "reply"; readonly reply: QuotaReply }
  | { readonly kind: "failed"; readonly reason: AccountFailure };

/** Options of a {@linkcode QuotaTask}. */
export interface QuotaTaskOptions {
  readonly instance: string;
  readonly bounds: QuotaBounds;
  readonly directory: BackendDirectory;
  readonly routes: RouteTableHolder;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
  /** Whether the directory was read at least once. */
  readonly isDirectoryKnown: () => boolean;
  /** Age of this daemon's view of the store, in ms. */
  readonly viewAgeMs: () => number;
  /** Sends a message to another daemon; never rejects. */
  readonly send: (
    record: BackendRecord,
    report: QuotaReport,
  ) => Promise<QuotaExchange>;
}

/** A request that waits for its account. */
interface Waiter {
  readonly organisation: string;
  readonly sinceMs: number;
  readonly decide: (decision: FinalDecision) => void;
}

/** Requests that wait for one account daemon. */
interface AccountQueue {
  readonly waiters: Waiter[];
  /** Whether a message is on its way, so that others wait for its answer. */
  isAsking: boolean;
}

/**
 * Keeps the quotas of organisations: sends and answers the messages between
 * daemons about their tokens.
 *
 * It does nothing as long as no organisation has a limit.
 *
 * @example
 * ```ts ignore
 * quotas.start();
 * const decision = await quotas.admit(organisation);
 * ```
 */
export class QuotaTask {
  readonly #options: QuotaTaskOptions;
  readonly #holder: TokenHolder;
  readonly #book: AccountBook;
  readonly #tracker: FleetTracker;
  readonly #observer: QuotaObserver;
  readonly #queues = new Map<AccountLink, AccountQueue>();
  #plans: ReadonlyMap<string, QuotaPlan> = new Map();
  #configVersion = 0;
  #view: FleetView | undefined;
  #isStarted = false;
  #timer: NodeJS.Timeout | undefined;

  /**
   * Creates a task that has not started.
   *
   * @param options Configuration, directory and the way to other daemons.
   */
  constructor(options: QuotaTaskOptions) {
    this.#options = options;
    const { instance } = options;
    const nowMs = performance.now();
    this.#holder = new TokenHolder({
      instance,
      startedAtMs: nowMs,
      wallOffsetMs: Date.now() - nowMs,
    });
    this.#book = new AccountBook(instance, `${instance}.${Date.now()}`);
    this.#tracker = new FleetTracker(instance);
    this.#observer = new QuotaObserver(options.log, options.metrics);
    options.metrics.gauge("quota_groups_held", () => this.#book.groups.size);
    options.metrics.gauge(
      "quota_leases_held",
      () =>
        [...this.#book.groups.values()].reduce(
          (sum, { leaseCount }) => sum + leaseCount,
          0,
        ),
    );
  }

  /** Starts the regular work, which there is once an organisation has a limit. */
  start(): void {
    this.#isStarted = true;
    this.#schedule();
  }

  /** Adopts the limits of the configuration in force. */
  handleConfig(): void {
    this.#applyConfig();
  }

  /** Stops the regular work; requests are still decided. */
  stop(): void {
    this.#isStarted = false;
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isStarted && this.#plans.size > 0) {
      this.#timer ??= setInterval(() => this.#tick(), TICK_MS);
      return;
    }
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  /**
   * Decides whether a request may run.
   *
   * @param id Id of the request.
   * @param organisation Its organisation.
   * @returns The decision; never rejects, and takes 50 ms at the most.
   */
  async admit(
    id: string,
    organisation: MeshOrganisation,
  ): Promise<FinalDecision> {
    if (organisation.limitPerS <= 0) {
      return { kind: "admitted", basis: QuotaBasis.Unlimited };
    }
    this.#applyConfig();
    const { name } = organisation;
    const nowMs = performance.now();
    const decision = this.#holder.decide(name, nowMs);
    const final = decision.kind === "ask"
      ? await this.#ask(decision.link, name)
      : decision;
    this.#observer.recordDecision(id, name, final);
    return final;
  }

  /**
   * Serves another daemon as the account daemon.
   *
   * @param report Its message.
   * @returns The answer.
   */
  serve(report: QuotaReport): QuotaReply {
    this.#applyConfig();
    const reply = this.#book.serve(report, performance.now());
    this.#options.metrics.count("quota_served_total", { result: reply.kind });
    return reply;
  }

  /** Adopts the limits of a new configuration. */
  #applyConfig(): void {
    const { routes, bounds } = this.#options;
    if (routes.version === this.#configVersion) return;
    this.#configVersion = routes.version;
    const organisations = routes.current?.config.organisations ?? [];
    this.#plans = new Map(
      organisations.filter(({ limitPerS }) => limitPerS > 0).map((one) => [
        one.name,
        planQuota(one, bounds),
      ]),
    );
    this.#update();
    this.#schedule();
  }

  /** Adopts the limits, and the view of the fleet if there are any. */
  #update(): void {
    if (this.#plans.size === 0 && this.#view === undefined) return;
    const { directory, viewAgeMs } = this.#options;
    const members: FleetMember[] = [];
    if (this.#options.isDirectoryKnown()) {
      for (const { record } of directory.entries) members.push(record);
    }
    const nowMs = performance.now();
    const isOutdated = viewAgeMs() > MAX_VIEW_AGE_MS;
    const view = this.#tracker.update(members, nowMs);
    this.#view = view;
    const heldBefore = [...this.#book.groups.keys()].join();
    this.#book.update(view, this.#plans, isOutdated, nowMs);
    this.#holder.update(this.#plans, view, isOutdated, nowMs);
    this.#observer.recordGroups(
      heldBefore,
      [...this.#book.groups.keys()].join(),
      view.size,
    );
  }

  #tick(): void {
    this.#applyConfig();
    this.#update();
    if (this.#plans.size === 0) return;
    const nowMs = performance.now();
    for (const link of this.#queues.keys()) {
      if (this.#holder.links.find(link.group) === link) continue;
      const queue = this.#queues.get(link)!;
      if (!queue.isAsking) this.#queues.delete(link);
    }
    for (const link of this.#holder.dueLinks(nowMs)) {
      const queue = this.#queueOf(link);
      if (!queue.isAsking) void this.#exchange(link, queue);
    }
    for (const link of this.#holder.links.former) void this.#release(link);
  }

  #ask(link: AccountLink, organisation: string): Promise<FinalDecision> {
    return new Promise((resolve) => {
      const queue = this.#queueOf(link);
      queue.waiters.push({
        organisation,
        sinceMs: performance.now(),
        decide: resolve,
      });
      if (!queue.isAsking) void this.#exchange(link, queue);
    });
  }

  #queueOf(link: AccountLink): AccountQueue {
    let queue = this.#queues.get(link);
    if (queue === undefined) {
      queue = { waiters: [], isAsking: false };
      this.#queues.set(link, queue);
    }
    return queue;
  }

  /**
   * Sends messages to an account daemon, one after another, until no request
   * waits for it. Requests that come meanwhile share the next message.
   */
  async #exchange(link: AccountLink, queue: AccountQueue): Promise<void> {
    queue.isAsking = true;
    let mayClaim = true;
    do {
      const waiters = queue.waiters.splice(0);
      const answer = await this.#askOnce(link, waiters);
      this.#settle(waiters, answer);
      const isSilent = link.silentUntilMs > performance.now();
      if (isSilent) this.#settle(queue.waiters.splice(0), undefined);
      // The first answer is the basis for a lease.
      const mayRepeat = mayClaim && !isSilent && !link.isLeased &&
        this.#holder.links.mayClaim(link, performance.now());
      mayClaim = false;
      if (queue.waiters.length === 0 && !mayRepeat) break;
    } while (true);
    queue.isAsking = false;
  }

  /** Returns the answer if it comes while the requests may wait for it. */
  #askOnce(
    link: AccountLink,
    waiters: readonly Waiter[],
  ): Promise<QuotaAnswer | undefined> {
    const sentAtMs = performance.now();
    const waiting = new Map<string, number>();
    for (const { organisation } of waiters) {
      waiting.set(organisation, (waiting.get(organisation) ?? 0) + 1);
    }
    const report = this.#holder.buildReport(link, waiting, sentAtMs);
    const waitedMs = sentAtMs - (waiters[0]?.sinceMs ?? sentAtMs);
    return new Promise((resolve) => {
      let hasEnded = false;
      const timer = setTimeout(async () => {
        // After a stall, the answer may be there unread.
        await waitForNextPoll();
        if (hasEnded) return;
        this.#recordFailure(link, AccountFailure.Unreachable);
        resolve(undefined);
      }, Math.max(MIN_WAIT_MS, MAX_WAIT_MS - waitedMs));
      void this.#deliver(link, report).then((exchange) => {
        hasEnded = true;
        clearTimeout(timer);
        // An answer that is late still tells about the account.
        resolve(this.#receive(link, report, exchange, sentAtMs));
      });
    });
  }

  #receive(
    link: AccountLink,
    report: QuotaReport,
    exchange: QuotaExchange,
    sentAtMs: number,
  ): QuotaAnswer | undefined {
    if (exchange.kind === "failed") {
      this.#recordFailure(link, exchange.reason);
      return undefined;
    }
    const { reply } = exchange;
    if (reply.kind === "not-account") {
      this.#recordFailure(link, AccountFailure.NotAccount);
      return undefined;
    }
    const nowMs = performance.now();
    this.#options.metrics.observe("quota_answer_ms", nowMs - sentAtMs);
    this.#holder.applyReply(link, report, reply, { sentAtMs, nowMs });
    return reply;
  }

  /** Decides about requests with the tokens that were granted to them. */
  #settle(
    waiters: readonly Waiter[],
    answer: QuotaAnswer | undefined,
  ): void {
    const nowMs = performance.now();
    const tokens = new Map(
      answer?.grants.map(({ organisation, granted }) => [
        organisation,
        granted,
      ]),
    );
    for (const { organisation, decide } of waiters) {
      const left = tokens.get(organisation);
      if (left === undefined) {
        decide(this.#holder.decideAlone(organisation, nowMs));
      } else if (left > 0) {
        tokens.set(organisation, left - 1);
        decide({ kind: "admitted", basis: QuotaBasis.Account });
      } else {
        decide(this.#holder.decideEmpty(organisation, nowMs));
      }
    }
  }

  async #release(link: AccountLink): Promise<void> {
    const exchange = await this.#deliver(
      link,
      this.#holder.buildRelease(link),
    );
    if (exchange.kind === "reply") this.#holder.links.recordRelease(link);
  }

  async #deliver(
    link: AccountLink,
    report: QuotaReport,
  ): Promise<QuotaExchange> {
    const { instance, directory, metrics, send } = this.#options;
    if (link.account === instance) {
      return {
        kind: "reply",
        reply: this.#book.serve(report, performance.now()),
      };
    }
    const record = directory.get(link.account)?.record;
    if (record === undefined) {
      return { kind: "failed", reason: AccountFailure.Unreachable };
    }
    metrics.count("quota_messages_total");
    return await send(record, report);
  }

  #recordFailure(link: AccountLink, reason: AccountFailure): void {
    const nowMs = performance.now();
    this.#observer.recordSilence(link, reason, nowMs);
    this.#holder.recordFailure(link, reason, nowMs);
  }
}
