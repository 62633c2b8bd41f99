import { createHash } from "node:crypto";
import { hash32 } from "../protocol/hash.ts";
import {
  type Member,
  MemberState,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";

/** A change of a member's record. */
export interface MemberChange {
  readonly member: Member;
  readonly previous: Member | undefined;
}

/** Precedence of states with equal incarnations; the higher one wins. */
const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = {
  [MemberState.UNSPECIFIED]: 0,
  [MemberState.ALIVE]: 1,
  [MemberState.DRAINING]: 1,
  [MemberState.SUSPECT]: 2,
  [MemberState.LEFT]: 3,
  [MemberState.DEAD]: 4,
};

/** Number of buckets by which two tables are compared. */
export const BUCKET_COUNT = 64;
/**
 * Time for which a left or dead member is kept, in ms. Late updates would add
 * the member again if it were removed at once.
 */
export const TOMBSTONE_MS = 600_000;

interface Row {
  readonly member: Member;
  readonly changedAtMs: number;
  /** The member's part of its bucket's digest; 0 once it left or died. */
  readonly digestPart: number;
}

/** Data derived from all rows, cached until a row changes. */
interface Views {
  readonly all: readonly Member[];
  readonly present: readonly Member[];
  readonly presentByDomain: ReadonlyMap<string, readonly Member[]>;
  readonly domains: readonly string[];
  readonly holdersBySlot: ReadonlyMap<string, readonly Member[]>;
}

const NO_MEMBERS: readonly Member[] = [];

/**
 * Holds all members of the fleet that this daemon knows.
 *
 * The update with the higher incarnation wins. With equal incarnations, the
 * state of higher precedence wins. Updates may therefore arrive late, repeated
 * and in any order.
 *
 * @example
 * ```ts
 * new MemberTable().size; // 0
 * ```
 */
export class MemberTable {
  readonly #rows = new Map<string, Row>();
  readonly #bucketDigests: number[] = Array.from(
    { length: BUCKET_COUNT },
    () => 0,
  );
  #digest: string | undefined;
  #cachedViews: Views | undefined;

  /** Number of members, including left and dead ones. */
  get size(): number {
    return this.#rows.size;
  }

  /**
   * Merges an update of a member.
   *
   * @param member The update.
   * @param nowMs Unix time in ms.
   * @returns The change, or `undefined` if the update is outdated.
   */
  merge(member: Member, nowMs: number): MemberChange | undefined {
    const row = this.#rows.get(member.id);
    if (row !== undefined && !supersedes(member, row.member)) return undefined;
    const digestPart = digestPartOf(member);
    this.#rows.set(member.id, { member, changedAtMs: nowMs, digestPart });
    const bucket = bucketOf(member.id);
    const otherParts = this.#bucketDigests[bucket]! ^ (row?.digestPart ?? 0);
    this.#bucketDigests[bucket] = (otherParts ^ digestPart) >>> 0;
    this.#invalidateCaches();
    return { member, previous: row?.member };
  }

  /**
   * Returns a member by id.
   *
   * @param id The member's id.
   * @returns The member, or `undefined` if it is unknown.
   */
  get(id: string): Member | undefined {
    return this.#rows.get(id)?.member;
  }

  /** Returns all members, including left and dead ones. */
  all(): readonly Member[] {
    return this.#views().all;
  }

  /**
   * Returns the present members, which have not left and are not dead.
   *
   * @param domain Failure domain of the members; all domains if omitted.
   * @returns The members.
   */
  present(domain?: string): readonly Member[] {
    const { present, presentByDomain } = this.#views();
    if (domain === undefined) return present;
    return presentByDomain.get(domain) ?? NO_MEMBERS;
  }

  /** Returns the sorted names of the failure domains with present members. */
  domains(): readonly string[] {
    return this.#views().domains;
  }

  /**
   * Returns the present members that claim to hold a leased slot.
   *
   * @param slot Name of the slot.
   * @returns The members. An unreachable member may still be listed beside the
   * current holder.
   */
  holdersOf(slot: string): readonly Member[] {
    return this.#views().holdersBySlot.get(slot) ?? NO_MEMBERS;
  }

  /**
   * Removes members that left or died at least {@linkcode TOMBSTONE_MS} ago.
   *
   * @param nowMs Unix time in ms.
   * @returns Ids of the removed members.
   */
  removeExpired(nowMs: number): string[] {
    const removed: string[] = [];
    for (const [id, row] of this.#rows) {
      if (isPresent(row.member)) continue;
      if (nowMs - row.changedAtMs < TOMBSTONE_MS) continue;
      this.#rows.delete(id);
      removed.push(id);
    }
    if (removed.length > 0) this.#invalidateCaches();
    return removed;
  }

  /**
   * Digests of the present members, by bucket.
   *
   * Tables with equal bucket digests agree. Otherwise, only the members of the
   * differing buckets need to be exchanged.
   */
  get bucketDigests(): readonly number[] {
    return this.#bucketDigests;
  }

  /** Digest over all buckets. */
  get digest(): string {
    this.#digest ??= createHash("sha1").update(this.#bucketDigests.join())
      .digest("hex").slice(0, 16);
    return this.#digest;
  }

  /**
   * Returns the members of some buckets, including left and dead ones.
   *
   * @param buckets Bucket numbers.
   * @returns The members.
   */
  inBuckets(buckets: ReadonlySet<number>): Member[] {
    return this.all().filter((member) => buckets.has(bucketOf(member.id)));
  }

  #invalidateCaches(): void {
    this.#digest = undefined;
    this.#cachedViews = undefined;
  }

  #views(): Views {
    this.#cachedViews ??= deriveViews(
      Array.from(this.#rows.values(), (row) => row.member),
    );
    return this.#cachedViews;
  }
}

