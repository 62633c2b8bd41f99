import {
  type Judgement,
  MAX_SUSPECTS_PER_END,
  SuspectList,
  SUSPICION_MS,
  type SuspicionChange,
  Verdict,
} from "../coordination/quarantine/suspect_list.ts";
import type { EndEvidence, EndReport } from "../protocol/end_evidence.ts";
import {
  describeRequest,
  fingerprintOf,
  type RequestContent,
} from "../protocol/fingerprint.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { LogRateLimiter } from "../transport/observe/log_rate_limiter.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import type { BackendEnd } from "./backend_end_detector.ts";

/** Most ends that the record of a backend server reports. */
const MAX_REPORTS = 8;
/** Most log lines about suspicions in a second. */
const MAX_LINES_PER_S = 60;
/** Pause between two checks for suspicions that have expired, in ms. */
const EXPIRY_CHECK_MS = 10_000;

/** Options of a {@linkcode RequestQuarantine}. */
export interface RequestQuarantineOptions {
  readonly instance: string;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
  /** Called once the reports of local ends have changed. */
  readonly onReport: () => void;
}

/**
 * What this daemon knows of requests under which backend processes end.
 *
 * The daemon beside a backend server reports its ends in the server's record,
 * which all daemons read; calls and responses between daemons carry the
 * evidence against suspects as well, for those that cannot reach the store.
 *
 * @example
 * ```ts ignore
 * const judgement = quarantine.judge(request);
 * if (judgement?.verdict === Verdict.Quarantined) refuse();
 * ```
 */
export class RequestQuarantine {
  readonly #options: RequestQuarantineOptions;
  readonly #lines: LogRateLimiter;
  readonly #suspects = new SuspectList((change) => this.#logChange(change));
  readonly #fingerprints = new WeakMap<RequestContent, string>();
  #reports: readonly EndReport[] = [];
  #exempt: ReadonlySet<string> = new Set();
  #expiryTimer: NodeJS.Timeout | undefined;

