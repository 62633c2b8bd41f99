import type { ConfigDelta } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { ResourceSet } from "./resource_set.ts";
import type { ConfigSnapshot } from "./config_snapshot.ts";

/** Number of differences kept for peers that are behind. */
export const KEPT_DELTAS = 64;

/**
 * Holds the version in force with the differences that led to it.
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
  readonly #deltas: ConfigDelta[] = [];

  /** The version in force; 0 before the first. */
  get version(): number {
    return this.#version;
  }

  /** Digest of the resources in force. */
  get digest(): string {
    return this.#resources.digest;
  }

  /** The resources in force. */
  get resources(): ResourceSet {
    return this.#resources;
  }

  /** The site's snapshot in force. */
  get snapshot(): ConfigSnapshot | undefined {
    return this.#snapshot;
  }

  /** Unix time of the last adoption. */
  get adoptedAtMs(): number {
    return this.#adoptedAtMs;
  }

  /**
   * Puts a checked version in force.
   *
   * @param snapshot The site's snapshot of the version.
   * @param resources The resources of the version.
   * @param nowMs Unix time.
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
    if (this.#version > 0) this.#keepDelta(resources, snapshot.version);
    this.#version = snapshot.version;
    this.#resources = resources;
    this.#snapshot = snapshot;
    this.#adoptedAtMs = nowMs;
  }

  /**
   * Returns the difference from an earlier version to the one in force.
   *
   * @param fromVersion The earlier version.
   * @param fromDigest Its digest.
   * @returns The difference; from the empty set where the earlier version is
   * not known any more.
   */
  deltaFrom(fromVersion: number, fromDigest: string): ConfigDelta {
    const to = { toVersion: this.#version };
    if (fromVersion === this.#version && fromDigest === this.digest) {
      return this.#resources.deltaTo(this.#resources, { fromVersion, ...to });
    }
    const start = this.#deltas.findIndex((delta) =>
      delta.fromVersion === fromVersion
    );
    const earlier = start < 0 ? undefined : this.#rewind(start);
    if (earlier?.digest !== fromDigest) {
      return ResourceSet.empty()
        .deltaTo(this.#resources, { fromVersion: 0, ...to });
    }
    return earlier.deltaTo(this.#resources, { fromVersion, ...to });
  }

  /** The difference that led to the version in force, if there is one. */
  get lastDelta(): ConfigDelta | undefined {
    const last = this.#deltas.at(-1);
    return last && this.deltaFrom(last.fromVersion, last.digest);
  }

  /** Keeps the way back, so that the earlier set can be rebuilt. */
  #keepDelta(next: ResourceSet, version: number): void {
    const back = next.deltaTo(this.#resources, {
      fromVersion: this.#version,
      toVersion: version,
    });
    this.#deltas.push(back);
    if (this.#deltas.length > KEPT_DELTAS) this.#deltas.shift();
  }

  #rewind(start: number): ResourceSet {
    let resources = this.#resources;
    for (let index = this.#deltas.length - 1; index >= start; index--) {
      resources = resources.apply(this.#deltas[index]!);
    }
    return resources;
  }
}
