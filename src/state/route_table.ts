import type { MeshConfig, MeshRoute } from "../protocol/mesh.ts";

/**
 * The routes of one configuration version, by host and longest path prefix.
 *
 * @example
 * ```ts ignore
 * const route = new RouteTable(config).find("shop.example", "/stock/1?size=2");
 * ```
 */
export class RouteTable {
  readonly config: MeshConfig;
  readonly #byHost = new Map<string, Map<string, MeshRoute>>();

  /**
   * Builds the table.
   *
   * @param config A checked configuration.
   */
  constructor(config: MeshConfig) {
    this.config = config;
    for (const route of config.routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.#byHost.get(host) ?? new Map<string, MeshRoute>();
      prefixes.set(route.prefix, route);
      this.#byHost.set(host, prefixes);
    }
  }

  /**
   * Finds the route with the longest prefix of a path.
   *
   * @param host Value of the Host header.
   * @param target Path, with or without a query.
   * @returns The route, if any.
   */
  find(host: string, target: string): MeshRoute | undefined {
    const prefixes = this.#prefixesOf(host.toLowerCase());
    if (prefixes === undefined) return undefined;
    const queryAt = target.indexOf("?");
    const path = queryAt < 0 ? target : target.slice(0, queryAt);
    let slashAt = path.lastIndexOf("/");
    while (slashAt >= 0) {
      const route = prefixes.get(path.slice(0, slashAt + 1));
      if (route !== undefined) return route;
      if (slashAt === 0) return undefined;
      slashAt = path.lastIndexOf("/", slashAt - 1);
    }
    return undefined;
  }

  #prefixesOf(host: string): ReadonlyMap<string, MeshRoute> | undefined {
    const exact = this.#byHost.get(host);
    if (exact !== undefined) return exact;
    const portAt = host.lastIndexOf(":");
    return portAt < 0 ? undefined : this.#byHost.get(host.slice(0, portAt));
  }
}
