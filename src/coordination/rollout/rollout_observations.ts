import type { RolloutReport, RouteSamples } from "../../protocol/rollout.ts";
import {
  judgeVersion,
  moreSevere,
  type VersionJudgement,
} from "./judge_version.ts";
import { addRoutes, NO_SAMPLES } from "./sample_times.ts";

/** Length of a slice of time, in ms. */
const SLICE_MS = 250;
/** Periods over which versions are compared, in ms, beside the whole time. */
const WINDOWS_MS = [1_500, 5_000];
const MAX_WINDOW_MS = 5_000;
/** Fewer results of the former versions are replaced by those of all time. */
const MIN_RECENT_FORMER = 50;

interface Slice {
  readonly startMs: number;
  readonly routes: Map<string, RouteSamples>;
}

interface Reporter {
  readonly report: RolloutReport;
  readonly atMs: number;
}

/**
 * Collects the reports of all daemons about one order.
 *
 * @example
 * ```ts
 * const observations = new RolloutObservations("v2", 0);
 * observations.judge(1_000).verdict; // "unknown"
 * ```
 */
export class RolloutObservations {
  readonly #targetVersion: string;
  readonly #startedAtMs: number;
  readonly #reporters = new Map<string, Reporter>();
  readonly #total = new Map<string, RouteSamples>();
  readonly #slices: Slice[] = [];
  /** Results since the target version has got all requests. */
  readonly #full = new Map<string, RouteSamples>();
  #fullSequence = Infinity;

  /**
   * Creates observations without reports.
   *
   * @param targetVersion Target version of the order.
   * @param nowMs Monotonic time, in ms.
   */
  constructor(targetVersion: string, nowMs: number) {
    this.#targetVersion = targetVersion;
    this.#startedAtMs = nowMs;
  }

  /** Monotonic time at which the collection started, in ms. */
  get startedAtMs(): number {
    return this.#startedAtMs;
  }

  /** Requests that the target version has got. */
  get targetRequests(): number {
    return [...this.#total.values()]
      .reduce((sum, { target }) => sum + target.requests, 0);
  }

  /** Those of daemons that sent it all requests at the time. */
  get fullRequests(): number {
    return [...this.#full.values()]
      .reduce((sum, { target }) => sum + target.requests, 0);
  }

  /** Requests of the service. */
  get requests(): number {
    return [...this.#total.values()].reduce(
      (sum, { target, former }) => sum + target.requests + former.requests,
      0,
    );
  }

  /**
   * Learns which decision sends all requests to the target version.
   *
   * @param sequence The decision.
   */
  startFull(sequence: number): void {
    this.#fullSequence = sequence;
    this.#full.clear();
  }

  /**
   * Adds what is new in a report.
   *
   * @param report The report.
   * @param nowMs Monotonic time, in ms.
   */
  record(report: RolloutReport, nowMs: number): void {
    const last = this.#reporters.get(report.instance)?.report;
    const isKnown = last?.epoch === report.epoch &&
      last.targetVersion === report.targetVersion;
    if (isKnown && isOlder(report, last)) return;
    this.#reporters.set(report.instance, { report, atMs: nowMs });
    if (report.targetVersion !== this.#targetVersion) return;
    const added = new Map<string, RouteSamples>();
    addRoutes(added, report.routes);
    if (isKnown) addRoutes(added, last.routes, -1);
    addRoutes(this.#total, [...added.values()]);
    addRoutes(this.#sliceAt(nowMs).routes, [...added.values()]);
    // The first report after the decision has results from before it too.
    if (isKnown && last.sequence >= this.#fullSequence) {
      addRoutes(this.#full, [...added.values()]);
    }
  }

  /**
   * Returns the number of daemons that have reported recently.
   *
   * @param sinceMs Monotonic time of the oldest report that counts, in ms.
   * @returns Their number.
   */
  countReporters(sinceMs: number): number {
    return [...this.#reporters.values()]
      .filter(({ atMs }) => atMs >= sinceMs).length;
  }

  /**
   * Returns whether a daemon has reported that nothing is in progress at its
   * backend server and that it follows a decision.
   *
   * @param instance Instance of the daemon.
   * @param sequence The decision.
   * @param sinceMs Monotonic time of the oldest report that counts, in ms.
   * @returns Whether it has.
   */
  isDrained(instance: string, sequence: number, sinceMs: number): boolean {
    const reporter = this.#reporters.get(instance);
    return reporter !== undefined && reporter.atMs >= sinceMs &&
      reporter.report.sequence >= sequence &&
      reporter.report.openRequests === 0;
  }

  /**
   * Compares the versions over the recent past and over the whole time.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The most severe judgement.
   */
  judge(nowMs: number): VersionJudgement {
    return WINDOWS_MS
      .map((windowMs) => judgeVersion(this.#recent(nowMs - windowMs)))
      .reduce(moreSevere, judgeVersion(this.#total.values()));
  }

  #recent(sinceMs: number): RouteSamples[] {
    const sums = new Map<string, RouteSamples>();
    for (const { startMs, routes } of this.#slices) {
      if (startMs >= sinceMs) addRoutes(sums, [...routes.values()]);
    }
    return [...sums.values()].map((samples) =>
      samples.former.requests >= MIN_RECENT_FORMER ? samples : {
        ...samples,
        former: this.#total.get(samples.route)?.former ?? NO_SAMPLES,
      }
    );
  }

  #sliceAt(nowMs: number): Slice {
    const oldestMs = nowMs - MAX_WINDOW_MS - SLICE_MS;
    while (this.#slices.length > 0 && this.#slices[0]!.startMs < oldestMs) {
      this.#slices.shift();
    }
    const newest = this.#slices.at(-1);
    if (newest !== undefined && nowMs - newest.startMs < SLICE_MS) {
      return newest;
    }
    const slice = { startMs: nowMs, routes: new Map<string, RouteSamples>() };
    this.#slices.push(slice);
    return slice;
  }
}

/** Whether a report was sent before another one of the same process. */
function isOlder(next: RolloutReport, known: RolloutReport): boolean {
  const count = ({ routes }: RolloutReport) =>
    routes.reduce(
      (sum, { former, target }) => sum + former.requests + target.requests,
      0,
    );
  return next.sequence < known.sequence || count(next) < count(known);
}
