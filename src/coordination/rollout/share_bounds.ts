/** Terms of a sum beyond which the rest does not matter. */
const NEGLIGIBLE = 1e-12;

/**
 * Returns the upper end of the Wilson score interval of a share, which also
 * holds for few samples and for shares near 0 and 1.
 *
 * @param hits Number of samples that count.
 * @param total Number of all samples.
 * @param deviations Half width of the interval, in standard deviations.
 * @returns The upper bound; 1 without samples.
 *
 * @example
 * ```ts
 * wilsonUpperBound(0, 0, 3); // 1
 * ```
 */
export function wilsonUpperBound(
  hits: number,
  total: number,
  deviations: number,
): number {
  if (total <= 0) return 1;
  const share = hits / total;
  const square = deviations * deviations;
  const scale = 1 + square / total;
  const center = (share + square / (2 * total)) / scale;
  const half = deviations * Math.sqrt(
    share * (1 - share) / total + square / (4 * total * total),
  ) / scale;
  return Math.min(1, center + half);
}

/**
 * Returns the probability of at least so many hits by chance. Unlike an
 * approximation, it is right for a few samples that are all hits.
 *
 * @param hits Number of samples that count.
 * @param total Number of all samples.
 * @param share Probability of each sample to count.
 * @returns The probability.
 *
 * @example
 * ```ts
 * chanceOfHits(2, 2, 0.5); // 0.25
 * ```
 */
export function chanceOfHits(
  hits: number,
  total: number,
  share: number,
): number {
  if (hits <= total * share) return 1;
  if (share <= 0) return 0;
  const odds = Math.log(share) - Math.log1p(-share);
  let logTerm = total * Math.log1p(-share);
  for (let count = 1; count <= hits; count++) {
    logTerm += Math.log((total - count + 1) / count) + odds;
  }
  // The terms shrink, as the hits are beyond the expected number.
  let sum = 0;
  let term = Math.exp(logTerm);
  for (let count = hits; count <= total; count++) {
    sum += term;
    if (term < sum * NEGLIGIBLE) break;
    term *= (total - count) / (count + 1) * share / (1 - share);
  }
  return Math.min(1, sum);
}
