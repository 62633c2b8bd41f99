import { build } from "hdr-histogram-js";

/** Histogram units in a millisecond. */
const UNITS_PER_MS = 1_000;

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
    highestTrackableValue: 3_600_000 * UNITS_PER_MS,
    numberOfSignificantValueDigits: 4,
  });
  for (const valueMs of valuesMs) {
    histogram.recordValue(Math.max(1, Math.round(valueMs * UNITS_PER_MS)));
  }
  const at = (percentile: number) =>
    round(histogram.getValueAtPercentile(percentile) / UNITS_PER_MS);
  return {
    count: valuesMs.length,
    p50Ms: at(50),
    p99Ms: at(99),
    maxMs: round(histogram.maxValue / UNITS_PER_MS),
  };
}

/** Rounds a number to three decimals. */
export function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

/** Returns the median, the upper one of an even number of values. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}

/**
 * Fits a line to points by least squares.
 *
 * @param points Pairs of x and y.
 * @returns Slope and intercept.
 */
export function fitLine(
  points: readonly (readonly [number, number])[],
): { slope: number; intercept: number } {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  let numerator = 0;
  let denominator = 0;
  for (const [x, y] of points) {
    numerator += (x - meanX) * (y - meanY);
    denominator += (x - meanX) ** 2;
  }
  const slope = denominator === 0 ? 0 : numerator / denominator;
  return { slope, intercept: meanY - slope * meanX };
}
