import type { MeshConfig, MeshRoute } from "../protocol/mesh.ts";
import { OrganisationTable } from "./organisation_table.ts";

/** Routes of one host. */
interface HostRoutes {
  readonly byPrefix: Map<string, MeshRoute>;
  /** Length of the longest prefix, which bounds the work of a look-up. */
  maxPrefixLength: number;
}

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
  /** `undefined` if requests carry no keys. */
  readonly organisations: OrganisationTable | undefined;
  readonly #byHost = new Map<string, HostRoutes>();

  /**
   * Builds the table.
   *
   * @param config A checked configuration.
   */
  constructor(config: MeshConfig) {
    this.config = config;
    this.organisations = config.organisations &&
      new OrganisationTable(config.organisations);
    for (const route of config.routes) {
      const host = route.host.toLowerCase();
      const routes = this.#byHost.get(host) ??
        { byPrefix: new Map<string, MeshRoute>(), maxPrefixLength: 0 };
      routes.byPrefix.set(route.prefix, route);
      routes.maxPrefixLength = Math.max(
        routes.maxPrefixLength,
        route.prefix.length,
      );
      this.#byHost.set(host, routes);
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
    const routes = this.#findHost(host.toLowerCase());
    if (routes === undefined || routes.maxPrefixLength === 0) return undefined;
    const queryIndex = target.indexOf("?");
    const path = queryIndex < 0 ? target : target.slice(0, queryIndex);
    let slashIndex = path.lastIndexOf("/", routes.maxPrefixLength - 1);
    while (slashIndex >= 0) {
      const route = routes.byPrefix.get(path.slice(0, slashIndex + 1));
      if (route !== undefined) return route;
      if (slashIndex === 0) return undefined;
      slashIndex = path.lastIndexOf("/", slashIndex - 1);
    }
    return undefined;
  }

  #findHost(host: string): HostRoutes | undefined {
    const exact = this.#byHost.get(host);
    if (exact !== undefined) return exact;
    const portIndex = host.lastIndexOf(":");
    return portIndex < 0
      ? undefined
      : this.#byHost.get(host.slice(0, portIndex));
  }
}
