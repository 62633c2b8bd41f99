/** Part of its time that a request waits whose objective has passed. */
const LATE_WAIT_SHARE = 0.3;

/**
 * Returns the latest time at which the end of a request is still worth waiting
 * for: its objective, or a part of the time left where that has passed before.
 * A caller who hears of it early can come back.
 *
 * @param times Objective and deadline, monotonic.
 * @param nowMs Monotonic time at which the request arrives.
 * @returns The time, monotonic.
 *
 * @example
 * ```ts
 * latestUsefulMs({ objectiveAtMs: 500, deadlineMs: 1_300 }, 0); // 500
 * ```
 */
export function latestUsefulMs(
  times: { readonly objectiveAtMs: number; readonly deadlineMs: number },
  nowMs: number,
): number {
  const { objectiveAtMs, deadlineMs } = times;
  if (objectiveAtMs > nowMs) return Math.min(objectiveAtMs, deadlineMs);
  return nowMs + (deadlineMs - nowMs) * LATE_WAIT_SHARE;
}
