import type { Random } from "../protocol/random.ts";

/** Retry-After value if no destination named a wait, in ms. */
const DEFAULT_RETRY_AFTER_MS = 150;
/** Largest relative jitter on Retry-After, which spreads retries over time. */
const RETRY_AFTER_JITTER = 0.5;
/**
 * Share of the time to the deadline that Retry-After may take, so that the
 * retry still has time to be served.
 */
const MAX_RETRY_AFTER_SHARE = 0.33;

/**
 * Chooses when a caller whose request was refused may send it again.
 *
 * @param refusal Times of the request, in ms, and the shortest wait that a
 * destination named, `Infinity` if none did.
 * @returns The time until then, in ms.
 *
 * @example
 * ```ts ignore
 * const retryAfterMs = chooseRetryAfterMs(refusal);
 * ```
 */
export function chooseRetryAfterMs(
  refusal: {
    readonly objectiveAtMs: number;
    readonly deadlineMs: number;
    readonly namedMs: number;
    readonly nowMs: number;
    readonly random: Random;
  },
): number {
  const { objectiveAtMs, deadlineMs, namedMs, nowMs, random } = refusal;
  const minRetryAfterMs = Number.isFinite(namedMs)
    ? namedMs
    : DEFAULT_RETRY_AFTER_MS;
  // A retry that cannot meet the objective is better sent after the overload.
  const canMeetObjective = nowMs + minRetryAfterMs < objectiveAtMs;
  const lateRetryAfterMs = Math.max(
    minRetryAfterMs,
    (deadlineMs - nowMs) * MAX_RETRY_AFTER_SHARE,
  );
  const maxRetryAfterMs = canMeetObjective
    ? minRetryAfterMs * (1 + RETRY_AFTER_JITTER)
    : lateRetryAfterMs;
  return minRetryAfterMs +
    (maxRetryAfterMs - minRetryAfterMs) * random.fraction();
}
