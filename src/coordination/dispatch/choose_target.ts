import type { RouteTarget } from "../../protocol/mesh.ts";

/**
 * Picks one of a route's targets in proportion to their weights.
 *
 * @param targets The targets.
 * @param fraction A random number from 0 up to 1.
 * @returns The target; `undefined` where none has any weight.
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
