import type { RouteSamples, SampleCounts } from "../../protocol/rollout.ts";

/** Classes of response times; each is longer than the last one by root 2. */
export const TIME_CLASSES = 36;
/** Number of classes by which a response time doubles. */
const CLASSES_PER_DOUBLING = 2;

/** No results. */
export const NO_SAMPLES: SampleCounts = { requests: 0, failures: 0, times: [] };

/**
 * Returns the class of a response time.
 *
 * @param timeMs The response time, in ms.
 * @returns The class, from 0.
 *
 * @example
 * ```ts
 * timeClassOf(16); // 8
 * ```
 */
export function timeClassOf(timeMs: number): number {
  const exact = CLASSES_PER_DOUBLING * Math.log2(Math.max(1, timeMs));
  return Math.min(TIME_CLASSES - 1, Math.floor(exact));
}

/**
 * Adds up results.
 *
 * @param a Results.
 * @param b Further results.
 * @param factor Multiplies the further results; -1 subtracts them.
 * @returns The sums.
 *
 * @example
 * ```ts
 * addSamples(NO_SAMPLES, { requests: 2, failures: 1, times: [1] });
 * ```
 */
export function addSamples(
  a: SampleCounts,
  b: SampleCounts,
  factor = 1,
): SampleCounts {
  const length = Math.max(a.times.length, b.times.length);
  return {
    requests: a.requests + factor * b.requests,
    failures: a.failures + factor * b.failures,
    times: Array.from(
      { length },
      (_, index) => (a.times[index] ?? 0) + factor * (b.times[index] ?? 0),
    ),
  };
}

/**
 * Adds up results by route.
 *
 * @param sums Sums by route, which are changed.
 * @param routes Further results.
 * @param factor Multiplies the further results; -1 subtracts them.
 *
 * @example
 * ```ts
 * addRoutes(new Map(), []);
 * ```
 */
export function addRoutes(
  sums: Map<string, RouteSamples>,
  routes: readonly RouteSamples[],
  factor = 1,
): void {
  for (const { route, former, target } of routes) {
    const sum = sums.get(route);
    sums.set(route, {
      route,
      former: addSamples(sum?.former ?? NO_SAMPLES, former, factor),
      target: addSamples(sum?.target ?? NO_SAMPLES, target, factor),
    });
  }
}
