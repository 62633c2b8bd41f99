import { Delivery, type SiteConfig } from "../src/protocol/config_schema.ts";
import { Rank } from "../src/protocol/rank.ts";
import type { ConfigSource } from "../src/state/resource_set.ts";
import type { DomainPlan } from "../testkit/fleet.ts";
import {
  sampleBase,
  sampleService,
  sampleSource,
} from "../testkit/sample_config.ts";

/** A deployment with reduced slots, so that one machine can flood it. */
export interface Deployment {
  readonly name: string;
  /** Service of each rank; the standard one is at-most-once. */
  readonly services: Readonly<Record<Rank, string>>;
  /** Number of backend servers of each service. */
  readonly servers: Readonly<Record<Rank, number>>;
  /** Slots of a backend server; a fifth of the real ones. */
  readonly slots: number;
  readonly shares: Readonly<Record<Rank, number>>;
}

/** The Association: 5 lookup, 3 order and 3 proof servers of 20 slots. */
export const ASSOCIATION: Deployment = {
  name: "association",
  services: { urgent: "lookup", standard: "order", bulk: "proof" },
  servers: { urgent: 5, standard: 3, bulk: 3 },
  slots: 4,
  shares: { urgent: 0.5, standard: 0.25, bulk: 0.25 },
};

/** SewerSight: 4 report, 3 billing and 3 footage servers of 10 slots. */
export const SEWERSIGHT: Deployment = {
  name: "sewersight",
  services: { urgent: "report", standard: "billing", bulk: "footage" },
  servers: { urgent: 4, standard: 3, bulk: 3 },
  slots: 2,
  shares: { urgent: 0.5, standard: 0.25, bulk: 0.25 },
};

/** Both deployments. */
export const DEPLOYMENTS = [ASSOCIATION, SEWERSIGHT];

const DOMAINS = ["one", "two", "three"];

/**
 * Returns the configuration of a deployment.
 *
 * In addition to the route of each service, the urgent service has a route for
 * each rank, `/shared/RANK`, so that all ranks compete for the same slots.
 */
export function createSource(deployment: Deployment): ConfigSource {
  const { services, shares } = deployment;
  const base: SiteConfig = sampleBase();
  base.services = {};
  base.routes = {};
  for (const rank of [Rank.Urgent, Rank.Standard, Rank.Bulk]) {
    const name = services[rank];
    const isOnce = rank === Rank.Standard;
    base.services[name] = sampleService({
      rank,
      shares,
      delivery: isOnce ? Delivery.AtMostOnce : Delivery.Idempotent,
      timeoutMs: rank === Rank.Urgent ? 1_000 : 5_000,
      slowStartMs: 500,
    });
    base.routes[name] = { pathPrefix: `/${name}`, service: name };
    base.routes[`shared-${rank}`] = {
      pathPrefix: `/shared/${rank}`,
      service: services.urgent,
      rank,
    };
  }
  return sampleSource(base);
}

/** Spreads the backend servers of a deployment over three domains. */
export function planDomains(deployment: Deployment): DomainPlan[] {
  const plans = DOMAINS.map((name) => ({ name, services: [] as string[] }));
  let next = 0;
  for (const rank of [Rank.Urgent, Rank.Standard, Rank.Bulk]) {
    for (let server = 0; server < deployment.servers[rank]; server++) {
      plans[next++ % plans.length]!.services.push(deployment.services[rank]);
    }
  }
  return plans;
}
