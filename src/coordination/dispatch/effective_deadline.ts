/** Part of its time that a request waits whose objective has passed. */
const LATE_WAIT_SHARE = 0.3;
/** Part of the time behind its objective that a request still waits. */
const LATE_SHARE = 0.25;
/** Part of the time behind its objective that a short request still waits. */
const SHORT_WAIT_SHARE = 0.5;

/** Times of a request, monotonic. */
export interface RequestTiming {
  readonly objectiveAtMs: number;
  readonly deadlineMs: number;
  /** Time at which the request arrived. */
  readonly arrivedAtMs: number;
}

/**
 * Returns the latest time at which the end of a request is still worth waiting
 * for: a little past its objective, as a late answer has some use, or a part of
 * the time left where the objective had passed before.
 * A caller who hears of it early can come back. A short request waits longer,
 * as refusing it frees little, and it is often a call of work that runs.
 *
 * @param times Times of the request.
 * @param isShort Whether it takes little next to the others.
 * @returns The time, monotonic.
 *
 * @example
 * ```ts
 * const times = { objectiveAtMs: 500, deadlineMs: 1_300, arrivedAtMs: 0 };
 * latestUsefulMs(times, false); // 700
 * ```
 */
export function effectiveDeadlineMs(
  times: RequestTiming,
  isShort: boolean,
): number {
  const { objectiveAtMs, deadlineMs, arrivedAtMs } = times;
  const base = Math.max(objectiveAtMs, arrivedAtMs);
  if (isShort) return base + (deadlineMs - base) * SHORT_WAIT_SHARE;
  if (objectiveAtMs > arrivedAtMs) {
    const lateMs = Math.max(0, deadlineMs - objectiveAtMs) * LATE_SHARE;
    return Math.min(deadlineMs, objectiveAtMs + lateMs);
  }
  return arrivedAtMs + (deadlineMs - arrivedAtMs) * LATE_WAIT_SHARE;
}
