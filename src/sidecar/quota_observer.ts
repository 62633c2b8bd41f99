import { LRUCache } from "lru-cache";
import {
  type AccountFailure,
  type AccountLink,
  QuotaBasis,
  type QuotaDecision,
} from "../coordination/quota/mod.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { LogRateLimiter } from "../transport/observe/log_rate_limiter.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";

/** Most log lines about refused requests in a second. */
const MAX_REFUSED_LINES_PER_S = 20;
/**
 * Shortest time between two lines about one organisation, in ms: the flood of
 * one hides no refusal of another.
 */
const REFUSED_LINE_PERIOD_MS = 1_000;
/** Most organisations whose last lines are remembered. */
const MAX_REFUSED_ORGANISATIONS = 512;
/** Most log lines about accounts that do not answer in a second. */
const MAX_SILENT_LINES_PER_S = 2;
/** Most organisations with metrics of their own. */
const MAX_NAMED_ORGANISATIONS = 100;
const OTHER_ORGANISATIONS = "other";

/**
 * Logs and counts what happens to the requests of organisations with a limit.
 *
 * @example
 * ```ts ignore
 * new QuotaObserver(log, metrics).recordDecision("r1", "quick-fox", decision);
 * ```
 */
export class QuotaObserver {
  readonly #log: EventLog;
  readonly #metrics: TextMetrics;
  readonly #refusedLines: LogRateLimiter;
  readonly #silentLines: LogRateLimiter;
  readonly #named = new Set<string>();
  /** Monotonic times of the last lines, by organisation. */
  readonly #refusedLineAtMs = new LRUCache<string, number>({
    max: MAX_REFUSED_ORGANISATIONS,
  });

  /**
   * Creates an observer.
   *
   * @param log Receives the events.
   * @param metrics Receives the counts.
   */
  constructor(log: EventLog, metrics: TextMetrics) {
    this.#log = log;
    this.#metrics = metrics;
    this.#refusedLines = new LogRateLimiter(log, MAX_REFUSED_LINES_PER_S);
    this.#silentLines = new LogRateLimiter(log, MAX_SILENT_LINES_PER_S);
  }

  /**
   * Records whether a request may run.
   *
   * @param id Id of the request.
   * @param organisation Name of its organisation.
   * @param decision The decision.
   */
  recordDecision(
    id: string,
    organisation: string,
    decision: Exclude<QuotaDecision, { kind: "ask" }>,
  ): void {
    if (decision.basis === QuotaBasis.Unlimited) return;
    const { kind: result, basis } = decision;
    this.#metrics.count("quota_decisions_total", { result, basis });
    if (decision.kind !== "refused") return;
    this.#metrics.count("quota_refused_total", {
      organisation: this.#labelOf(organisation),
    });
    const nowMs = performance.now();
    const lineAtMs = this.#refusedLineAtMs.get(organisation) ?? -Infinity;
    if (nowMs - lineAtMs < REFUSED_LINE_PERIOD_MS) return;
    if (!this.#refusedLines.allows(nowMs)) return;
    this.#refusedLineAtMs.set(organisation, nowMs);
    const { knownAgeMs, level, limitPerS, retryAfterMs } = decision;
    this.#log.info("quota-refused", {
      id,
      organisation,
      basis,
      level: Math.floor(level),
      limitPerS,
      knownAgeMs: Number.isFinite(knownAgeMs)
        ? Math.round(knownAgeMs)
        : undefined,
      retryAfterMs: Math.round(retryAfterMs),
    });
  }

  /**
   * Records that an account daemon gave no usable answer.
   *
   * @param link Link to the account.
   * @param reason The reason.
   * @param nowMs Monotonic time, in ms.
   */
  recordSilence(
    link: AccountLink,
    reason: AccountFailure,
    nowMs: number,
  ): void {
    this.#metrics.count("quota_failures_total", { reason });
    if (!this.#silentLines.allows(nowMs)) return;
    this.#log.info("quota-account-silent", {
      group: link.group,
      account: link.account,
      reason,
      heardMs: Number.isFinite(link.heardAtMs)
        ? Math.round(nowMs - link.heardAtMs)
        : undefined,
    });
  }

  /**
   * Records the groups whose accounts this daemon holds, if they changed.
   *
   * @param before Their names before, separated by commas.
   * @param after Their names now.
   * @param fleetSize Instances that may hold a share of the limits.
   */
  recordGroups(before: string, after: string, fleetSize: number): void {
    if (before === after) return;
    this.#log.info("quota-accounts-changed", { groups: after, fleetSize });
  }

  /** The first organisations that are refused have labels of their own. */
  #labelOf(organisation: string): string {
    if (this.#named.has(organisation)) return organisation;
    if (this.#named.size >= MAX_NAMED_ORGANISATIONS) return OTHER_ORGANISATIONS;
    this.#named.add(organisation);
    return organisation;
  }
}
