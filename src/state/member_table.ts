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
export const BUCKETS = 64;
/** Time for which a gone member is remembered, so that it does not return. */
export const TOMBSTONE_MS = 600_000;

interface Row {
  member: Member;
  changedAtMs: number;
}

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
  #digests: number[] | undefined;

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
    this.#rows.set(member.id, { member, changedAtMs: nowMs });
    this.#digests = undefined;
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
  all(): Member[] {
    return [...this.#rows.values()].map((row) => row.member);
  }

  /**
   * Returns the members that have not gone.
   *
   * @param domain Limits the result to a failure domain.
   * @returns The members.
   */
  present(domain?: string): Member[] {
    return this.all().filter((member) =>
      isPresent(member) && (domain === undefined || member.domain === domain)
    );
  }

  /** Names of the failure domains with members. */
  domains(): string[] {
    return [...new Set(this.present().map((member) => member.domain))].sort();
  }

  /**
   * Forgets members that went long ago.
   *
   * @param nowMs Unix time.
   * @returns Ids of the forgotten members.
   */
  forgetGone(nowMs: number): string[] {
    const forgotten: string[] = [];
    for (const [id, row] of this.#rows) {
      if (isPresent(row.member)) continue;
      if (nowMs - row.changedAtMs < TOMBSTONE_MS) continue;
      this.#rows.delete(id);
      forgotten.push(id);
    }
    if (forgotten.length > 0) this.#digests = undefined;
    return forgotten;
  }

  /**
   * Digests of the members that have not gone, by bucket.
   *
   * Two tables agree where all their bucket digests do; where they differ,
   * only the members of the differing buckets need to be exchanged.
   */
  get bucketDigests(): readonly number[] {
    this.#digests ??= this.#computeDigests();
    return this.#digests;
  }

  /** Digest over all buckets. */
  get digest(): string {
    const hash = createHash("sha1");
    return hash.update(this.bucketDigests.join()).digest("hex").slice(0, 16);
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

  #computeDigests(): number[] {
    const lines: string[][] = Array.from({ length: BUCKETS }, () => []);
    for (const member of this.all()) {
      if (!isPresent(member)) continue;
      const line = `${member.id} ${member.incarnation} ${member.state}`;
      lines[bucketOf(member.id)]!.push(line);
    }
    return lines.map((bucket) => hash32(bucket.sort().join("\n")));
  }
}

function bucketOf(id: string): number {
  return hash32(id) % BUCKETS;
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
export function takesWork(member: Member): boolean {
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
