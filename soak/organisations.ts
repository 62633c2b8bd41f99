import { sampleConfig, sampleRoute } from "../platform/fakes/mesh.ts";
import type { Random } from "../src/protocol/random.ts";
import { LIMIT_BYTES } from "../testkit/body_sender.ts";
import type { ConfigVersion, SoakOrganisation } from "./sidecar_checks.ts";

/** Keys of an organisation, besides one that is never removed. */
const MAX_KEYS = 3;
/** Of 100 requests, those with a key that has been removed. */
const REMOVED_KEYS_IN_100 = 8;
/** Part of a limit that is left when it is lowered. */
const LOWERED_SHARE = 0.4;

/** Organisations, and their parts of the usual traffic. */
const ORGANISATIONS = [
  { name: "large", perS: 0, burst: 0, weight: 20 },
  { name: "medium", perS: 20, burst: 10, weight: 2 },
  { name: "limited", perS: 8, burst: 4, weight: 1 },
  { name: "small", perS: 0, burst: 0, weight: 1 },
] as const;
const WEIGHTED_NAMES = ORGANISATIONS.flatMap(({ name, weight }) =>
  Array.from({ length: weight }, () => name)
);

/** Key of an organisation without a limit that is never removed. */
export const LASTING_KEY = "soak-key-large-lasting";

/** The organisations of a run: their keys and limits in each version. */
export class Organisations {
  readonly versions: ConfigVersion[] = [];
  #current: SoakOrganisation[] = ORGANISATIONS.map((one) => ({
    name: one.name,
    perS: one.perS,
    burst: one.burst,
    keys: [`soak-key-${one.name}-lasting`, `soak-key-${one.name}-0`],
  }));
  readonly #removedKeys: string[] = [];
  #nextKey = 1;

  /** Builds a version of the configuration, which is written at once. */
  createConfig(version: number, extra: object[]): object {
    const organisations = this.#current;
    this.versions.push({
      version,
      organisations,
      writtenAtMs: performance.now(),
      inForceAtMs: Infinity,
    });
    const config = sampleConfig(version, [
      { ...sampleRoute("public"), Public: true },
      ...extra,
    ]) as { Limits: object };
    return {
      ...config,
      Limits: { ...config.Limits, MaxBodyBytes: LIMIT_BYTES },
      Tenants: organisations.map(({ name, keys, perS, burst }) => ({
        Name: name,
        ApiKeys: keys,
        ...(perS === 0 ? {} : { PerS: perS, Burst: burst }),
      })),
    };
  }

  /** Records that all daemons in touch have a version. */
  markInForce(newest: number): void {
    for (const version of this.versions) {
      if (version.version > newest) continue;
      version.inForceAtMs = Math.min(version.inForceAtMs, performance.now());
    }
  }

  /** Picks the key of a request: a key of an organisation, or a removed one. */
  pickKey(random: Random): string {
    const removed = random.below(100) < REMOVED_KEYS_IN_100
      ? random.pick(this.#removedKeys)
      : undefined;
    const name = random.pick(WEIGHTED_NAMES);
    const { keys } = this.#current.find((one) => one.name === name)!;
    return removed ?? random.pick(keys)!;
  }

  /** Picks an organisation with a limit; returns its name and its keys. */
  pickLimited(random: Random): SoakOrganisation {
    return random.pick(this.#current.filter(({ perS }) => perS > 0))!;
  }

  /** Adds a key to an organisation; `false` if all have enough. */
  addKey(random: Random): boolean {
    const one = random.pick(
      this.#current.filter(({ keys }) => keys.length <= MAX_KEYS),
    );
    if (one === undefined) return false;
    const key = `soak-key-${one.name}-${this.#nextKey++}`;
    this.#replace({ ...one, keys: [...one.keys, key] });
    return true;
  }

  /** Takes a key from an organisation; `false` if there is none to take. */
  removeKey(random: Random): boolean {
    const one = random.pick(
      this.#current.filter(({ keys }) => keys.length > 1),
    );
    if (one === undefined) return false;
    const key = random.pick(one.keys.slice(1))!;
    this.#removedKeys.push(key);
    this.#replace({ ...one, keys: one.keys.filter((other) => other !== key) });
    return true;
  }

  /** Lowers a limit; `false` if that of the organisation is lowered already. */
  lowerQuota(name: string): boolean {
    const usual = ORGANISATIONS.find((one) => one.name === name)!;
    const one = this.#current.find((other) => other.name === name)!;
    if (one.perS < usual.perS) return false;
    this.#replace({
      ...one,
      perS: usual.perS * LOWERED_SHARE,
      burst: usual.burst * LOWERED_SHARE,
    });
    return true;
  }

  /** Raises a limit to its usual value. */
  restoreQuota(name: string): void {
    const { perS, burst } = ORGANISATIONS.find((one) => one.name === name)!;
    const one = this.#current.find((other) => other.name === name)!;
    this.#replace({ ...one, perS, burst });
  }

  #replace(changed: SoakOrganisation): void {
    this.#current = this.#current.map((one) =>
      one.name === changed.name ? changed : one
    );
  }
}
