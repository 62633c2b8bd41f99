import type { Service } from "../../protocol/config_schema.ts";
import type { ResolvedRoute } from "../../state/config_snapshot.ts";
import { type Finding, FindingKind } from "./finding.ts";
import type { SiteView } from "./site_view.ts";

/** Methods whose requests usually have a body. */
const METHODS_WITH_BODY = ["POST", "PUT", "PATCH"];

/**
 * Finds limits of a site's configuration that contradict each other.
 *
 * @param view The site's compiled configuration.
 * @returns The findings.
 *
 * @example
 * ```ts ignore
 * findContradictions(view).map(({ kind }) => kind);
 * ```
 */
export function findContradictions(view: SiteView): Finding[] {
  return [
    ...Object.entries(view.config.services).flatMap(([name, service]) =>
      checkProbe(view, name, service)
    ),
    ...view.snapshot.routes.flatMap((route) => [
      ...checkShare(view, route),
      ...checkBody(view, route),
    ]),
  ];
}

/**
 * A backend server that needs longer than any request may take still counts as
 * healthy if its probes may take longer than that.
 */
function checkProbe(
  view: SiteView,
  name: string,
  service: Service,
): Finding[] {
  const probeTimeoutMs = service.health.timeoutMs;
  const { timeoutMs } = service;
  if (probeTimeoutMs <= timeoutMs) return [];
  return [
    view.find(["services", name, "health", "timeoutMs"], {
      kind: FindingKind.ProbeOutlastsRequests,
      service: name,
      probeTimeoutMs,
      timeoutMs,
    }),
  ];
}

/** Requests of a rank without a share wait as long as others have work. */
function checkShare(view: SiteView, route: ResolvedRoute): Finding[] {
  const { name, rank, service, serviceName } = route;
  if (service.shares[rank] > 0) return [];
  return [
    view.find(["services", serviceName, "shares", rank], {
      kind: FindingKind.RankWithoutShare,
      route: name,
      service: serviceName,
      rank,
    }),
  ];
}

function checkBody(view: SiteView, route: ResolvedRoute): Finding[] {
  const { name, service, serviceName } = route;
  const methods = METHODS_WITH_BODY.filter((method) =>
    route.methods?.has(method)
  );
  if (service.maxBodyBytes > 0 || methods.length === 0) return [];
  return [
    view.find(["services", serviceName, "maxBodyBytes"], {
      kind: FindingKind.NoBodyAllowed,
      route: name,
      service: serviceName,
      methods,
    }),
  ];
}
