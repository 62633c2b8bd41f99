import type { SiteConfig } from "../../protocol/config_schema.ts";
import type { JsonPath } from "../../protocol/source_document.ts";
import type { ResolvedRoute } from "../../state/config_snapshot.ts";
import { type Finding, FindingKind } from "./finding.ts";
import type { RequestClass, RoutedClass } from "./request_classes.ts";
import type { SiteView } from "./site_view.ts";

/** A change of the access of one caller to one service. */
interface AccessChange {
  readonly kind: FindingKind.AccessGained | FindingKind.AccessLost;
  readonly caller: string;
  readonly service: string;
  readonly path: JsonPath;
  readonly requests: RequestClass[];
}

/**
 * Finds the callers that gain or lose access to requests.
 *
 * @param classes Classes of requests with their routes in both versions.
 * @param after The site's compiled configuration of the later version.
 * @returns The findings: one for each caller and service.
 *
 * @example
 * ```ts ignore
 * findAccessDifferences(routeClasses(inForce, view.snapshot), view);
 * ```
 */
export function findAccessDifferences(
  classes: readonly RoutedClass[],
  after: SiteView,
): Finding[] {
  const changes = new Map<string, AccessChange>();
  const add = (
    kind: AccessChange["kind"],
    caller: string,
    { request, route, path }: {
      request: RequestClass;
      route: ResolvedRoute;
      path: JsonPath;
    },
  ) => {
    const key = `${kind} ${caller} ${route.serviceName}`;
    const change = changes.get(key) ??
      { kind, caller, service: route.serviceName, path, requests: [] };
    change.requests.push(request);
    changes.set(key, change);
  };
  for (const { request, before, after: later } of classes) {
    const allowedBefore = allowedCallers(before);
    const allowedAfter = allowedCallers(later);
    for (const caller of allowedAfter) {
      if (allowedBefore.has(caller)) continue;
      const path = gainPath(caller, before, later!);
      add(FindingKind.AccessGained, caller, { request, route: later!, path });
    }
    for (const caller of allowedBefore) {
      if (allowedAfter.has(caller)) continue;
      const path = lossPath(caller, before!, after);
      add(FindingKind.AccessLost, caller, { request, route: before!, path });
    }
  }
  return [...changes.values()].map(({ path, ...detail }) =>
    after.find(path, detail)
  );
}

/**
 * Finds the credentials that are added to and removed from callers that exist
 * in both versions.
 *
 * @param before The site's compiled configuration of the earlier version.
 * @param after The site's compiled configuration of the later version.
 * @returns The findings.
 *
 * @example
 * ```ts ignore
 * findCredentialDifferences(inForce, view);
 * ```
 */
export function findCredentialDifferences(
  before: SiteConfig,
  after: SiteView,
): Finding[] {
  const callersBefore = new Map(Object.entries(before.callers));
  return Object.entries(after.config.callers).flatMap(([caller, later]) => {
    const earlier = callersBefore.get(caller);
    if (earlier === undefined) return [];
    const path: JsonPath = ["callers", caller, "tokenDigests"];
    const added = later.tokenDigests
      .filter((digest) => !earlier.tokenDigests.includes(digest));
    const removed = earlier.tokenDigests
      .filter((digest) => !later.tokenDigests.includes(digest));
    return [
      ...added.map((digest) =>
        after.find([...path, later.tokenDigests.indexOf(digest)], {
          kind: FindingKind.CredentialAdded,
          caller,
          digest,
        })
      ),
      ...removed.map((digest) =>
        after.find(path, {
          kind: FindingKind.CredentialRemoved,
          caller,
          digest,
        })
      ),
    ];
  });
}

function allowedCallers(route: ResolvedRoute | undefined): Set<string> {
  return new Set(route?.service.approvedCallers);
}

/** Path to the approval if it is new, else to the route. */
function gainPath(
  caller: string,
  before: ResolvedRoute | undefined,
  after: ResolvedRoute,
): JsonPath {
  return before?.serviceName === after.serviceName
    ? approvalPath(caller, after)
    : ["routes", after.name];
}

/** Path to what was removed: the caller, its approval or the route. */
function lossPath(
  caller: string,
  before: ResolvedRoute,
  after: SiteView,
): JsonPath {
  if (!Object.hasOwn(after.config.callers, caller)) return ["callers", caller];
  const service = after.snapshot.findService(before.serviceName);
  if (service === undefined) return ["services", before.serviceName];
  return service.approvedCallers.includes(caller)
    ? ["routes", before.name]
    : ["services", before.serviceName, "approvedCallers"];
}

function approvalPath(caller: string, route: ResolvedRoute): JsonPath {
  const index = route.service.approvedCallers.indexOf(caller);
  return ["services", route.serviceName, "approvedCallers", index];
}
