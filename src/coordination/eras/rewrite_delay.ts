/** Shortest period within which all daemons write their records again, in ms. */
const MIN_PERIOD_MS = 1_000;
/** Bounds the writes to 50 per second, however large the fleet, in ms. */
const PERIOD_PER_DAEMON_MS = 20;
/** Time for all daemons to notice that the store was restored, in ms. */
const NOTICE_MS = 5_000;

/**
 * Returns the period within which the daemons of a fleet write their records
 * again after the store was restored.
 *
 * @param daemons Number of daemons in the fleet.
 * @returns The period, in ms.
 *
 * @example
 * ```ts
 * rewritePeriodMs(2_400); // 48_000
 * ```
 */
export function rewritePeriodMs(daemons: number): number {
  return Math.max(MIN_PERIOD_MS, daemons * PERIOD_PER_DAEMON_MS);
}

/**
 * Returns the time for which a record that the restored store lacks may still be
 * written again by its daemon.
 *
 * @param daemons Number of daemons in the fleet.
 * @returns The time, in ms.
 *
 * @example
 * ```ts
 * missingGraceMs(10); // 6_000
 * ```
 */
export function missingGraceMs(daemons: number): number {
  return NOTICE_MS + rewritePeriodMs(daemons);
}