  /**
   * Creates a quarantine without suspects.
   *
   * @param options Local instance, log and metrics.
   */
  constructor(options: RequestQuarantineOptions) {
    this.#options = options;
    this.#lines = new LogRateLimiter(options.log, MAX_LINES_PER_S);
    options.metrics.gauge("suspects", () => this.#suspects.size);
  }

  /** Unexpired reports of local ends, oldest first. */
  get reports(): readonly EndReport[] {
    const nowUnixMs = Date.now();
    return this.#reports.filter((report) => report.untilUnixMs > nowUnixMs);
  }

  /**
   * Judges a request.
   *
   * @param request The request.
   * @returns The judgement; `undefined` if it is not suspected.
   */
  judge(request: RequestContent): Judgement | undefined {
    // Fingerprints are computed only while there are suspects.
    if (this.#suspects.size === 0) return undefined;
    const fingerprint = this.#fingerprintOf(request);
    const judgement = this.#suspects.judge(fingerprint, performance.now());
    return judgement.verdict === Verdict.Clear ? undefined : judgement;
  }

  /**
   * Returns the evidence against a request, for other daemons.
   *
   * @param request The request.
   * @returns The evidence; empty if it is not suspected.
   */
  evidenceOf(request: RequestContent): readonly EndEvidence[] {
    if (this.#suspects.size === 0) return [];
    return this.#suspects.evidenceOf(
      this.#fingerprintOf(request),
      performance.now(),
    );
  }

  /**
   * Merges evidence that came with a call or its response.
   *
   * @param request The request.
   * @param evidence The evidence, if any.
   * @param origin Instance or address of the other daemon.
   */
  merge(
    request: RequestContent,
    evidence: readonly EndEvidence[] | undefined,
    origin: string,
  ): void {
    if (evidence === undefined || evidence.length === 0) return;
    const fingerprint = this.#fingerprintOf(request);
    this.#suspects.merge(fingerprint, evidence, origin, performance.now());
    this.#scheduleExpiry();
  }

  /**
   * Records that a backend server answered a request.
   *
   * @param request The request.
   */
  recordServed(request: RequestContent): void {
    if (this.#suspects.size === 0) return;
    const fingerprint = this.#fingerprintOf(request);
    this.#suspects.recordServed(fingerprint, performance.now());
  }

  /**
   * Records an end of the local backend process, and reports it.
   *
   * @param end The end.
   */
  recordEnd(end: BackendEnd): void {
    const { instance, log, onReport } = this.#options;
    const fingerprints = end.calls.map((call) => this.#fingerprintOf(call));
    for (const [index, call] of end.calls.entries()) {
      if (!this.#lines.allows(performance.now())) continue;
      log.warn("request-ran-at-end", {
        id: call.id,
        end: end.id,
        fingerprint: fingerprints[index],
        request: describeRequest(call),
      });
    }
    const suspected = this.#suspects.recordEnd(
      { id: end.id, fingerprints },
      instance,
      performance.now(),
    );
    if (suspected.length === 0) return;
    const report = {
      id: end.id,
      fingerprints: suspected,
      untilUnixMs: Date.now() + SUSPICION_MS,
    };
    this.#reports = [...this.reports, report].slice(-MAX_REPORTS);
    this.#scheduleExpiry();
    onReport();
  }

  /**
   * Merges the ends that the record of a backend server reports.
   *
   * @param instance Instance of the backend server.
   * @param reports The ends.
   */
  mergeReports(instance: string, reports: readonly EndReport[] = []): void {
    const nowUnixMs = Date.now();
    const nowMs = performance.now();
    for (const { id, fingerprints, untilUnixMs } of reports) {
      if (untilUnixMs <= nowUnixMs) continue;
      const evidence = {
        id,
        isLone: fingerprints.length === 1,
        remainingMs: untilUnixMs - nowUnixMs,
      };
      for (const fingerprint of fingerprints.slice(0, MAX_SUSPECTS_PER_END)) {
        this.#suspects.merge(fingerprint, [evidence], instance, nowMs);
      }
      this.#scheduleExpiry();
    }
    if (instance === this.#options.instance) this.#adoptReports(reports);
  }

  /**
   * Adds a request that is never suspected, or removes it.
   *
   * @param fingerprint Its fingerprint.
   * @param isExempt Whether it is added.
   */
  setExempt(fingerprint: string, isExempt: boolean): void {
    const exempt = new Set(this.#exempt);
    if (isExempt) exempt.add(fingerprint);
    else exempt.delete(fingerprint);
    this.replaceExempt(exempt);
  }

  /**
   * Replaces the requests that are never suspected.
   *
   * @param fingerprints The fingerprints of all of them.
   */
  replaceExempt(fingerprints: Iterable<string>): void {
    this.#exempt = new Set(fingerprints);
    this.#suspects.setExempt(this.#exempt, performance.now());
  }

  /** Stops the timer. */
  stop(): void {
    clearTimeout(this.#expiryTimer);
  }

  /** Bodies may be long, and a request is looked up several times. */
  #fingerprintOf(request: RequestContent): string {
    let fingerprint = this.#fingerprints.get(request);
    if (fingerprint === undefined) {
      fingerprint = fingerprintOf(request);
      this.#fingerprints.set(request, fingerprint);
    }
    return fingerprint;
  }

  /** Takes over the reports of an earlier process of this daemon. */
  #adoptReports(reports: readonly EndReport[]): void {
    const known = new Set(this.#reports.map(({ id }) => id));
    const missing = reports.filter(({ id }) => !known.has(id));
    if (missing.length === 0) return;
    this.#reports = [...missing, ...this.#reports].slice(-MAX_REPORTS);
    this.#options.onReport();
  }

  #scheduleExpiry(): void {
    if (this.#suspects.size === 0) return;
    this.#expiryTimer ??= setTimeout(() => {
      this.#expiryTimer = undefined;
      this.#suspects.expire(performance.now());
      this.#scheduleExpiry();
    }, EXPIRY_CHECK_MS).unref();
  }

  #logChange(change: SuspicionChange): void {
    const { log, metrics } = this.#options;
    const allows = () => this.#lines.allows(performance.now());
    switch (change.kind) {
      case "suspected": {
        const { end, isLone, origin, judgement } = change;
        const { fingerprint, verdict, ends, remainingMs } = judgement;
        metrics.count("suspicions_total", { verdict });
        if (verdict === Verdict.Quarantined) {
          log.warn("request-quarantined", {
            fingerprint,
            ends,
            remainingMs: Math.round(remainingMs),
          });
        }
        if (!allows()) return;
        log.info("request-suspected", {
          fingerprint,
          verdict,
          ends,
          end,
          isLone,
          origin,
        });
        return;
      }
      case "ended": {
        const { fingerprint, reason } = change;
        metrics.count("suspicions_ended_total", { reason });
        if (!allows()) return;
        log.info("suspicion-ended", { fingerprint, reason });
      }
    }
  }
}
