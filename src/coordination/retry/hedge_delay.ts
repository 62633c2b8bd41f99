import { Rank } from "../../protocol/rank.ts";
import type { LatencyTracker } from "./latency_tracker.ts";

/** Shortest patience with urgent and other calls, in ms. */
const MIN_URGENT_PATIENCE_MS = 10;
const MIN_PATIENCE_MS = 250;
/** Patience with urgent and other calls, in 95th percentiles. */
const URGENT_PERCENTILES = 2;
const PERCENTILES = 4;
/** Percentile of the latencies beyond which a call is late. */
const LATE_PERCENTILE = 0.95;
/** Patience while there are too few latencies, in ms. */
const DEFAULT_PATIENCE_MS = 500;

/**
 * Tells after what time a call without an answer is looked after.
 *
 * @param rank The call's rank; less patience is had with urgent calls.
 * @param latency Latencies of the call's service.
 * @returns The time in ms.
 *
 * @example
 * ```ts
 * patienceMs(Rank.Urgent, new LatencyTracker()); // 500
 * ```
 */
export function hedgeDelayMs(rank: Rank, latency: LatencyTracker): number {
  const lateMs = latency.percentileMs(LATE_PERCENTILE);
  if (lateMs === undefined) return DEFAULT_PATIENCE_MS;
  return rank === Rank.Urgent
    ? Math.max(MIN_URGENT_PATIENCE_MS, lateMs * URGENT_PERCENTILES)
    : Math.max(MIN_PATIENCE_MS, lateMs * PERCENTILES);
}
