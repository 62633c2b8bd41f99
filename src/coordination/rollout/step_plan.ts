/** Share at which a rollout begins. */
const FIRST_SHARE = 0.04;
/** Largest share at which a rollout with few requests begins. */
const MAX_FIRST_SHARE = 0.3;
/** Results of the target version that the first share is to give. */
const FIRST_RESULTS = 30;
/** Share before all requests move; the rest is for the comparison. */
export const LAST_SHARE = 0.8;
/** Shares between the first and the last one. */
const MIDDLE_SHARES = [0.1, 0.3];

/** Time kept for ending requests, for the takeover by another decider. */
const SPARE_SHARE = 0.25;
const MIN_SPARE_MS = 3_000;
const MAX_SPARE_MS = 12_000;
/** Time at each share after the first one. */
const STEP_SHARE = 0.06;
const MIN_STEP_MS = 1_000;
const MAX_STEP_MS = 2_000;

/** When which share is reached. */
export interface StepPlan {
  /** Times since the order, in ms, and the shares that they begin. */
  readonly steps: readonly {
    readonly afterMs: number;
    readonly share: number;
  }[];
  /** Time since the order after which all requests move, in ms. */
  readonly drainAfterMs: number;
}

/**
 * Plans the shares of a rollout.
 *
 * The larger shares come late and last only for as long as a comparison takes,
 * so that a version that turns bad at any time has got few requests.
 *
 * @param durationMs Time limit of the order, in ms.
 * @param requestsPerS Requests of the service per second.
 * @returns The plan.
 *
 * @example
 * ```ts
 * planSteps(60_000, 300).drainAfterMs; // 48000
 * ```
 */
export function planSteps(durationMs: number, requestsPerS: number): StepPlan {
  const spareMs = Math.min(
    durationMs * 0.5,
    clamp(durationMs * SPARE_SHARE, MIN_SPARE_MS, MAX_SPARE_MS),
  );
  const stepMs = Math.min(
    durationMs * STEP_SHARE,
    clamp(durationMs * STEP_SHARE, MIN_STEP_MS, MAX_STEP_MS),
  );
  const drainAfterMs = durationMs - spareMs;
  const expected = Math.max(1, requestsPerS * durationMs / 1_000);
  const firstShare = clamp(
    FIRST_RESULTS / expected,
    FIRST_SHARE,
    MAX_FIRST_SHARE,
  );
  const later = [...MIDDLE_SHARES, LAST_SHARE]
    .filter((share) => share > firstShare);
  return {
    drainAfterMs,
    steps: [
      { afterMs: 0, share: firstShare },
      ...later.map((share, index) => ({
        afterMs: drainAfterMs - (later.length - index) * stepMs,
        share,
      })),
    ],
  };
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
