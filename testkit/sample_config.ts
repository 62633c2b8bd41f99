import { sha256Hex } from "../src/protocol/canonical_json.ts";
import type { Service, SiteConfig } from "../src/protocol/config_schema.ts";
import { Delivery } from "../src/protocol/config_schema.ts";
import { Rank } from "../src/protocol/rank.ts";
import type { ConfigSource } from "../src/state/resource_set.ts";

/** Token of a caller that all services approve. */
export const VENDOR_TOKEN = "vendor-token";
/** Token of a caller that no service approves. */
export const UNAPPROVED_TOKEN = "stranger-token";

/** Builds a service with defaults for tests. */
export function sampleService(fields: Partial<Service> = {}): Service {
  return {
    owner: "team",
    rank: Rank.Urgent,
    delivery: Delivery.Idempotent,
    timeoutMs: 2_000,
    maxBodyBytes: 16 * 1024 * 1024,
    shares: { urgent: 0.5, standard: 0.3, bulk: 0.2 },
    queuePerRank: 100,
    maxEjectedShare: 0.5,
    slowStartMs: 0,
    approvedCallers: ["vendor"],
    health: {
      path: "/health",
      intervalMs: 200,
      timeoutMs: 500,
      failuresToEject: 3,
    },
    ...fields,
  };
}

/** Builds a base with a service of each rank, like those of the Association. */
export function sampleBase(): SiteConfig {
  return {
    services: {
      lookup: sampleService(),
      order: sampleService({
        rank: Rank.Standard,
        delivery: Delivery.AtMostOnce,
        timeoutMs: 5_000,
      }),
      proof: sampleService({ rank: Rank.Bulk, timeoutMs: 20_000 }),
    },
    routes: {
      lookup: { pathPrefix: "/lookup", service: "lookup" },
      order: { pathPrefix: "/order", service: "order" },
      proof: { pathPrefix: "/proof", service: "proof" },
    },
    callers: {
      vendor: { tokenDigests: [sha256Hex(VENDOR_TOKEN)], maxRunning: 1_000 },
      stranger: {
        tokenDigests: [sha256Hex(UNAPPROVED_TOKEN)],
        maxRunning: 1_000,
      },
    },
  };
}

/** Builds a source of a base without overlays. */
export function sampleSource(base: SiteConfig = sampleBase()): ConfigSource {
  return { base: JSON.parse(JSON.stringify(base)), sites: {} };
}

/** Builds the sample source with the health check interval of production. */
export function productionSource(): ConfigSource {
  const base = sampleBase();
  for (const service of Object.values(base.services)) {
    service.health.intervalMs = 1_000;
  }
  return sampleSource(base);
}
