import { RolloutPhase, type RolloutRecord } from "../../protocol/rollout.ts";
import { type VersionJudgement, VersionVerdict } from "./judge_version.ts";
import { LAST_SHARE, type StepPlan } from "./step_plan.ts";

/** Results of the target version without which it gets no large share. */
const MIN_RESULTS = 90;
/**
 * Time with all requests without which the target version is not proven, in ms.
 * Slow responses come later than others, so that the first ones look good.
 */
const MIN_FULL_MS = 1_250;
/** Smallest share from which all requests may move. */
const MIN_DRAIN_SHARE = 0.3;
/** Time for results to come in before another decision, in ms. */
const MIN_DWELL_MS = 700;
/** Time before the limit at which a rollout without a decision ends, in ms. */
const LAST_DECISION_MS = 1_000;
/** Time before the limit at which a version without proof is finished, in ms. */
const LAST_FINISH_MS = 1_500;
/** Part of the spare time for which a suspect version may still recover. */
const SUSPECT_SPARE_SHARE = 0.4;

/** Part of the spare time for which results of a version are waited for. */
const UNPROVEN_SPARE_SHARE = 0.1;

/** What a decision is based on. */
export interface StepSituation {
  readonly record: Pick<RolloutRecord, "phase" | "share">;
  readonly plan: StepPlan;
  readonly durationMs: number;
  /** Time since the order, in ms. */
  readonly elapsedMs: number;
  /** Time since the share or the decider changed, in ms. */
  readonly shareAgeMs: number;
  readonly judgement: VersionJudgement;
  /** Results of the target version. */
  readonly targetRequests: number;
  /** Those of daemons that sent it all requests at the time. */
  readonly fullRequests: number;
  /** Whether the target version has backend servers that accept requests. */
  readonly hasTarget: boolean;
  /** Whether enough daemons report. */
  readonly hasReports: boolean;
  /** Whether nothing is in progress at the former versions, nor can begin. */
  readonly isDrained: boolean;
}

/** The next phase and share. */
export interface StepDecision {
  readonly phase: RolloutPhase;
  readonly share: number;
}

/**
 * Decides how a rollout goes on.
 *
 * @param situation The rollout and what is known of the versions.
 * @returns The phase and share, which may be those of the record.
 *
 * @example
 * ```ts ignore
 * const { phase, share } = decideStep(situation);
 * ```
 */
export function decideStep(situation: StepSituation): StepDecision {
  const { record, judgement, isDrained } = situation;
  const { phase, share } = record;
  switch (phase) {
    case RolloutPhase.Running:
      return judgement.verdict === VersionVerdict.Bad
        ? { phase: RolloutPhase.RolledBack, share: 0 }
        : advance(situation);
    case RolloutPhase.Draining:
      if (judgement.verdict === VersionVerdict.Bad) {
        return { phase: RolloutPhase.RolledBack, share: 0 };
      }
      if (!isDrained || !mayFinish(situation)) return { phase, share };
      return judgement.verdict === VersionVerdict.Suspect
        ? { phase: RolloutPhase.RolledBack, share: 0 }
        : { phase: RolloutPhase.Finished, share: 1 };
    case RolloutPhase.Idle:
    case RolloutPhase.Finished:
    case RolloutPhase.RolledBack:
      return { phase, share };
  }
}

function advance(situation: StepSituation): StepDecision {
  const { record, plan, elapsedMs, judgement } = situation;
  const unchanged = { phase: record.phase, share: record.share };
  const { drainAfterMs, steps } = plan;
  const spareMs = situation.durationMs - drainAfterMs;
  const isSuspect = judgement.verdict === VersionVerdict.Suspect;
  const giveUpAfterMs = isSuspect
    ? drainAfterMs + spareMs * SUSPECT_SPARE_SHARE
    : situation.durationMs - LAST_DECISION_MS;
  const mayAdvance = !isSuspect && situation.hasTarget &&
    situation.hasReports && situation.shareAgeMs >= MIN_DWELL_MS;
  if (mayAdvance && elapsedMs >= drainAfterMs && canDrain(situation)) {
    return { phase: RolloutPhase.Draining, share: 1 };
  }
  if (elapsedMs >= giveUpAfterMs) {
    return { phase: RolloutPhase.RolledBack, share: 0 };
  }
  if (!mayAdvance) return unchanged;
  const next = steps.find(({ share }) => share > record.share);
  if (next === undefined || elapsedMs < next.afterMs) return unchanged;
  if (next.share >= LAST_SHARE && !isProven(situation)) return unchanged;
  return { phase: record.phase, share: next.share };
}

/** A version without results is not moved to while there is time for them. */
function canDrain(situation: StepSituation): boolean {
  const { record, plan, durationMs, elapsedMs } = situation;
  const spareMs = durationMs - plan.drainAfterMs;
  // Later, there is no time left to prove it with all requests.
  const isLate = elapsedMs < durationMs - LAST_DECISION_MS &&
    elapsedMs >= plan.drainAfterMs + spareMs * UNPROVEN_SPARE_SHARE;
  return record.share >= MIN_DRAIN_SHARE && (isLate || isProven(situation));
}

/**
 * Nothing can roll a finished version back, and a fault that depends on the load
 * shows with all requests only.
 */
function mayFinish(situation: StepSituation): boolean {
  const { judgement, fullRequests, shareAgeMs } = situation;
  if (shareAgeMs < MIN_FULL_MS) return false;
  const isProvenInFull = judgement.verdict === VersionVerdict.Good &&
    fullRequests >= MIN_RESULTS;
  return isProvenInFull ||
    situation.elapsedMs >= situation.durationMs - LAST_FINISH_MS;
}

function isProven({ judgement, targetRequests }: StepSituation): boolean {
  return judgement.verdict === VersionVerdict.Good &&
    targetRequests >= MIN_RESULTS;
}
