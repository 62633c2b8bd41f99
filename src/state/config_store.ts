import type { ConfigDelta } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { ResourceSet } from "./resource_set.ts";
import type { ConfigSnapshot } from "./config_snapshot.ts";

/** Maximum number of deltas kept for peers that have an earlier version. */
export const KEPT_DELTAS = 64;

/**
 * Holds the current configuration version, and deltas from earlier ones.
 *
 * @example
 * ```ts
 * new ConfigStore().version; // 0
 * ```
 */
export class ConfigStore {
  #version = 0;
  #resources = ResourceSet.empty();
  #snapshot: ConfigSnapshot | undefined;
  #adoptedAtMs = 0;
  readonly #reverseDeltas: ConfigDelta[] = [];

  /** The current version; 0 before the first one. */
  get version(): number {
    return this.#version;
  }

  /** Digest of the current resources. */
  get digest(): string {
    return this.#resources.digest;
  }

  /** The current resources. */
  get resources(): ResourceSet {
    return this.#resources;
  }

  /** The current snapshot of the site. */
  get snapshot(): ConfigSnapshot | undefined {
    return this.#snapshot;
  }

  /** Unix time of the last adoption, in ms. */
  get adoptedAtMs(): number {
    return this.#adoptedAtMs;
  }

  /**
   * Makes a checked version the current one.
   *
   * @param snapshot The site's snapshot of the version.
   * @param resources The resources of the version.
   * @param nowMs Unix time in ms.
   * @throws {RangeError} If the version is not higher than the current one.
   */
  adopt(
    snapshot: ConfigSnapshot,
    resources: ResourceSet,
    nowMs: number,
  ): void {
    if (snapshot.version <= this.#version) {
      throw new RangeError(
        `Cannot adopt version ${snapshot.version}: ${this.#version} is in force`,
      );
    }
    if (this.#version > 0) this.#addReverseDelta(resources, snapshot.version);
    this.#version = snapshot.version;
    this.#resources = resources;
    this.#snapshot = snapshot;
    this.#adoptedAtMs = nowMs;
  }

  /**
   * Returns the delta from an earlier version to the current one.
   *
   * @param fromVersion The earlier version.
   * @param fromDigest Digest of the earlier version's resources.
   * @returns The delta. It starts from the empty set if the earlier version is
   * no longer known.
   */
  deltaFrom(fromVersion: number, fromDigest: string): ConfigDelta {
    const to = { toVersion: this.#version };
    if (fromVersion === this.#version && fromDigest === this.digest) {
      return this.#resources.deltaTo(this.#resources, { fromVersion, ...to });
    }
    const startIndex = this.#reverseDeltas.findIndex((delta) =>
      delta.fromVersion === fromVersion
    );
    const earlier = startIndex < 0 ? undefined : this.#rewind(startIndex);
    if (earlier?.digest !== fromDigest) {
      return ResourceSet.empty()
        .deltaTo(this.#resources, { fromVersion: 0, ...to });
    }
    return earlier.deltaTo(this.#resources, { fromVersion, ...to });
  }

  /** The delta from the previous version; `undefined` before the second one. */
  get lastDelta(): ConfigDelta | undefined {
    const last = this.#reverseDeltas.at(-1);
    return last && this.deltaFrom(last.fromVersion, last.digest);
  }

  /** Keeps the reverse delta, from which the earlier set can be rebuilt. */
  #addReverseDelta(next: ResourceSet, version: number): void {
    const reverseDelta = next.deltaTo(this.#resources, {
      fromVersion: this.#version,
      toVersion: version,
    });
    this.#reverseDeltas.push(reverseDelta);
    if (this.#reverseDeltas.length > KEPT_DELTAS) this.#reverseDeltas.shift();
  }

  #rewind(startIndex: number): ResourceSet {
    let resources = this.#resources;
    for (
      let index = this.#reverseDeltas.length - 1;
      index >= startIndex;
      index--
    ) {
      resources = resources.apply(this.#reverseDeltas[index]!);
    }
    return resources;
  }
}
