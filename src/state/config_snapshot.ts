import type {
  Caller,
  Route,
  Service,
  SiteConfig,
} from "../protocol/config_schema.ts";
import type { Rank } from "../protocol/rank.ts";

/** A route with its service and effective rank. */
export interface ResolvedRoute {
  readonly name: string;
  readonly pathPrefix: string;
  readonly methods: ReadonlySet<string> | undefined;
  readonly serviceName: string;
  readonly service: Service;
  readonly rank: Rank;
}

/** A caller with its name. */
export interface ResolvedCaller extends Caller {
  readonly name: string;
}

/**
 * An immutable snapshot of one version of a site's configuration.
 *
 * @example
 * ```ts
 * const config = { services: {}, routes: {}, callers: {} };
 * new ConfigSnapshot(7, config).findRoute("GET", "/x"); // undefined
 * ```
 */
export class ConfigSnapshot {
  readonly version: number;
  readonly #routes: readonly ResolvedRoute[];
  readonly #services: ReadonlyMap<string, Service>;
  readonly #callersByDigest = new Map<string, ResolvedCaller>();
  readonly #approvals = new Set<string>();

  /**
   * Builds a snapshot.
   *
   * @param version Version of the configuration.
   * @param config Configuration whose references were checked.
   */
  constructor(version: number, config: SiteConfig) {
    this.version = version;
    this.#services = new Map(Object.entries(config.services));
    this.#routes = resolveRoutes(config);
    for (const [name, caller] of Object.entries(config.callers)) {
      for (const digest of caller.tokenDigests) {
        this.#callersByDigest.set(digest, { ...caller, name });
      }
    }
    for (const [name, service] of this.#services) {
      for (const caller of service.approvedCallers) {
        this.#approvals.add(approvalKey(caller, name));
      }
    }
  }

  /** All routes, longest path prefix first. */
  get routes(): readonly ResolvedRoute[] {
    return this.#routes;
  }

  /** Names of all services. */
  get serviceNames(): string[] {
    return [...this.#services.keys()];
  }

  /**
   * Finds the route of a request: the one with the longest matching path prefix
   * that allows the method. A prefix matches only up to a segment boundary.
   *
   * @param method HTTP method.
   * @param path Path without the query.
   * @returns The route, or `undefined` if none matches.
   */
  findRoute(method: string, path: string): ResolvedRoute | undefined {
    return this.#routes.find((route) =>
      matchesPrefix(path, route.pathPrefix) &&
      (route.methods?.has(method) ?? true)
    );
  }

  /**
   * Finds a service by name.
   *
   * @param name Name of the service.
   * @returns The service, or `undefined` if it is not configured.
   */
  findService(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /**
   * Finds the caller that a token belongs to.
   *
   * @param tokenDigest SHA-256 of the token in hexadecimal.
   * @returns The caller, or `undefined` if the token is unknown.
   */
  findCaller(tokenDigest: string): ResolvedCaller | undefined {
    return this.#callersByDigest.get(tokenDigest);
  }

  /**
   * Returns whether a service's owner approved a caller.
   *
   * @param caller Name of the caller.
   * @param service Name of the service.
   * @returns Whether the caller may call the service.
   */
  isApproved(caller: string, service: string): boolean {
    return this.#approvals.has(approvalKey(caller, service));
  }
}

function approvalKey(caller: string, service: string): string {
  return `${caller}>${service}`;
}

function resolveRoutes(config: SiteConfig): ResolvedRoute[] {
  return Object.entries(config.routes)
    .map(([name, route]) => resolveRoute(name, route, config))
    .sort((a, b) =>
      b.pathPrefix.length - a.pathPrefix.length ||
      Number(a.methods === undefined) - Number(b.methods === undefined) ||
      (a.name < b.name ? -1 : 1)
    );
}

function resolveRoute(
  name: string,
  route: Route,
  config: SiteConfig,
): ResolvedRoute {
  const service = config.services[route.service]!;
  return {
    name,
    pathPrefix: route.pathPrefix,
    methods: route.methods && new Set(route.methods),
    serviceName: route.service,
    service,
    rank: route.rank ?? service.rank,
  };
}

function matchesPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return path.length === prefix.length || prefix.endsWith("/") ||
    path[prefix.length] === "/";
}
