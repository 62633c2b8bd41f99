/** Share of the remaining time used if the objective had passed on arrival. */
const MISSED_OBJECTIVE_SHARE = 0.3;
/** Share of the time between objective and deadline used by most requests. */
const PAST_OBJECTIVE_SHARE = 0.25;
/** Share of the time between objective and deadline used by short requests. */
const SHORT_REQUEST_SHARE = 0.5;

/** Monotonic times of a request, in ms. */
export interface RequestTiming {
  readonly objectiveAtMs: number;
  readonly deadlineMs: number;
  /** Time at which the request arrived. */
  readonly arrivedAtMs: number;
}

/**
 * Returns the latest useful completion time of a request: a little past its
 * objective, as a late response has some use, or a share of the remaining time
 * if the objective had passed on arrival.
 *
 * It is earlier than the deadline, so that a refused caller has time to retry.
 * A short request waits longer, as refusing it frees little capacity, and it is
 * often a subcall of a running request.
 *
 * @param times Times of the request.
 * @param isShort Whether the request is short compared to the average.
 * @returns Monotonic time, in ms.
 *
 * @example
 * ```ts
 * const times = { objectiveAtMs: 500, deadlineMs: 1_300, arrivedAtMs: 0 };
 * effectiveDeadlineMs(times, false); // 700
 * ```
 */
export function effectiveDeadlineMs(
  times: RequestTiming,
  isShort: boolean,
): number {
  const { objectiveAtMs, deadlineMs, arrivedAtMs } = times;
  const base = Math.max(objectiveAtMs, arrivedAtMs);
  if (isShort) return base + (deadlineMs - base) * SHORT_REQUEST_SHARE;
  if (objectiveAtMs > arrivedAtMs) {
    const lateMs = Math.max(0, deadlineMs - objectiveAtMs) *
      PAST_OBJECTIVE_SHARE;
    return Math.min(deadlineMs, objectiveAtMs + lateMs);
  }
  return arrivedAtMs + (deadlineMs - arrivedAtMs) * MISSED_OBJECTIVE_SHARE;
}
