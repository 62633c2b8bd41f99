import {
  isActivePhase,
  RolloutPhase,
  type RolloutRecord,
  type RolloutReport,
} from "../../protocol/rollout.ts";
import { decideStep } from "./decide_step.ts";
import { type VersionJudgement, VersionVerdict } from "./judge_version.ts";
import { RolloutObservations } from "./rollout_observations.ts";
import { RolloutReason, type RolloutSituation } from "./rollout_types.ts";
import { planSteps } from "./step_plan.ts";

/** Time after which the deciding daemon renews its record, in ms. */
const RENEW_MS = 1_000;
/** Time without a renewal after which another daemon takes over, in ms. */
export const TAKEOVER_MS = 3_000;
/** Time within which a daemon must have reported to count, in ms. */
export const REPORTED_WITHIN_MS = 2_000;
/** Share of the daemons that must report to the deciding daemon. */
const MIN_REPORTERS = 0.5;
/** Share of the daemons that must report before a new decider may wait less. */
const ALL_REPORTERS = 0.95;
const ALL_REPORTS_WITHIN_MS = 2_000;
/** Time for which a daemon that few report to leaves the role to others. */
const RESIGNED_FOR_MS = 10_000;

/** The judgement without reports. */
export const UNKNOWN_VERSION: VersionJudgement = {
  verdict: VersionVerdict.Unknown,
};

const ROLLED_BACK = { phase: RolloutPhase.RolledBack, share: 0 };

/** A decision that is to be written. */
export interface RolloutDecision {
  readonly reason: RolloutReason;
  readonly next: RolloutRecord;
  readonly judgement: VersionJudgement;
}

/**
 * The part of the daemon that decides about one service: collects the reports of
 * all daemons and decides by them.
 *
 * @example
 * ```ts ignore
 * const decision = role.decide(record, situation, seenAtMs);
 * ```
 */
export class DecidingRole {
  /** Number of daemons in the fleet. */
  daemons = 0;
  #observations: RolloutObservations | undefined;
  #shareSinceMs = 0;
  /** Sequence with which the phase began, as far as this daemon knows. */
  #phaseSequence = 0;
  #decidingSinceMs = 0;
  #resignedUntilMs = -Infinity;
  /** Whether a decision to roll back is not written yet. */
  #isHalted = false;

  /** The reports so far, if this daemon has decided. */
  get observations(): RolloutObservations | undefined {
    return this.#observations;
  }

  /**
   * Returns whether this daemon leaves the role to others.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Whether it does.
   */
  isResigned(nowMs: number): boolean {
    return nowMs < this.#resignedUntilMs;
  }

  /**
   * Learns of another record.
   *
   * @param known The record before, if any.
   * @param record The record.
   * @param role Whether this daemon decided before and decides now.
   * @param nowMs Monotonic time, in ms.
   */
  follow(
    known: RolloutRecord | undefined,
    record: RolloutRecord,
    role: { readonly wasDecider: boolean; readonly isDecider: boolean },
    nowMs: number,
  ): void {
    const { wasDecider, isDecider } = role;
    const isNewPhase = known?.phase !== record.phase ||
      known.targetVersion !== record.targetVersion;
    const hasShareChanged = isNewPhase || known.share !== record.share ||
      known.decider !== record.decider;
    if (hasShareChanged) this.#shareSinceMs = nowMs;
    if (isNewPhase) this.#phaseSequence = record.sequence;
    if (!isDecider || !isActivePhase(record.phase)) this.#isHalted = false;
    const isNewRole = isDecider &&
      (!wasDecider || known?.targetVersion !== record.targetVersion);
    if (isNewRole) {
      this.#decidingSinceMs = nowMs;
      this.#isHalted = false;
      this.#observations = new RolloutObservations(record.targetVersion, nowMs);
    }
    const isNewlyFull = record.phase === RolloutPhase.Draining &&
      (isNewPhase || isNewRole);
    if (isNewlyFull) this.#observations?.startFull(this.#phaseSequence);
  }

