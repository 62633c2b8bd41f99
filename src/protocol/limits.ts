/** Longest timeout that a service may set, in ms. */
export const MAX_TIMEOUT_MS = 3_600_000;

/** Longest delay of a timer of Node.js, in ms; a longer one ends at once. */
const MAX_TIMER_MS = 0x7fffffff;

/**
 * Returns the delay of a timer that ends at a deadline.
 *
 * @param deadlineMs Monotonic time; may be infinite.
 * @returns The delay, in ms: 0 if the deadline has passed.
 *
 * @example
 * ```ts
 * timerDelayMs(Infinity); // 2147483647
 * ```
 */
export function timerDelayMs(deadlineMs: number): number {
  const delayMs = deadlineMs - performance.now();
  return Math.min(MAX_TIMER_MS, Math.max(0, delayMs));
}
