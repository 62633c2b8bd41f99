import type { MeshConfig } from "../protocol/mesh.ts";
import { RouteTable } from "./route_table.ts";

/**
 * Holds the newest route table; versions only ever rise.
 *
 * @example
 * ```ts ignore
 * const holder = new RouteTableHolder();
 * holder.adopt(config, bytes); // true
 * ```
 */
export class RouteTableHolder {
  #current: RouteTable | undefined;
  #source: Uint8Array = new Uint8Array();

  /** The newest table; `undefined` until a configuration is known. */
  get current(): RouteTable | undefined {
    return this.#current;
  }

  /** Version of the newest table; 0 until a configuration is known. */
  get version(): number {
    return this.#current?.config.version ?? 0;
  }

  /** The newest configuration as it was received, for peers that miss it. */
  get encodedConfig(): Uint8Array {
    return this.#source;
  }

  /**
   * Adopts a configuration if it is newer.
   *
   * @param config The decoded configuration.
   * @param source The bytes that it was decoded from.
   * @returns Whether it was adopted.
   */
  adopt(config: MeshConfig, source: Uint8Array): boolean {
    if (config.version <= this.version) return false;
    this.#current = new RouteTable(config);
    this.#source = source;
    return true;
  }
}
