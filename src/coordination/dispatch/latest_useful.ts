/** Part of the time between objective and deadline in which work still waits. */
const LATE_SHARE = 0.25;

/**
 * Returns the latest time at which the end of a request is still worth waiting
 * for. Past its objective an answer has little use, and a caller who hears of
 * it early can come back.
 *
 * @param times Objective and deadline, monotonic.
 * @returns The time, monotonic.
 *
 * @example
 * ```ts
 * latestUsefulMs({ objectiveAtMs: 500, deadlineMs: 1_300 }); // 700
 * ```
 */
export function latestUsefulMs(
  times: { readonly objectiveAtMs: number; readonly deadlineMs: number },
): number {
  const lateMs = Math.max(0, times.deadlineMs - times.objectiveAtMs);
  return Math.min(times.deadlineMs, times.objectiveAtMs + lateMs * LATE_SHARE);
}
