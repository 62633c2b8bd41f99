import {
  isActivePhase,
  RolloutPhase,
  type RolloutRecord,
  type RolloutReport,
  type RouteSamples,
} from "../../protocol/rollout.ts";
import { judgeVersion, VersionVerdict } from "./judge_version.ts";
import { NO_SAMPLES, timeClassOf } from "./sample_times.ts";
import { LAST_SHARE } from "./step_plan.ts";

/** Share of the requests that an unproven version may get. */
const EXPOSED_SHARE = 0.05;
/** Requests beyond that share, over all daemons together. */
const EXPOSED_SLACK = 20;
/**
 * Time without the deciding daemon's answer after which the target version gets
 * no requests: the decision to roll back may have been made meanwhile.
 */
const CONFIRMED_FOR_MS = 2_000;
/** The same for the share at which most requests are exposed. */
const LAST_CONFIRMED_FOR_MS = 1_200;
/**
 * The same while all requests move. It is longer than the age at which a report
 * still shows that a former version has ended, as requests may use it again.
 */
const DRAIN_CONFIRMED_FOR_MS = 4_500;
/** Time for which a daemon does not look at its own results then, in ms. */
const DRAIN_TRUSTED_FOR_MS = 600;
/** Pause between two reports, in ms. */
const REPORT_EVERY_MS = 500;
/** Share from which results are reported more often, and the pause then. */
const URGENT_SHARE = 0.3;
const URGENT_REPORT_EVERY_MS = 250;
/** The same while most requests or all depend on it. */
const LAST_REPORT_EVERY_MS = 125;
/** Time between two judgements by this daemon's own results, in ms. */
const JUDGE_EVERY_MS = 200;

/** The versions that a request may use. */
export type VersionChoice =
  | { readonly kind: "any" }
  | {
    readonly kind: "versions";
    readonly versions: ReadonlySet<string>;
    /** Whether the request counts as one of the target version. */
    readonly isTarget: boolean;
  };

/** The result of a request at a backend server. */
export interface VersionResult {
  readonly route: string;
  readonly version: string;
  readonly isFailure: boolean;
  /** Absent if it does not say how fast the version is. */
  readonly serviceMs?: number | undefined;
}

/** What a choice depends on. */
export interface VersionRequest {
  /** Whether the request has not been sent to a backend server yet. */
  readonly isFirst: boolean;
  /** Random number from 0 to 1. */
  readonly fraction: number;
  /** Monotonic time, in ms. */
  readonly nowMs: number;
  /** Number of daemons in the fleet. */
  readonly daemons: number;
}

const ANY: VersionChoice = { kind: "any" };

/**
 * Knows which versions of one service requests may use, and bounds the requests
 * that a target version gets through this daemon.
 *
 * The share of a target version only holds for a short time after each answer
 * of the deciding daemon, and a bound of its own holds at each daemon, so that
 * all daemons together keep the bound whether or not they hear from others.
 *
 * @example
 * ```ts
 * const gate = new VersionGate("orders");
 * gate.observe("v1");
 * gate.observe("v2");
 * gate.admits("v2", 0); // true, until a record says otherwise
 * ```
 */
export class VersionGate {
  readonly #service: string;
  #inUse: ReadonlySet<string> = new Set();
  #record: RolloutRecord | undefined;
  #targets: ReadonlySet<string> = new Set();
  /** Whether there is a version that is not in use. */
  #isRestricted = false;
  #confirmedAtMs = -Infinity;
  #requests = 0;
  #exposed = 0;
  #judgedAtMs = -Infinity;
  #wasBadHere = false;
  readonly #samples = new Map<string, MutableRoute>();

  /**
   * Creates a gate that knows no version.
   *
   * @param service Name of the service.
   */
  constructor(service: string) {
    this.#service = service;
  }

  /** Versions that requests use beside the share of a target version. */
  get inUse(): ReadonlySet<string> {
    return this.#inUse;
  }

  /** The newest decision that is known. */
  get record(): RolloutRecord | undefined {
    return this.#record;
  }

  /** Whether there are versions that requests may not use. */
  get isRestricted(): boolean {
    return this.#isRestricted;
  }

