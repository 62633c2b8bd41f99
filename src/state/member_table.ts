import { createHash } from "node:crypto";
import { hash32 } from "../protocol/hash.ts";
import {
  type Member,
  MemberState,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";

/** A change of what is known of a member. */
export interface MemberChange {
  readonly member: Member;
  readonly previous: Member | undefined;
}

/** Precedence of states that carry the same incarnation. */
const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = {
  [MemberState.UNSPECIFIED]: 0,
  [MemberState.ALIVE]: 1,
  [MemberState.DRAINING]: 1,
  [MemberState.SUSPECT]: 2,
  [MemberState.LEFT]: 3,
  [MemberState.DEAD]: 4,
};

/** Number of parts that a table is compared in. */
export const BUCKET_COUNT = 64;
/** Time for which a gone member is remembered, so that it does not return. */
export const TOMBSTONE_MS = 600_000;

interface Row {
  readonly member: Member;
  readonly changedAtMs: number;
  /** The member's part of its bucket's digest; 0 once it has gone. */
  readonly digestPart: number;
}

/** What is derived from all rows, kept until one changes. */
interface Views {
  readonly all: readonly Member[];
  readonly present: readonly Member[];
  readonly presentByDomain: ReadonlyMap<string, readonly Member[]>;
  readonly domains: readonly string[];
  readonly holdersBySlot: ReadonlyMap<string, readonly Member[]>;
}

const NO_MEMBERS: readonly Member[] = [];

/**
 * All members that this daemon knows of.
 *
 * A higher incarnation wins; within one incarnation a later state wins, so
 * that updates may arrive in any order, late and more than once.
 *
 * @example
 * ```ts
 * new MemberTable().size; // 0
 * ```
 */
export class MemberTable {
  readonly #rows = new Map<string, Row>();
  readonly #digests: number[] = Array.from({ length: BUCKET_COUNT }, () => 0);
  #digest: string | undefined;
  #cachedViews: Views | undefined;

  /** Number of members, gone ones included. */
  get size(): number {
    return this.#rows.size;
  }

  /**
   * Takes in what someone says of a member.
   *
   * @param member The update.
   * @param nowMs Unix time.
   * @returns The change, or `undefined` where the update is old.
   */
  merge(member: Member, nowMs: number): MemberChange | undefined {
    const row = this.#rows.get(member.id);
    if (row !== undefined && !supersedes(member, row.member)) return undefined;
    const digestPart = digestPartOf(member);
    this.#rows.set(member.id, { member, changedAtMs: nowMs, digestPart });
    const bucket = bucketOf(member.id);
    const others = this.#digests[bucket]! ^ (row?.digestPart ?? 0);
    this.#digests[bucket] = (others ^ digestPart) >>> 0;
    this.#forgetDerived();
    return { member, previous: row?.member };
  }

  /**
   * Returns a member.
   *
   * @param id The member's id.
   * @returns What is known of it.
   */
  get(id: string): Member | undefined {
    return this.#rows.get(id)?.member;
  }

  /** Returns all members, gone ones included. */
  all(): readonly Member[] {
    return this.#views().all;
  }

  /**
   * Returns the members that have not gone.
   *
   * @param domain Limits the result to a failure domain.
   * @returns The members.
   */
  present(domain?: string): readonly Member[] {
    const { present, presentByDomain } = this.#views();
    if (domain === undefined) return present;
    return presentByDomain.get(domain) ?? NO_MEMBERS;
  }

  /** Names of the failure domains with members. */
  domains(): readonly string[] {
    return this.#views().domains;
  }

  /**
   * Returns the present members that say they hold a leased slot.
   *
   * @param slot Name of the slot.
   * @returns The members: one, or more where some are out of reach.
   */
  holdersOf(slot: string): readonly Member[] {
    return this.#views().holdersBySlot.get(slot) ?? NO_MEMBERS;
  }

  /**
   * Forgets members that went long ago.
   *
   * @param nowMs Unix time.
   * @returns Ids of the forgotten members.
   */
  removeExpired(nowMs: number): string[] {
    const forgotten: string[] = [];
    for (const [id, row] of this.#rows) {
      if (isPresent(row.member)) continue;
      if (nowMs - row.changedAtMs < TOMBSTONE_MS) continue;
      this.#rows.delete(id);
      forgotten.push(id);
    }
    if (forgotten.length > 0) this.#forgetDerived();
    return forgotten;
  }

  /**
   * Digests of the members that have not gone, by bucket.
   *
   * Two tables agree where all their bucket digests do; where they differ,
   * only the members of the differing buckets need to be exchanged.
   */
  get bucketDigests(): readonly number[] {
    return this.#digests;
  }

  /** Digest over all buckets. */
  get digest(): string {
    this.#digest ??= createHash("sha1").update(this.#digests.join())
      .digest("hex").slice(0, 16);
    return this.#digest;
  }

  /**
   * Returns the members of some buckets, gone ones included.
   *
   * @param buckets Bucket numbers.
   * @returns The members.
   */
  inBuckets(buckets: ReadonlySet<number>): Member[] {
    return this.all().filter((member) => buckets.has(bucketOf(member.id)));
  }

  #forgetDerived(): void {
    this.#digest = undefined;
    this.#cachedViews = undefined;
  }

  #views(): Views {
    this.#cachedViews ??= viewsOf(
      Array.from(this.#rows.values(), (row) => row.member),
    );
    return this.#cachedViews;
  }
}

function viewsOf(all: readonly Member[]): Views {
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
 * Says whether a member is still part of the fleet.
 *
 * @param member The member.
 * @returns False once it left or was declared dead.
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
 * Says whether a member's backend server may get new work.
 *
 * @param member The member.
 * @returns Whether it is alive, or merely suspected, and ready.
 *
 * @example
 * ```ts ignore
 * const endpoints = table.all().filter(takesWork);
 * ```
 */
export function canTakeWork(member: Member): boolean {
  return member.backendReady && member.service !== "" &&
    (member.state === MemberState.ALIVE ||
      member.state === MemberState.SUSPECT);
}

function supersedes(update: Member, known: Member): boolean {
  if (update.incarnation !== known.incarnation) {
    // Leaving is final for an id. Death is not: the member may refute it.
    return known.state !== MemberState.LEFT &&
      update.incarnation > known.incarnation;
  }
  return STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[known.state];
}
