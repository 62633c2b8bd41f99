import * as z from "zod";
import { MAX_TIMEOUT_MS } from "./limits.ts";
import { Rank } from "./rank.ts";

/** Delivery guarantee of a service's requests. */
export enum Delivery {
  /** A request may safely run more than once. */
  Idempotent = "idempotent",
  /** Each request needs an idempotency key and a durable claim. */
  AtMostOnce = "at-most-once",
}

const NAME = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "must be 1 to 63 lower-case letters, digits or hyphens",
);
const SHARE = z.number().min(0).max(1);
const COUNT = z.number().int().min(1).max(1_000_000);

const HEALTH = z.strictObject({
  path: z.string().startsWith("/"),
  intervalMs: z.number().int().min(50).max(60_000),
  timeoutMs: z.number().int().min(10).max(60_000),
  failuresToEject: z.number().int().min(1).max(100),
});

/** Schema of a service. */
export const SERVICE_SCHEMA = z.strictObject({
  owner: NAME,
  rank: z.enum(Rank),
  delivery: z.enum(Delivery),
  /** Longest time that a call may take, in ms. */
  timeoutMs: z.number().int().min(1).max(MAX_TIMEOUT_MS),
  maxBodyBytes: z.number().int().min(0).max(64 * 1024 ** 3),
  /** Share of a backend server's slots guaranteed to each rank. */
  shares: z.strictObject({
    [Rank.Urgent]: SHARE,
    [Rank.Standard]: SHARE,
    [Rank.Bulk]: SHARE,
  }).refine(
    (shares) => shares.urgent + shares.standard + shares.bulk <= 1.0001,
    "shares add up to more than 1",
  ),
  queuePerRank: COUNT,
  /** Largest share of the backend servers that may be ejected at once. */
  maxEjectedShare: SHARE,
  slowStartMs: z.number().int().min(0).max(600_000),
  approvedCallers: z.array(NAME),
  health: HEALTH,
});

/** Schema of a route: requests under a path prefix go to a service. */
export const ROUTE_SCHEMA = z.strictObject({
  pathPrefix: z.string().startsWith("/"),
  methods: z.array(z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]))
    .optional(),
  service: NAME,
  /** Rank of the route's requests; the service's rank where absent. */
  rank: z.enum(Rank).optional(),
});

/** Schema of a caller. */
export const CALLER_SCHEMA = z.strictObject({
  /** SHA-256 of the caller's token, in hexadecimal. */
  tokenDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1).max(4),
  maxRunning: COUNT,
});

/** Schema of a base file, and of a site's effective configuration. */
export const BASE_SCHEMA = z.strictObject({
  services: z.record(NAME, SERVICE_SCHEMA),
  routes: z.record(NAME, ROUTE_SCHEMA),
  callers: z.record(NAME, CALLER_SCHEMA),
});

/** Schema of an overlay: an RFC 7396 merge patch on the base. */
export const OVERLAY_SCHEMA = z.strictObject({
  services: z.record(
    NAME,
    z.union([z.null(), z.record(z.string(), z.json())]),
  ).optional(),
  routes: z.record(NAME, z.union([z.null(), z.record(z.string(), z.json())]))
    .optional(),
  callers: z.record(NAME, z.union([z.null(), z.record(z.string(), z.json())]))
    .optional(),
});

/** A service of a site's configuration. */
export type Service = z.infer<typeof SERVICE_SCHEMA>;
/** A route of a site's configuration. */
export type Route = z.infer<typeof ROUTE_SCHEMA>;
/** A caller of a site's configuration. */
export type Caller = z.infer<typeof CALLER_SCHEMA>;
/** A site's effective configuration. */
export type SiteConfig = z.infer<typeof BASE_SCHEMA>;
