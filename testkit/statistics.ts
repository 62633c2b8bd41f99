import { build } from "hdr-histogram-js";

/** Steps of a millisecond that histograms tell apart. */
const STEPS_PER_MS = 1_000;

/** Summary of durations, in ms. */
export interface Summary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/**
 * Summarizes durations.
 *
 * @param valuesMs The durations.
 * @returns Median, 99th percentile and maximum.
 */
export function summarize(valuesMs: readonly number[]): Summary {
  const histogram = build({
    highestTrackableValue: 3_600_000 * STEPS_PER_MS,
    numberOfSignificantValueDigits: 4,
  });
  for (const valueMs of valuesMs) {
    histogram.recordValue(Math.max(1, Math.round(valueMs * STEPS_PER_MS)));
  }
  const at = (percentile: number) =>
    round(histogram.getValueAtPercentile(percentile) / STEPS_PER_MS);
  return {
    count: valuesMs.length,
    p50Ms: at(50),
    p99Ms: at(99),
    maxMs: round(histogram.maxValue / STEPS_PER_MS),
  };
}

/** Rounds to thousandths. */
export function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

/** Returns the middle of some values. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}

/**
 * Fits a line through points.
 *
 * @param points Pairs of x and y.
 * @returns Slope and intercept by least squares.
 */
export function fitLine(
  points: readonly (readonly [number, number])[],
): { slope: number; intercept: number } {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  let top = 0;
  let bottom = 0;
  for (const [x, y] of points) {
    top += (x - meanX) * (y - meanY);
    bottom += (x - meanX) ** 2;
  }
  const slope = bottom === 0 ? 0 : top / bottom;
  return { slope, intercept: meanY - slope * meanX };
}
