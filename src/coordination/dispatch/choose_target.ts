import type { RouteTarget } from "../../protocol/mesh.ts";

/**
 * Chooses one of a route's targets in proportion to their weights.
 *
 * @param targets The targets.
 * @param fraction A random number, 0 <= fraction < 1.
 * @returns The target; `undefined` if all weights are 0.
 *
 * @example
 * ```ts
 * chooseTarget([{ service: "a", weight: 1 }], 0.5); // { service: "a", weight: 1 }
 * ```
 */
export function chooseTarget(
  targets: readonly RouteTarget[],
  fraction: number,
): RouteTarget | undefined {
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let left = fraction * total;
  for (const target of targets) {
    left -= target.weight;
    if (left < 0) return target;
  }
  return undefined;
}