  /**
   * Returns the share of the requests that the target version gets now.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The share, 0 to 1.
   */
  shareAt(nowMs: number): number {
    const record = this.#record;
    switch (record?.phase) {
      case undefined:
      case RolloutPhase.Idle:
      case RolloutPhase.RolledBack:
        return 0;
      case RolloutPhase.Running: {
        const maxAgeMs = record.share >= LAST_SHARE
          ? LAST_CONFIRMED_FOR_MS
          : CONFIRMED_FOR_MS;
        return this.#isConfirmed(nowMs, maxAgeMs) ? record.share : 0;
      }
      case RolloutPhase.Draining:
        return this.#mayDrain(nowMs) ? 1 : 0;
      case RolloutPhase.Finished:
        return 1;
    }
  }

  /**
   * Learns of a version of the service.
   *
   * @param version The version; empty if it was not announced.
   * @param isInitial Whether the backend server was there before this daemon.
   */
  observe(version: string, isInitial = false): void {
    if (this.#inUse.has(version)) return;
    const isUnknown = this.#record === undefined &&
      (isInitial || [...this.#inUse].every((known) => known === ""));
    // Daemons of an earlier version record no versions.
    if (isUnknown || version === "") {
      this.#inUse = new Set([...this.#inUse, version]);
      return;
    }
    this.#isRestricted = true;
  }

  /**
   * Adopts a decision, unless a newer one is known.
   *
   * @param record The decision.
   * @returns Whether it changes anything.
   */
  apply(record: RolloutRecord): boolean {
    const known = this.#record;
    // A decider that cannot write yet may lower the share in the meantime.
    const isNews = known === undefined || record.sequence > known.sequence ||
      record.sequence === known.sequence && record.share < known.share;
    if (!isNews) return false;
    if (known?.targetVersion !== record.targetVersion) {
      this.#requests = 0;
      this.#exposed = 0;
      this.#samples.clear();
      this.#confirmedAtMs = -Infinity;
    }
    this.#record = record;
    this.#isRestricted = true;
    this.#inUse = new Set(record.inUse);
    this.#targets = new Set([record.targetVersion]);
    return true;
  }

  /**
   * Records that the deciding daemon has answered a report.
   *
   * @param record Its decision.
   * @param reportedAtMs When the report was sent, in ms.
   */
  confirm(record: RolloutRecord, reportedAtMs: number): void {
    this.apply(record);
    if (this.#record?.targetVersion !== record.targetVersion) return;
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, reportedAtMs);
  }

  /**
   * Returns whether the local backend server may run requests.
   *
   * @param version Its version; empty if it was not announced.
   * @param nowMs Monotonic time, in ms.
   * @returns False if no request may use the version.
   */
  admits(version: string, nowMs: number): boolean {
    const record = this.#record;
    switch (record?.phase) {
      case undefined:
      case RolloutPhase.Idle:
        return true;
      case RolloutPhase.Running:
        return version === record.targetVersion || this.#isInUse(version);
      case RolloutPhase.RolledBack:
        return this.#isInUse(version);
      case RolloutPhase.Draining:
        return version === record.targetVersion ||
          this.#isInUse(version) &&
            !this.#isConfirmed(nowMs, DRAIN_CONFIRMED_FOR_MS);
      case RolloutPhase.Finished:
        return version === record.targetVersion;
    }
  }

  /**
   * Chooses the versions that a request may use.
   *
   * @param request The request.
   * @returns The versions.
   */
  choose(request: VersionRequest): VersionChoice {
    if (!this.#isRestricted) return ANY;
    const record = this.#record;
    const isRunning = record?.phase === RolloutPhase.Running;
    if (isRunning && request.isFirst) this.#requests++;
    const share = this.shareAt(request.nowMs);
    // A repetition goes to a version that is known to be good.
    const isTarget = isRunning
      ? request.isFirst && request.fraction < share &&
        this.#mayExpose(share, request.daemons)
      : share === 1;
    return {
      kind: "versions",
      versions: isTarget ? this.#targets : this.#inUse,
      isTarget,
    };
  }

  /** Counts a request that is sent to the target version. */
  recordExposed(): void {
    this.#exposed++;
  }

  /**
   * Records the result of a request.
   *
   * @param result The result.
   */
  recordResult(result: VersionResult): void {
    const record = this.#record;
    if (record === undefined || !isActivePhase(record.phase)) return;
    const route = this.#samplesOf(result.route);
    const side = result.version === record.targetVersion
      ? route.target
      : route.former;
    side.requests++;
    if (result.isFailure) side.failures++;
    if (result.serviceMs === undefined) return;
    const timeClass = timeClassOf(result.serviceMs);
    while (side.times.length <= timeClass) side.times.push(0);
    side.times[timeClass]!++;
  }

  /**
   * Pause between two reports, in ms: short while many requests depend on soon
   * knowing that the target is bad.
   */
  get reportEveryMs(): number {
    const record = this.#record;
    if (record === undefined || !isActivePhase(record.phase)) {
      return REPORT_EVERY_MS;
    }
    if (record.share >= LAST_SHARE) return LAST_REPORT_EVERY_MS;
    return record.share >= URGENT_SHARE
      ? URGENT_REPORT_EVERY_MS
      : REPORT_EVERY_MS;
  }

  /** Failures of the target version that were recorded. */
  get targetFailures(): number {
    return [...this.#samples.values()]
      .reduce((sum, { target }) => sum + target.failures, 0);
  }

  /**
   * Builds the report for the deciding daemon.
   *
   * @param reporter This daemon and the state of its backend server.
   * @returns The report; `undefined` if no requests move.
   */
  buildReport(
    reporter: Pick<RolloutReport, "instance" | "epoch" | "openRequests">,
  ): RolloutReport | undefined {
    const record = this.#record;
    if (record === undefined || !isActivePhase(record.phase)) return undefined;
    return {
      service: this.#service,
      targetVersion: record.targetVersion,
      instance: reporter.instance,
      epoch: reporter.epoch,
      sequence: record.sequence,
      openRequests: reporter.openRequests,
      routes: [...this.#samples.values()].map(copyRoute),
    };
  }

  #isConfirmed(nowMs: number, maxAgeMs: number): boolean {
    return nowMs - this.#confirmedAtMs <= maxAgeMs;
  }

  /**
   * Whether a daemon without contact sends all requests to the target version:
   * for a short time, and only if its own results show no fault.
   */
  #mayDrain(nowMs: number): boolean {
    if (this.#isConfirmed(nowMs, DRAIN_TRUSTED_FOR_MS)) return true;
    return this.#isConfirmed(nowMs, DRAIN_CONFIRMED_FOR_MS) &&
      !this.#isBadHere(nowMs);
  }

  /** Judges the target version by the results of this daemon alone. */
  #isBadHere(nowMs: number): boolean {
    if (nowMs - this.#judgedAtMs >= JUDGE_EVERY_MS) {
      this.#judgedAtMs = nowMs;
      const { verdict } = judgeVersion(this.#samples.values());
      this.#wasBadHere = verdict === VersionVerdict.Bad ||
        verdict === VersionVerdict.Suspect;
    }
    return this.#wasBadHere;
  }

  #isInUse(version: string): boolean {
    return version === "" || this.#inUse.has(version);
  }

  /** Keeps this daemon's part of the bound until the version is proven. */
  #mayExpose(share: number, daemons: number): boolean {
    if (share >= LAST_SHARE) return true;
    return this.#exposed + 1 <= this.#requests * EXPOSED_SHARE +
        EXPOSED_SLACK / Math.max(1, daemons);
  }

  #samplesOf(route: string): MutableRoute {
    let samples = this.#samples.get(route);
    if (samples === undefined) {
      samples = { route, former: newSide(), target: newSide() };
      this.#samples.set(route, samples);
    }
    return samples;
  }
}

interface MutableSide {
  requests: number;
  failures: number;
  readonly times: number[];
}

interface MutableRoute {
  readonly route: string;
  readonly former: MutableSide;
  readonly target: MutableSide;
}

function newSide(): MutableSide {
  return { ...NO_SAMPLES, times: [] };
}

function copyRoute({ route, former, target }: MutableRoute): RouteSamples {
  return {
    route,
    former: { ...former, times: [...former.times] },
    target: { ...target, times: [...target.times] },
  };
}