  /**
   * Answers a report of a daemon.
   *
   * @param report The report.
   * @param record The record of this daemon.
   * @param nowMs Monotonic time, in ms.
   * @returns The decision in force; `undefined` if this daemon cannot tell.
   */
  receive(
    report: RolloutReport,
    record: RolloutRecord,
    nowMs: number,
  ): RolloutRecord | undefined {
    if (this.isResigned(nowMs)) return undefined;
    this.#observations?.record(report, nowMs);
    // A daemon that was held up does not know yet what others have seen.
    if (!this.#isHeard(nowMs)) return undefined;
    if (!this.#isHalted) return record;
    // The daemon may follow a write whose response this daemon did not get.
    const sequence = Math.max(record.sequence, report.sequence);
    return { ...record, sequence, phase: RolloutPhase.Running, share: 0 };
  }

  /**
   * Compares the versions by the reports so far.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The judgement.
   */
  judge(nowMs: number): VersionJudgement {
    return this.#observations?.judge(nowMs) ?? UNKNOWN_VERSION;
  }

  /**
   * Decides how the rollout goes on.
   *
   * @param record The record of this daemon.
   * @param situation What the daemon knows.
   * @param recordSeenAtMs When the record was written, in ms.
   * @returns The decision; `undefined` if there is nothing to write.
   */
  decide(
    record: RolloutRecord,
    situation: RolloutSituation,
    recordSeenAtMs: number,
  ): RolloutDecision | undefined {
    const { nowMs, nowUnixMs, daemons } = situation;
    const observations = this.#observations;
    const isDeciding = isActivePhase(record.phase) &&
      observations !== undefined && !this.isResigned(nowMs);
    if (!isDeciding) return undefined;
    const reporters = observations.countReporters(nowMs - REPORTED_WITHIN_MS);
    const isNew = nowMs - this.#decidingSinceMs < ALL_REPORTS_WITHIN_MS;
    // A daemon that has just taken over has to know what others have seen.
    const hasReports = reporters >=
      daemons * (isNew ? ALL_REPORTERS : MIN_REPORTERS);
    if (!this.#isHeard(nowMs)) {
      // Others can take the role over once the record is not renewed.
      this.#resignedUntilMs = nowMs + RESIGNED_FOR_MS;
      return undefined;
    }
    const durationMs = record.endsAtUnixMs - record.startedAtUnixMs;
    const observedS = Math.max(1, (nowMs - observations.startedAtMs) / 1_000);
    const judgement = observations.judge(nowMs);
    const step = decideStep({
      record,
      plan: planSteps(durationMs, observations.requests / observedS),
      durationMs,
      elapsedMs: nowUnixMs - record.startedAtUnixMs,
      shareAgeMs: nowMs - this.#shareSinceMs,
      judgement,
      targetRequests: observations.targetRequests,
      fullRequests: observations.fullRequests,
      hasTarget: situation.hasTarget,
      hasReports,
      isDrained: situation.formerInstances.every((instance) =>
        observations.isDrained(
          instance,
          this.#phaseSequence,
          nowMs - REPORTED_WITHIN_MS,
        )
      ),
    });
    const { phase, share } = this.#isHalted ? ROLLED_BACK : step;
    const sequence = record.sequence + 1;
    if (phase !== record.phase || share !== record.share) {
      this.#isHalted = phase === RolloutPhase.RolledBack;
      const inUse = phase === RolloutPhase.Finished
        ? [record.targetVersion]
        : record.inUse;
      const next = { ...record, sequence, phase, share, inUse };
      return { reason: RolloutReason.Decided, next, judgement };
    }
    return nowMs - recordSeenAtMs >= RENEW_MS
      ? {
        reason: RolloutReason.Renewed,
        next: { ...record, sequence },
        judgement,
      }
      : undefined;
  }

  /** Whether enough daemons report, or have had no time to do so yet. */
  #isHeard(nowMs: number): boolean {
    const reporters =
      this.#observations?.countReporters(nowMs - REPORTED_WITHIN_MS) ?? 0;
    return reporters >= this.daemons * MIN_REPORTERS ||
      nowMs - this.#decidingSinceMs <= TAKEOVER_MS;
  }
}
