import type { RouteSamples, SampleCounts } from "../../protocol/rollout.ts";
import { CLASSES_PER_DOUBLING, TIME_CLASSES } from "./sample_times.ts";
import { wilsonInterval } from "./wilson_interval.ts";

/** How the target version compares with the former ones. */
export enum VersionVerdict {
  /** Too few results to compare. */
  Unknown = "unknown",
  Good = "good",
  /** Worse, but possibly by chance. */
  Suspect = "suspect",
  Bad = "bad",
}

/** In what respect a version is worse. */
export enum VersionFault {
  Failures = "failures",
  Slow = "slow",
}

/** A verdict and the figures behind it. */
export interface VersionJudgement {
  readonly verdict: VersionVerdict;
  /** Route that shows the fault, if any. */
  readonly route?: string;
  readonly fault?: VersionFault;
  /** Affected results and all results of that route. */
  readonly target?: readonly [number, number];
  readonly former?: readonly [number, number];
}

/**
 * Standard deviations for a fault. A rollout makes some thousand comparisons,
 * so that chance alone must exceed it less than once in ten thousand.
 */
const BAD_DEVIATIONS = 3.9;
const SUSPECT_DEVIATIONS = 2.6;
/** Difference of shares that is no fault, however certain it is. */
const MIN_DIFFERENCE = 0.003;
/** The same for slow responses, as backend servers differ. */
const MIN_SLOW_DIFFERENCE = 0.03;
/** Fewer results of the former versions give no comparison. */
const MIN_FORMER = 20;
/** Fewer results of the target version can show a fault, but no good version. */
const MIN_TARGET = 8;

const SEVERITY: Readonly<Record<VersionVerdict, number>> = {
  [VersionVerdict.Good]: 0,
  [VersionVerdict.Unknown]: 1,
  [VersionVerdict.Suspect]: 2,
  [VersionVerdict.Bad]: 3,
};

/**
 * Compares the results of two versions over the same period, route by route.
 *
 * @param routes The results.
 * @returns The most severe verdict; `Unknown` without results.
 *
 * @example
 * ```ts
 * judgeVersion([]).verdict; // "unknown"
 * ```
 */
export function judgeVersion(
  routes: Iterable<RouteSamples>,
): VersionJudgement {
  let worst: VersionJudgement | undefined;
  for (const samples of routes) {
    if (samples.former.requests + samples.target.requests === 0) continue;
    const judgement = judgeRoute(samples);
    const isWorse = worst === undefined ||
      SEVERITY[judgement.verdict] > SEVERITY[worst.verdict];
    if (isWorse) worst = judgement;
  }
  return worst ?? { verdict: VersionVerdict.Unknown };
}

/**
 * Returns the more severe of two judgements.
 *
 * @param a A judgement.
 * @param b Another one.
 * @returns The more severe one.
 *
 * @example
 * ```ts
 * const unknown = { verdict: VersionVerdict.Unknown };
 * moreSevere(unknown, unknown);
 * ```
 */
export function moreSevere(
  a: VersionJudgement,
  b: VersionJudgement,
): VersionJudgement {
  return SEVERITY[b.verdict] > SEVERITY[a.verdict] ? b : a;
}

function judgeRoute({ route, former, target }: RouteSamples): VersionJudgement {
  const failing = compare({
    hits: [target.failures, former.failures],
    totals: [target.requests, former.requests],
    minDifference: MIN_DIFFERENCE,
  });
  const slow = compareTimes(former, target);
  const isSlow = SEVERITY[slow.verdict] > SEVERITY[failing.verdict];
  const worst = isSlow ? slow : failing;
  if (SEVERITY[worst.verdict] < SEVERITY[VersionVerdict.Suspect]) {
    return { verdict: worst.verdict, route };
  }
  const fault = isSlow ? VersionFault.Slow : VersionFault.Failures;
  return { ...worst, route, fault };
}

/**
 * Compares the target version's responses beyond each time with the former
 * versions' beyond half of it: a version whose responses take up to twice as
 * long is not slow at any time.
 */
function compareTimes(
  former: SampleCounts,
  target: SampleCounts,
): VersionJudgement {
  const totals = [sum(target.times), sum(former.times)] as const;
  let worst: VersionJudgement = { verdict: VersionVerdict.Good };
  let targetBeyond = 0;
  let formerBeyond = sum(former.times.slice(TIME_CLASSES));
  for (let index = TIME_CLASSES - 1; index >= 0; index--) {
    formerBeyond += former.times[index] ?? 0;
    const targetIndex = index + CLASSES_PER_DOUBLING;
    targetBeyond += targetIndex < TIME_CLASSES
      ? target.times[targetIndex] ?? 0
      : 0;
    if (targetBeyond === 0) continue;
    worst = moreSevere(
      worst,
      compare({
        hits: [targetBeyond, formerBeyond],
        totals,
        minDifference: MIN_SLOW_DIFFERENCE,
      }),
    );
  }
  return worst;
}

function compare(
  counts: {
    /** Of the target version and of the former ones. */
    readonly hits: readonly [number, number];
    readonly totals: readonly [number, number];
    readonly minDifference: number;
  },
): VersionJudgement {
  const { hits, totals, minDifference } = counts;
  if (totals[1] < MIN_FORMER) return { verdict: VersionVerdict.Unknown };
  const isWorse = (deviations: number) =>
    wilsonInterval(hits[0], totals[0], deviations).lower >
      wilsonInterval(hits[1], totals[1], deviations).upper + minDifference;
  const figures = {
    target: [hits[0], totals[0]],
    former: [hits[1], totals[1]],
  } as const;
  if (isWorse(BAD_DEVIATIONS)) {
    return { verdict: VersionVerdict.Bad, ...figures };
  }
  if (isWorse(SUSPECT_DEVIATIONS)) {
    return { verdict: VersionVerdict.Suspect, ...figures };
  }
  return {
    verdict: totals[0] < MIN_TARGET
      ? VersionVerdict.Unknown
      : VersionVerdict.Good,
  };
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
