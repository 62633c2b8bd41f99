import { Rank } from "../../protocol/rank.ts";
import type { LatencyTracker } from "./latency_tracker.ts";

/** Shortest delay for urgent and for other calls, in ms. */
const MIN_URGENT_DELAY_MS = 10;
const MIN_DELAY_MS = 250;
/** Multiple of the 95th percentile, for urgent and for other calls. */
const URGENT_DELAY_FACTOR = 2;
const DELAY_FACTOR = 4;
/** Percentile of the latencies that defines a late call. */
const TAIL_PERCENTILE = 0.95;
/** Delay while there are too few latency samples, in ms. */
const DEFAULT_DELAY_MS = 500;

/**
 * Returns the time after which a call without a response is hedged or checked.
 *
 * @param rank The call's rank; the delay is shorter for urgent calls.
 * @param latency Latencies of the call's service.
 * @returns The delay, in ms.
 *
 * @example
 * ```ts
 * hedgeDelayMs(Rank.Urgent, new LatencyTracker()); // 500
 * ```
 */
export function hedgeDelayMs(rank: Rank, latency: LatencyTracker): number {
  const tailLatencyMs = latency.percentileMs(TAIL_PERCENTILE);
  if (tailLatencyMs === undefined) return DEFAULT_DELAY_MS;
  return rank === Rank.Urgent
    ? Math.max(MIN_URGENT_DELAY_MS, tailLatencyMs * URGENT_DELAY_FACTOR)
    : Math.max(MIN_DELAY_MS, tailLatencyMs * DELAY_FACTOR);
}
