import type { ConfigDocuments } from "../../coordination/config/check_documents.ts";
import { isJsonObject, type Json } from "../../protocol/canonical_json.ts";
import type { JsonPath } from "../../protocol/source_document.ts";
import { type Finding, FindingKind } from "./finding.ts";
import { isPossiblePrefix } from "./request_classes.ts";
import type { SiteView } from "./site_view.ts";

/**
 * Finds the entries of a configuration that never take effect.
 *
 * A service or caller that only some sites do not use is no finding. A route
 * cannot come after a broader one: the longest path prefix is chosen, and the
 * compiler rejects two routes with the same prefix and method.
 *
 * @param views The compiled configurations of all sites.
 * @returns The findings.
 *
 * @example
 * ```ts ignore
 * findNeverMatching(views).map(({ kind }) => kind);
 * ```
 */
export function findNeverMatching(views: readonly SiteView[]): Finding[] {
  return views.flatMap((view) => [
    ...findUnmatchableRoutes(view),
    ...findDuplicateApprovals(view),
    ...findUnusedServices(view, views),
    ...findUnusedCallers(view, views),
  ]);
}

/**
 * Finds the fields that an overlay removes although the base has none.
 *
 * @param documents The source files.
 * @returns The findings.
 *
 * @example
 * ```ts ignore
 * findAbsentRemovals({ base, overlays: { east } });
 * ```
 */
export function findAbsentRemovals(documents: ConfigDocuments): Finding[] {
  return Object.entries(documents.overlays).flatMap(([site, overlay]) =>
    listAbsentRemovals(documents.base.value, overlay.value, [])
      .map((path): Finding => {
        const { file, line, column } = overlay.problemAt(path, "");
        const position = { file, line, column, path };
        return {
          kind: FindingKind.RemovalOfAbsent,
          ...position,
          sites: [site],
        };
      })
  );
}

function findUnmatchableRoutes(view: SiteView): Finding[] {
  const findings: Finding[] = [];
  for (const [route, body] of Object.entries(view.config.routes)) {
    if (body.methods?.length === 0) {
      findings.push(
        view.find(["routes", route, "methods"], {
          kind: FindingKind.RouteWithoutMethods,
          route,
        }),
      );
    }
    if (!isPossiblePrefix(body.pathPrefix)) {
      findings.push(
        view.find(["routes", route, "pathPrefix"], {
          kind: FindingKind.UnmatchablePrefix,
          route,
          pathPrefix: body.pathPrefix,
        }),
      );
    }
  }
  return findings;
}

function findDuplicateApprovals(view: SiteView): Finding[] {
  return Object.entries(view.config.services).flatMap(([service, body]) =>
    [...body.approvedCallers.entries()]
      .filter(([index, caller]) =>
        body.approvedCallers.indexOf(caller) !== index
      )
      .map(([index, caller]) =>
        view.find(["services", service, "approvedCallers", index], {
          kind: FindingKind.DuplicateApproval,
          service,
          caller,
        })
      )
  );
}

function findUnusedServices(
  view: SiteView,
  views: readonly SiteView[],
): Finding[] {
  const findings: Finding[] = [];
  for (const service of view.snapshot.serviceNames) {
    if (!views.some((site) => isRouted(site, service))) {
      findings.push(
        view.find(["services", service], {
          kind: FindingKind.ServiceWithoutRoute,
          service,
        }),
      );
    }
    if (!views.some((site) => approvesAny(site, service))) {
      findings.push(
        view.find(["services", service, "approvedCallers"], {
          kind: FindingKind.ServiceWithoutCaller,
          service,
        }),
      );
    }
  }
  return findings;
}

function findUnusedCallers(
  view: SiteView,
  views: readonly SiteView[],
): Finding[] {
  return Object.keys(view.config.callers)
    .filter((caller) => !views.some((site) => isApprovedByAny(site, caller)))
    .map((caller) =>
      view.find(["callers", caller], {
        kind: FindingKind.CallerWithoutApproval,
        caller,
      })
    );
}

function isRouted(view: SiteView, service: string): boolean {
  return view.snapshot.routes.some((route) => route.serviceName === service);
}

function approvesAny({ snapshot }: SiteView, service: string): boolean {
  return (snapshot.findService(service)?.approvedCallers.length ?? 0) > 0;
}

function isApprovedByAny({ snapshot }: SiteView, caller: string): boolean {
  return snapshot.serviceNames.some((service) =>
    snapshot.isApproved(caller, service)
  );
}

function listAbsentRemovals(
  target: Json | undefined,
  patch: Json,
  path: JsonPath,
): JsonPath[] {
  if (!isJsonObject(patch)) return [];
  return Object.entries(patch).flatMap(([key, value]) => {
    const child = isJsonObject(target) && Object.hasOwn(target, key)
      ? target[key]
      : undefined;
    if (value !== null) return listAbsentRemovals(child, value, [...path, key]);
    return child === undefined ? [[...path, key]] : [];
  });
}
