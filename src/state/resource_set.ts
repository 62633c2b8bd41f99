import { createHash } from "node:crypto";
import { create } from "@bufbuild/protobuf";
import { FailureKind, StepError } from "../protocol/step_error.ts";
import { canonicalJson, type Json } from "../protocol/canonical_json.ts";
import {
  type ConfigDelta,
  ConfigDeltaSchema,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";

/** Source of a configuration: a base, and overlays by site. */
export interface ConfigSource {
  readonly base: Json;
  readonly sites: Readonly<Record<string, Json>>;
}

/**
 * An immutable set of configuration resources by key.
 *
 * A resource is one service, route or caller of the base
 * (`base/services/lookup`) or of an overlay (`sites/east/routes/stock`). A
 * delta lists the resources to set and the keys to remove.
 *
 * @example
 * ```ts
 * const set = ResourceSet.fromSource({ base: { services: {} }, sites: {} });
 * set.digest.length; // 64
 * ```
 */
export class ResourceSet {
  readonly digest: string;
  readonly #bodies: ReadonlyMap<string, string>;

  private constructor(bodies: ReadonlyMap<string, string>) {
    this.#bodies = bodies;
    this.digest = computeDigest(bodies);
  }

  /**
   * Splits a source into its resources.
   *
   * @param source Base and overlays.
   * @returns The resources.
   */
  static fromSource(source: ConfigSource): ResourceSet {
    const bodies = new Map<string, string>();
    addSections(bodies, "base", source.base);
    for (const [site, overlay] of Object.entries(source.sites)) {
      bodies.set(`sites/${site}`, "{}");
      addSections(bodies, `sites/${site}`, overlay);
    }
    return new ResourceSet(bodies);
  }

  /** Returns the empty set. */
  static empty(): ResourceSet {
    return new ResourceSet(new Map());
  }

  /**
   * Rebuilds a set from the result of {@linkcode entries}.
   *
   * @param entries Keys with their bodies in canonical JSON.
   * @returns The set.
   */
  static fromEntries(entries: Iterable<readonly [string, string]>) {
    return new ResourceSet(new Map(entries));
  }

  /** Number of resources. */
  get size(): number {
    return this.#bodies.size;
  }

  /** Total size of all bodies, in bytes. */
  get sizeBytes(): number {
    let sizeBytes = 0;
    for (const body of this.#bodies.values()) sizeBytes += body.length;
    return sizeBytes;
  }

  /** Returns all keys and bodies, sorted by key. */
  entries(): [string, string][] {
    return [...this.#bodies].sort(([a], [b]) => (a < b ? -1 : 1));
  }

  /**
   * Computes the delta from this set to another.
   *
   * @param next The later set.
   * @param versions Versions of this set and of the later one.
   * @returns The delta.
   */
  deltaTo(
    next: ResourceSet,
    versions: { fromVersion: number; toVersion: number },
  ): ConfigDelta {
    const puts = next.entries()
      .filter(([key, body]) => this.#bodies.get(key) !== body)
      .map(([key, body]) => ({ key, body }));
    const removes = this.entries()
      .map(([key]) => key)
      .filter((key) => !next.#bodies.has(key));
    return create(ConfigDeltaSchema, {
      ...versions,
      digest: next.digest,
      puts,
      removes,
    });
  }

  /**
   * Applies a delta and checks the digest of the result.
   *
   * @param delta The delta, which must start from this set.
   * @returns The later set.
   * @throws {StepError} If the result's digest differs from the delta's.
   */
  apply(delta: ConfigDelta): ResourceSet {
    const bodies = new Map(this.#bodies);
    for (const key of delta.removes) bodies.delete(key);
    for (const { key, body } of delta.puts) bodies.set(key, body);
    const next = new ResourceSet(bodies);
    if (next.digest !== delta.digest) {
      throw new StepError(
        FailureKind.Invalid,
        "apply-delta",
        `Cannot apply configuration ${delta.toVersion}: digest is ${next.digest}, expected ${delta.digest}`,
      );
    }
    return next;
  }

  /**
   * Converts the resources back to a source.
   *
   * @returns Base and overlays.
   */
  toSource(): ConfigSource {
    const base: Record<string, Json> = {
      services: {},
      routes: {},
      callers: {},
    };
    const sites = new Map<string, Record<string, Json>>();
    for (const [key, body] of this.entries()) {
      const parts = key.split("/");
      if (parts[0] === "base") {
        setSection(base, parts.slice(1), JSON.parse(body));
        continue;
      }
      const site = sites.get(parts[1]!) ?? {};
      sites.set(parts[1]!, site);
      if (parts.length > 2) setSection(site, parts.slice(2), JSON.parse(body));
    }
    return { base, sites: Object.fromEntries(sites) };
  }
}

function addSections(
  bodies: Map<string, string>,
  prefix: string,
  document: Json,
): void {
  const sections = (document ?? {}) as Record<string, Record<string, Json>>;
  for (const [section, resources] of Object.entries(sections)) {
    for (const [name, body] of Object.entries(resources)) {
      bodies.set(`${prefix}/${section}/${name}`, canonicalJson(body));
    }
  }
}

function setSection(
  document: Record<string, Json>,
  path: string[],
  body: Json,
): void {
  const [section, name] = path as [string, string];
  const resources = (document[section] ??= {}) as Record<string, Json>;
  resources[name] = body;
}

function computeDigest(bodies: ReadonlyMap<string, string>): string {
  const hash = createHash("sha256");
  for (const key of [...bodies.keys()].sort()) {
    const body = bodies.get(key)!;
    hash.update(`${key.length}:${key}${body.length}:${body}`);
  }
  return hash.digest("hex");
}
