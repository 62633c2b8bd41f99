import type { MeshConfig, MeshRoute } from "../protocol/mesh.ts";

/**
 * Looks up the routes of one configuration version by host and path prefix.
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
   * @returns The route, or `undefined` if none matches.
   */
  find(host: string, target: string): MeshRoute | undefined {
    const prefixes = this.#findPrefixes(host.toLowerCase());
    if (prefixes === undefined) return undefined;
    const queryIndex = target.indexOf("?");
    const path = queryIndex < 0 ? target : target.slice(0, queryIndex);
    let slashIndex = path.lastIndexOf("/");
    while (slashIndex >= 0) {
      const route = prefixes.get(path.slice(0, slashIndex + 1));
      if (route !== undefined) return route;
      if (slashIndex === 0) return undefined;
      slashIndex = path.lastIndexOf("/", slashIndex - 1);
    }
    return undefined;
  }

  #findPrefixes(host: string): ReadonlyMap<string, MeshRoute> | undefined {
    const exact = this.#byHost.get(host);
    if (exact !== undefined) return exact;
    const portIndex = host.lastIndexOf(":");
    return portIndex < 0
      ? undefined
      : this.#byHost.get(host.slice(0, portIndex));
  }
}
