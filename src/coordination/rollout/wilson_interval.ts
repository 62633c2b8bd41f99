/** Bounds of a share. */
export interface ShareInterval {
  readonly lower: number;
  readonly upper: number;
}

/**
 * Returns the Wilson score interval of a share, which also holds for few
 * samples and for shares near 0 and 1.
 *
 * @param hits Number of samples that count.
 * @param total Number of all samples.
 * @param deviations Half width of the interval, in standard deviations.
 * @returns The interval; 0 to 1 without samples.
 *
 * @example
 * ```ts
 * wilsonInterval(0, 0, 3); // { lower: 0, upper: 1 }
 * ```
 */
export function wilsonInterval(
  hits: number,
  total: number,
  deviations: number,
): ShareInterval {
  if (total <= 0) return { lower: 0, upper: 1 };
  const share = hits / total;
  const square = deviations * deviations;
  const scale = 1 + square / total;
  const center = (share + square / (2 * total)) / scale;
  const half = deviations * Math.sqrt(
    share * (1 - share) / total + square / (4 * total * total),
  ) / scale;
  return {
    lower: Math.max(0, center - half),
    upper: Math.min(1, center + half),
  };
}
