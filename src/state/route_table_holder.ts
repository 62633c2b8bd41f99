import { Buffer } from "node:buffer";
import type { MeshConfig } from "../protocol/mesh.ts";
import { RouteTable } from "./route_table.ts";

/**
 * Holds the latest route table. Its version never decreases.
 *
 * @example
 * ```ts ignore
 * const holder = new RouteTableHolder();
 * holder.adopt(config, bytes); // true
 * ```
 */
export class RouteTableHolder {
  #current: RouteTable | undefined;
  #encodedConfig: Uint8Array = new Uint8Array();

  /** The latest table; `undefined` before the first configuration. */
  get current(): RouteTable | undefined {
    return this.#current;
  }

  /** Version of the latest table; 0 before the first configuration. */
  get version(): number {
    return this.#current?.config.version ?? 0;
  }

  /** The latest configuration as received, for peers that do not have it. */
  get encodedConfig(): Uint8Array {
    return this.#encodedConfig;
  }

  /**
   * Adopts a configuration if its version is higher.
   *
   * @param config The decoded configuration.
   * @param encodedConfig The bytes that it was decoded from.
   * @param replacesEqual Whether another configuration of the same version is
   * adopted too: the operator may have written it again after its loss.
   * @returns Whether it was adopted.
   */
  adopt(
    config: MeshConfig,
    encodedConfig: Uint8Array,
    replacesEqual = false,
  ): boolean {
    const replaces = replacesEqual && config.version === this.version &&
      Buffer.compare(encodedConfig, this.#encodedConfig) !== 0;
    if (config.version <= this.version && !replaces) return false;
    this.#current = new RouteTable(config);
    this.#encodedConfig = encodedConfig;
    return true;
  }
}
