import type { JsonPath } from "../../protocol/source_document.ts";
import { type Finding, FindingKind } from "./finding.ts";
import type { RequestClass, RoutedClass } from "./request_classes.ts";
import type { SiteView } from "./site_view.ts";

/** Requests that one route moves from one service to another. */
interface Move {
  readonly from: string;
  readonly to: string | undefined;
  readonly path: JsonPath;
  readonly requests: RequestClass[];
}

/**
 * Finds the requests that are sent to another service than before, or to none.
 *
 * @param classes Classes of requests with their routes in both versions.
 * @param after The site's compiled configuration of the later version.
 * @returns The findings: one for each route and pair of services.
 *
 * @example
 * ```ts ignore
 * findTrafficDifferences(routeClasses(inForce, view.snapshot), view);
 * ```
 */
export function findTrafficDifferences(
  classes: readonly RoutedClass[],
  after: SiteView,
): Finding[] {
  const moves = new Map<string, Move>();
  for (const { request, before, after: later } of classes) {
    if (before === undefined) continue;
    const from = before.serviceName;
    const to = later?.serviceName;
    if (from === to) continue;
    const path = ["routes", later?.name ?? before.name];
    const key = JSON.stringify([from, to, path]);
    const move = moves.get(key) ?? { from, to, path, requests: [] };
    move.requests.push(request);
    moves.set(key, move);
  }
  return [...moves.values()].map(({ path, ...move }) =>
    after.find(path, { kind: FindingKind.TrafficMoved, ...move })
  );
}
