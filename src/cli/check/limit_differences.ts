import type { Service, SiteConfig } from "../../protocol/config_schema.ts";
import type { JsonPath } from "../../protocol/source_document.ts";
import { RANKS } from "../../protocol/rank.ts";
import type { ConfigSnapshot } from "../../state/config_snapshot.ts";
import { type Finding, FindingKind } from "./finding.ts";
import type { SiteView } from "./site_view.ts";

/** A numeric limit with its path below the resource. */
interface Limit {
  readonly path: readonly string[];
  readonly value: number;
}

/**
 * Finds the limits that are lower than in an earlier version, and the routes
 * and services whose requests are served under stricter terms.
 *
 * @param before The site's compiled configuration of the earlier version.
 * @param snapshot The earlier version's snapshot.
 * @param after The site's compiled configuration of the later version.
 * @returns The findings.
 *
 * @example
 * ```ts ignore
 * findLimitDifferences(inForce, new ConfigSnapshot(3, inForce), view);
 * ```
 */
export function findLimitDifferences(
  before: SiteConfig,
  snapshot: ConfigSnapshot,
  after: SiteView,
): Finding[] {
  const servicesBefore = new Map(Object.entries(before.services));
  const callersBefore = new Map(Object.entries(before.callers));
  return [
    ...Object.entries(after.config.services).flatMap(([name, service]) => {
      const earlier = servicesBefore.get(name);
      if (earlier === undefined) return [];
      const limits = {
        before: listServiceLimits(earlier),
        after: listServiceLimits(service),
      };
      const { approvedCallers } = service;
      return [
        ...compareLimits(after, ["services", name], limits, approvedCallers),
        ...compareDelivery(after, name, { before: earlier, after: service }),
      ];
    }),
    ...Object.entries(after.config.callers).flatMap(([name, caller]) => {
      const earlier = callersBefore.get(name);
      if (earlier === undefined) return [];
      const limits = {
        before: [{ path: ["maxRunning"], value: earlier.maxRunning }],
        after: [{ path: ["maxRunning"], value: caller.maxRunning }],
      };
      return compareLimits(after, ["callers", name], limits, [name]);
    }),
    ...compareRanks(snapshot, after),
  ];
}

function listServiceLimits(service: Service): Limit[] {
  return [
    { path: ["timeoutMs"], value: service.timeoutMs },
    { path: ["maxBodyBytes"], value: service.maxBodyBytes },
    { path: ["queuePerRank"], value: service.queuePerRank },
    ...RANKS.map((rank) => ({
      path: ["shares", rank],
      value: service.shares[rank],
    })),
  ];
}

function compareLimits(
  view: SiteView,
  resource: JsonPath,
  limits: { before: readonly Limit[]; after: readonly Limit[] },
  callers: readonly string[],
): Finding[] {
  return limits.after.flatMap(({ path, value }, index) => {
    const before = limits.before[index]!.value;
    if (value >= before) return [];
    return [
      view.find([...resource, ...path], {
        kind: FindingKind.LimitLowered,
        limit: path.join("."),
        before,
        after: value,
        callers,
      }),
    ];
  });
}

function compareDelivery(
  view: SiteView,
  service: string,
  versions: { before: Service; after: Service },
): Finding[] {
  const before = versions.before.delivery;
  const after = versions.after.delivery;
  if (before === after) return [];
  return [
    view.find(["services", service, "delivery"], {
      kind: FindingKind.DeliveryChanged,
      service,
      before,
      after,
      callers: versions.after.approvedCallers,
    }),
  ];
}

function compareRanks(before: ConfigSnapshot, after: SiteView): Finding[] {
  const routesBefore = new Map(
    before.routes.map((route) => [route.name, route]),
  );
  return after.snapshot.routes.flatMap((route) => {
    const earlier = routesBefore.get(route.name);
    if (earlier === undefined) return [];
    if (RANKS.indexOf(route.rank) <= RANKS.indexOf(earlier.rank)) return [];
    const ownRank: JsonPath = ["routes", route.name, "rank"];
    const hasOwnRank = after.config.routes[route.name]?.rank !== undefined;
    return [
      after.find(
        hasOwnRank ? ownRank : ["services", route.serviceName, "rank"],
        {
          kind: FindingKind.RankLowered,
          route: route.name,
          before: earlier.rank,
          after: route.rank,
          callers: route.service.approvedCallers,
        },
      ),
    ];
  });
}
