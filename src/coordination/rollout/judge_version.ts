import type { RouteSamples, SampleCounts } from "../../protocol/rollout.ts";
import { addSamples, NO_SAMPLES, TIME_CLASSES } from "./sample_times.ts";
import { chanceOfHits, wilsonUpperBound } from "./share_bounds.ts";

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
 * Largest probability of a fault by chance. A rollout makes some thousand
 * comparisons, most of which depend on each other.
 */
const BAD_CHANCE = 1e-5;
const SUSPECT_CHANCE = 2e-3;
/** Margin of the former versions' share, in standard deviations. */
const FORMER_DEVIATIONS = 2;
/** Difference of shares that is no fault, however certain it is. */
const MIN_DIFFERENCE = 0.003;
/** The same for slow responses, as backend servers differ. */
const MIN_SLOW_DIFFERENCE = 0.03;
/** Classes by which a response may be slower: one version may be a bit slower. */
const TOLERATED_CLASSES = 1;
/** Names the results of all routes together. */
const ALL_ROUTES = "*";
/** Fewer results of the former versions give no comparison. */
const MIN_FORMER = 20;
/** Fewer results of the target version can show a fault, but no good version. */
const MIN_TARGET = 8;

const SEVERITY: Readonly<Record<VersionVerdict, number>> = {
  [VersionVerdict.Unknown]: 0,
  [VersionVerdict.Good]: 1,
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
  const known = [...routes].filter(({ former, target }) =>
    former.requests + target.requests > 0
  );
  return [...known, pool(known)].map(judgeRoute).reduce(moreSevere, {
    verdict: VersionVerdict.Unknown,
  });
}

/**
 * Adds up all routes, with response times relative to the median of each: a
 * fault of all routes shows with fewer results than one of a single route.
 */
function pool(routes: readonly RouteSamples[]): RouteSamples {
  let former = NO_SAMPLES;
  let target = NO_SAMPLES;
  for (const samples of routes) {
    const offset = TIME_CLASSES / 2 - medianClass(samples.former.times);
    former = addSamples(former, shift(samples.former, offset));
    target = addSamples(target, shift(samples.target, offset));
  }
  return { route: ALL_ROUTES, former, target };
}

function medianClass(times: readonly number[]): number {
  const half = sum(times) / 2;
  let before = 0;
  return Math.max(
    0,
    times.findIndex((count) => (before += count) >= half),
  );
}

function shift(samples: SampleCounts, offset: number): SampleCounts {
  const times = new Array<number>(TIME_CLASSES).fill(0);
  samples.times.forEach((count, index) => {
    const shifted = Math.min(TIME_CLASSES - 1, Math.max(0, index + offset));
    times[shifted]! += count;
  });
  return { ...samples, times };
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
    return { verdict: failing.verdict, route };
  }
  const fault = isSlow ? VersionFault.Slow : VersionFault.Failures;
  return { ...worst, route, fault };
}

/**
 * Compares the target version's responses beyond each time with the former
 * versions' beyond a somewhat shorter one, so that a version that is only a bit
 * slower is not slow at any time.
 */
function compareTimes(
  former: SampleCounts,
  target: SampleCounts,
): VersionJudgement {
  const totals = [sum(target.times), sum(former.times)] as const;
  let worst: VersionJudgement = { verdict: VersionVerdict.Unknown };
  let targetBeyond = 0;
  let formerBeyond = sum(former.times.slice(TIME_CLASSES));
  for (let index = TIME_CLASSES - 1; index >= 0; index--) {
    formerBeyond += former.times[index] ?? 0;
    const targetIndex = index + TOLERATED_CLASSES;
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
  const share = wilsonUpperBound(hits[1], totals[1], FORMER_DEVIATIONS) +
    minDifference;
  const chance = chanceOfHits(hits[0], totals[0], Math.min(1, share));
  const figures = {
    target: [hits[0], totals[0]],
    former: [hits[1], totals[1]],
  } as const;
  if (chance <= BAD_CHANCE) {
    return { verdict: VersionVerdict.Bad, ...figures };
  }
  if (chance <= SUSPECT_CHANCE) {
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
