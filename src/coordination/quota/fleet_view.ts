import { hash32, rendezvousWinner } from "../../protocol/hash.ts";

/** Instances for each group of organisations, to the nearest power of two. */
const INSTANCES_PER_GROUP = 16;
/** Ratio of a link to the fastest one from which it is as good. */
const FAST_LINK_RATIO = 0.5;
/** Time for which an instance that has left the directory counts, in ms. */
const RETENTION_MS = 60_000;
/** Age of the view of the store from which a daemon may be removed, in ms. */
export const MAX_VIEW_AGE_MS = 50_000;
/**
 * Size that is assumed as long as the directory is not known: a smaller one than
 * the fleet's would let its daemons run more than the limits together.
 */
const ASSUMED_SIZE = 4_096;
/** Shortest lease of a daemon at an account, in ms. */
const MIN_LEASE_MS = 1_500;
/** Renewals of leases are rarer in a fleet with many groups. */
const LEASE_MS_PER_INSTANCE = 12.5;

const HASH_RANGE = 2 ** 32;

/** An instance of the fleet. */
export interface FleetMember {
  readonly instance: string;
  readonly domain: string;
  /** Bandwidth of its link, in Mbit/s; 0 if unknown. */
  readonly linkMbps: number;
}

/** Parts of a {@linkcode FleetView}. */
interface FleetViewParts {
  readonly members: readonly FleetMember[];
  readonly self: string;
  readonly size: number;
}

/**
 * Assigns the accounts of organisations to instances, and to this daemon its
 * place among all.
 *
 * @example
 * ```ts ignore
 * const account = view.accountOf(view.groupOf("quick-fox"));
 * ```
 */
export class FleetView {
  /** Instances that may hold a share of the limits. */
  readonly size: number;
  readonly groups: readonly string[];
  /** Length of a lease, in ms. */
  readonly leaseMs: number;
  readonly #accounts: ReadonlyMap<string, string>;
  readonly #phase: number;
  /** Hashes of the organisations that were asked about, by name. */
  readonly #hashes = new Map<string, number>();

  /**
   * Builds a view.
   *
   * @param parts The instances, this one, and the size of the fleet.
   */
  constructor({ members, self, size }: FleetViewParts) {
    this.size = size;
    const count = countGroups(size);
    this.groups = Array.from(
      { length: count },
      (_, index) => `${index}/${count}`,
    );
    this.leaseMs = Math.max(
      MIN_LEASE_MS,
      Math.round(size * LEASE_MS_PER_INSTANCE),
    );
    const candidates = chooseCandidates(members, count);
    this.#accounts = new Map(this.groups.flatMap((group) => {
      const winner = rendezvousWinner(`quota/${group}`, candidates);
      return winner === undefined ? [] : [[group, winner]];
    }));
    this.#phase = computePhase(members, self);
  }

  /** Whether it is known which instances hold the accounts. */
  get hasAccounts(): boolean {
    return this.#accounts.size > 0;
  }

  /**
   * Returns the group of an organisation.
   *
   * @param organisation Its name.
   * @returns Name of the group.
   */
  groupOf(organisation: string): string {
    return this.groups[this.#hash(organisation) % this.groups.length]!;
  }

  /**
   * Returns the instance with the accounts of a group.
   *
   * @param group Name of the group.
   * @returns The instance; `undefined` if there is none.
   */
  accountOf(group: string): string | undefined {
    return this.#accounts.get(group);
  }

  /**
   * Returns the place of this daemon's tokens between those of the others.
   *
   * @param organisation Name of the organisation.
   * @returns The place, from 0 up to 1.
   */
  phaseOf(organisation: string): number {
    return (this.#phase + this.#hash(organisation) / HASH_RANGE) % 1;
  }

  #hash(organisation: string): number {
    let hash = this.#hashes.get(organisation);
    if (hash === undefined) {
      hash = hash32(organisation);
      this.#hashes.set(organisation, hash);
    }
    return hash;
  }
}

/**
 * Follows the directory and counts instances for some time after they have left
 * it: one that is cut off does not know, and uses its share until then.
 *
 * @example
 * ```ts ignore
 * const view = tracker.update(members, nowMs);
 * ```
 */
export class FleetTracker {
  readonly #self: string;
  /** Sizes of the fleet, each with the last time at which it was seen. */
  #sizes: { readonly size: number; seenAtMs: number }[] = [];
  #signature = "";
  #view: FleetView | undefined;

  /**
   * Creates a tracker.
   *
   * @param self Name of this instance.
   */
  constructor(self: string) {
    this.#self = self;
  }

  /**
   * Reads the directory.
   *
   * @param members Its instances; none as long as it is not known.
   * @param nowMs Monotonic time, in ms.
   * @returns The view, the same object as long as nothing changed.
   */
  update(members: readonly FleetMember[], nowMs: number): FleetView {
    const size = this.#retain(members.length, nowMs) || ASSUMED_SIZE;
    const signature = computeSignature(members, size);
    if (this.#view === undefined || signature !== this.#signature) {
      this.#signature = signature;
      this.#view = new FleetView({ members, self: this.#self, size });
    }
    return this.#view;
  }

  /** Returns the largest size within the retention time. */
  #retain(size: number, nowMs: number): number {
    this.#sizes = this.#sizes.filter((entry) =>
      entry.size > size && nowMs - entry.seenAtMs < RETENTION_MS
    );
    this.#sizes.push({ size, seenAtMs: nowMs });
    return this.#sizes[0]!.size;
  }
}

/** A power of two, as each change of the count restarts all accounts. */
function countGroups(size: number): number {
  return 2 ** Math.max(0, Math.round(Math.log2(size / INSTANCES_PER_GROUP)));
}

/** Prefers fast links, whose instances mostly have the faster processors. */
function chooseCandidates(
  members: readonly FleetMember[],
  count: number,
): readonly string[] {
  let maxMbps = 0;
  for (const { linkMbps } of members) maxMbps = Math.max(maxMbps, linkMbps);
  const fast = members.filter(({ linkMbps }) =>
    linkMbps >= maxMbps * FAST_LINK_RATIO
  );
  const chosen = fast.length >= count ? fast : members;
  return chosen.map(({ instance }) => instance);
}

/** Spreads the instances of each domain evenly, and the domains over these. */
function computePhase(members: readonly FleetMember[], self: string): number {
  const domain = members.find(({ instance }) => instance === self)?.domain;
  if (domain === undefined) return hash32(self) / HASH_RANGE;
  const domains = [...new Set(members.map((member) => member.domain))].sort();
  const mates = members.filter((member) => member.domain === domain)
    .map(({ instance }) => instance).sort();
  const offset = domains.indexOf(domain) / domains.length;
  return (mates.indexOf(self) + offset) / mates.length % 1;
}

function computeSignature(
  members: readonly FleetMember[],
  size: number,
): string {
  return members.map(({ instance, domain, linkMbps }) =>
    `${instance} ${domain} ${linkMbps}`
  ).concat(String(size)).join("\n");
}