function deriveViews(all: readonly Member[]): Views {
  const present = all.filter(isPresent);
  const presentByDomain = new Map<string, Member[]>();
  const holdersBySlot = new Map<string, Member[]>();
  for (const member of present) {
    addTo(presentByDomain, member.domain, member);
    for (const slot of member.leasedSlots) addTo(holdersBySlot, slot, member);
  }
  const domains = [...presentByDomain.keys()].sort();
  return { all, present, presentByDomain, domains, holdersBySlot };
}

function addTo(
  groups: Map<string, Member[]>,
  key: string,
  member: Member,
): void {
  const group = groups.get(key);
  if (group === undefined) groups.set(key, [member]);
  else group.push(member);
}

function digestPartOf(member: Member): number {
  if (!isPresent(member)) return 0;
  return hash32(`${member.id} ${member.incarnation} ${member.state}`);
}

function bucketOf(id: string): number {
  return hash32(id) % BUCKET_COUNT;
}

/**
 * Returns whether a member is still part of the fleet.
 *
 * @param member The member.
 * @returns False if the member left or was declared dead.
 *
 * @example
 * ```ts ignore
 * const peers = table.all().filter(isPresent);
 * ```
 */
export function isPresent(member: Member): boolean {
  return member.state !== MemberState.LEFT && member.state !== MemberState.DEAD;
}

/**
 * Returns whether a member's backend server may receive new requests.
 *
 * @param member The member.
 * @returns Whether the backend server is ready, and the member is alive or only
 * suspected.
 *
 * @example
 * ```ts ignore
 * const endpoints = table.all().filter(canTakeWork);
 * ```
 */
export function canTakeWork(member: Member): boolean {
  return member.backendReady && member.service !== "" &&
    (member.state === MemberState.ALIVE ||
      member.state === MemberState.SUSPECT);
}

function supersedes(update: Member, known: Member): boolean {
  if (update.incarnation !== known.incarnation) {
    // A member that left never returns under its id. A member that was declared
    // dead may refute that with a higher incarnation.
    return known.state !== MemberState.LEFT &&
      update.incarnation > known.incarnation;
  }
  return STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[known.state];
}
