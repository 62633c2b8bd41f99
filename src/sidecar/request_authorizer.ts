import type {
  MeshConfig,
  MeshOrganisation,
  MeshRoute,
} from "../protocol/mesh.ts";
import type { RouteTable } from "../state/route_table.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { LogRateLimiter } from "../transport/observe/log_rate_limiter.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";

/** Retry-After value before a configuration is known, in ms. */
const NO_CONFIG_RETRY_AFTER_MS = 300;
/** Age of the configuration up to which it may deny a request, in ms. */
const MAX_CONFIG_AGE_MS = 2_000;
/** Retry-After value if it is not known whether a request is allowed, in ms. */
const UNCONFIRMED_RETRY_AFTER_MS = 500;
/** Most log lines about denied requests in a second. */
const MAX_DENIED_LINES_PER_S = 20;

const NOT_FOUND_STATUS = 404;
const UNAUTHORIZED_STATUS = 401;

/** Options of a {@linkcode RequestAuthorizer}. */
export interface RequestAuthorizerOptions {
  readonly routes: RouteTableHolder;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
  /** Time since the configuration was known to be the newest, in ms. */
  readonly configAgeMs: () => number;
  /** Reads the newest configuration; returns whether it is in force now. */
  readonly confirmConfig: () => Promise<boolean>;
}

/** The parts of a request that decide whether it is allowed. */
export interface RequestClaim {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  /** Key of the caller's organisation; empty if it sent none. */
  readonly key: string;
}

/** A request that is allowed. */
export interface AllowedRequest {
  readonly kind: "allowed";
  readonly config: MeshConfig;
  readonly route: MeshRoute;
  readonly organisation: MeshOrganisation | undefined;
}

/** Whether a request may be forwarded. */
export type Authorization =
  | AllowedRequest
  | {
    readonly kind: "denied";
    readonly status: number;
    readonly retryAfterMs?: number;
  };

type DenialKind = "no-route" | "unknown-key";

type Verdict = AllowedRequest | { readonly kind: DenialKind };

/**
 * Decides whether a request is allowed by the newest configuration.
 *
 * A denial is a claim about the newest configuration: one that may be outdated
 * is read again first, and if that fails the caller is told to come back.
 *
 * @example
 * ```ts ignore
 * const authorization = await authorizer.authorize(claim);
 * ```
 */
export class RequestAuthorizer {
  readonly #options: RequestAuthorizerOptions;
  /** By reason: a flood of one kind hides none of the other. */
  readonly #deniedLines: Readonly<Record<DenialKind, LogRateLimiter>>;

  /**
   * Creates an authorizer.
   *
   * @param options Configuration and its age.
   */
  constructor(options: RequestAuthorizerOptions) {
    this.#options = options;
    const { log } = options;
    this.#deniedLines = {
      "no-route": new LogRateLimiter(log, MAX_DENIED_LINES_PER_S),
      "unknown-key": new LogRateLimiter(log, MAX_DENIED_LINES_PER_S),
    };
  }

  /**
   * Finds the route and the organisation of a request.
   *
   * @param claim The request.
   * @returns Whether it is allowed.
   */
  async authorize(claim: RequestClaim): Promise<Authorization> {
    const { routes, configAgeMs, confirmConfig } = this.#options;
    if (routes.current === undefined) {
      return {
        kind: "denied",
        status: 503,
        retryAfterMs: NO_CONFIG_RETRY_AFTER_MS,
      };
    }
    let verdict = check(routes.current, claim);
    if (verdict.kind === "allowed") return verdict;
    let isCurrent = configAgeMs() <= MAX_CONFIG_AGE_MS;
    if (!isCurrent) {
      const isConfirmed = await confirmConfig();
      verdict = check(routes.current, claim);
      if (verdict.kind === "allowed") return verdict;
      isCurrent = isConfirmed || configAgeMs() <= MAX_CONFIG_AGE_MS;
    }
    this.#logDenied(claim, verdict.kind, isCurrent);
    if (!isCurrent) {
      return {
        kind: "denied",
        status: 503,
        retryAfterMs: UNCONFIRMED_RETRY_AFTER_MS,
      };
    }
    return {
      kind: "denied",
      status: verdict.kind === "no-route"
        ? NOT_FOUND_STATUS
        : UNAUTHORIZED_STATUS,
    };
  }

  #logDenied(
    { id }: RequestClaim,
    kind: DenialKind,
    isCurrent: boolean,
  ): void {
    const { log, metrics, routes, configAgeMs } = this.#options;
    const isRoute = kind === "no-route";
    metrics.count(isRoute ? "routes_unknown_total" : "keys_unknown_total");
    if (!this.#deniedLines[kind].allows(performance.now())) return;
    log.info(isRoute ? "route-unknown" : "key-unknown", {
      id,
      configVersion: routes.version,
      configAgeMs: Math.round(configAgeMs()),
      isCurrent,
    });
  }
}

function check(table: RouteTable, claim: RequestClaim): Verdict {
  const route = table.find(claim.host, claim.path);
  if (route === undefined) return { kind: "no-route" };
  const { config, organisations } = table;
  const organisation = organisations?.findByKey(claim.key);
  const needsKey = organisations !== undefined && route.isPublic !== true;
  if (needsKey && organisation === undefined) return { kind: "unknown-key" };
  return { kind: "allowed", config, route, organisation };
}
