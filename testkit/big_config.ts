import { sha256Hex } from "../src/protocol/canonical_json.ts";
import type { SiteConfig } from "../src/protocol/config_schema.ts";
import { Rank, RANKS } from "../src/protocol/rank.ts";
import type { ConfigSource } from "../src/state/resource_set.ts";
import { sampleBase, sampleService } from "./sample_config.ts";

/** Number of services that the fleet is expected to have in two years. */
export const SERVICE_COUNT = 89;
/** Routes of each service. */
const ROUTES_PER_SERVICE = 2;
/** Callers that each service approves. */
const CALLERS_PER_SERVICE = 8;

/**
 * Builds the configuration that the fleet is expected to have in two years.
 *
 * @param revision Number that makes the configuration differ from others.
 */
export function bigSource(revision: number): ConfigSource {
  const base: SiteConfig = sampleBase();
  for (let number = 0; number < SERVICE_COUNT; number++) {
    const name = `service-${number}`;
    const callers = Array.from(
      { length: CALLERS_PER_SERVICE },
      (_, index) => `service-${(number + index) % SERVICE_COUNT}`,
    );
    base.callers[name] = {
      tokenDigests: [sha256Hex(`${name}-token`)],
      maxRunning: 1_000,
    };
    base.services[name] = sampleService({
      rank: RANKS[number % RANKS.length] ?? Rank.Bulk,
      timeoutMs: 1_000 + (number === 0 ? revision : 0),
      approvedCallers: callers,
    });
    for (let route = 0; route < ROUTES_PER_SERVICE; route++) {
      base.routes[`${name}-${route}`] = {
        pathPrefix: `/${name}/${route}`,
        service: name,
      };
    }
  }
  for (const service of Object.values(base.services)) {
    service.health.intervalMs = 1_000;
  }
  return { base: JSON.parse(JSON.stringify(base)), sites: { east: {} } };
}
