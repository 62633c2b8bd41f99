import type { MeshOrganisation } from "../protocol/mesh.ts";

/**
 * Looks up the organisations of one configuration version by their keys.
 *
 * @example
 * ```ts
 * const table = new OrganisationTable([
 *   { name: "a", keys: ["k1"], priority: 0, limitPerS: 0, burst: 0 },
 * ]);
 * table.findByKey("k1")?.name; // "a"
 * ```
 */
export class OrganisationTable {
  readonly #byKey = new Map<string, MeshOrganisation>();

  /**
   * Builds the table.
   *
   * @param organisations The organisations; no key is held by two of them.
   */
  constructor(organisations: readonly MeshOrganisation[]) {
    for (const organisation of organisations) {
      for (const key of organisation.keys) this.#byKey.set(key, organisation);
    }
  }

  /**
   * Finds the organisation that holds a key.
   *
   * @param key The key.
   * @returns The organisation; `undefined` if none holds it.
   */
  findByKey(key: string): MeshOrganisation | undefined {
    return this.#byKey.get(key);
  }
}
