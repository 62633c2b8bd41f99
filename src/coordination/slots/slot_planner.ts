import {
  type Member,
  MemberState,
} from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { rendezvous } from "../../protocol/hash.ts";

/** Number of candidates that try to acquire a vacant slot, in turn. */
export const CANDIDATES_PER_SLOT = 3;
/** Time for which a slot is vacant before the first candidate tries, in ms. */
const VACANCY_GRACE_MS = 500;
/** Delay between the attempts of successive candidates, in ms. */
const STAGGER_MS = 1_000;
/** Time for which a slot in backoff is not tried, in ms. */
const BACKOFF_MS = 5_000;

/** A role that one daemon at a time holds by a lease in the store. */
export interface SlotDefinition {
  /** Name, which is also its key in the store. */
  readonly name: string;
  /** Failure domain whose members may hold it; `undefined` for any member. */
  readonly domain: string | undefined;
}

/** The fields of a member that the assignment of slots depends on. */
export type SlotMember = Pick<
  Member,
  "id" | "domain" | "leasedSlots" | "state"
>;

/**
 * Decides which slots this daemon tries to acquire or releases.
 *
 * The holders are known from gossip, which costs the store no calls. Only the
 * first few members in the slot's rendezvous order try, in turn, so that the
 * number of store calls does not grow with the fleet, not even if all daemons
 * restart at once.
 *
 * @example
 * ```ts
 * const planner = new SlotPlanner("a", [{ name: "slots/reader/east/0", domain: "east" }]);
 * planner.slotsToAcquire([], 0); // []
 * ```
 */
export class SlotPlanner {
  readonly #selfId: string;
  readonly #slots: readonly SlotDefinition[];
  readonly #vacantSinceMs = new Map<string, number>();
  readonly #backOffUntilMs = new Map<string, number>();

  /**
   * Creates a planner.
   *
   * @param selfId Id of this daemon.
   * @param slots All slots of the fleet.
   */
  constructor(selfId: string, slots: readonly SlotDefinition[]) {
    this.#selfId = selfId;
    this.#slots = slots;
  }

  /**
   * Returns the slots to try to acquire now, at most one of each kind.
   *
   * @param members Present members, this daemon included.
   * @param nowMs Monotonic time, in ms.
   * @returns The names of the slots.
   */
  slotsToAcquire(members: readonly SlotMember[], nowMs: number): string[] {
    const held = new Set(members.flatMap((member) => member.leasedSlots));
    const dueKinds = new Set<string>();
    return this.#slots.filter((slot) => {
      if (held.has(slot.name)) {
        this.#vacantSinceMs.delete(slot.name);
        return false;
      }
      const sinceMs = this.#vacantSinceMs.get(slot.name) ?? nowMs;
      this.#vacantSinceMs.set(slot.name, sinceMs);
      const kind = kindOf(slot.name);
      const isDue = !dueKinds.has(kind) &&
        nowMs >= (this.#backOffUntilMs.get(slot.name) ?? 0) &&
        this.#isDue(slot, members, nowMs - sinceMs);
      if (isDue) dueKinds.add(kind);
      return isDue;
    }).map((slot) => slot.name);
  }

  /**
   * Returns a slot to release if this daemon holds more than its fair share.
   *
   * @param members Present members, this daemon included.
   * @returns The slot's name; `undefined` if there is none.
   */
  slotToRelease(members: readonly SlotMember[]): string | undefined {
    const self = members.find((member) => member.id === this.#selfId);
    // The last known state of an unreachable member may still list a slot that
    // it lost. If this daemon released it, no one would notice the vacancy.
    const heldByOthers = new Set(
      members.filter((member) => member !== self)
        .flatMap((member) => member.leasedSlots),
    );
    return self?.leasedSlots.find((name) => {
      if (heldByOthers.has(name)) return false;
      const slot = this.#slots.find((one) => one.name === name);
      if (slot === undefined) return false;
      const eligible = eligibleMembers(slot, members);
      return countHeldOfKind(self, name) >
        this.#fairShare(slot, eligible.length);
    });
  }

  /**
   * Suspends the attempts to acquire a slot, after another daemon turned out to
   * hold it or this one released it.
   *
   * @param name Name of the slot.
   * @param nowMs Monotonic time, in ms.
   */
  backOff(name: string, nowMs: number): void {
    this.#backOffUntilMs.set(name, nowMs + BACKOFF_MS);
  }

  #isDue(
    slot: SlotDefinition,
    members: readonly SlotMember[],
    vacantMs: number,
  ): boolean {
    const eligible = eligibleMembers(slot, members);
    const fairShare = this.#fairShare(slot, eligible.length);
    const eligibleIds = eligible
      .filter((member) => countHeldOfKind(member, slot.name) < fairShare)
      .map((member) => member.id);
    const candidateIds = rendezvous(
      slot.name,
      eligibleIds,
      CANDIDATES_PER_SLOT,
    );
    const index = candidateIds.indexOf(this.#selfId);
    return index >= 0 && vacantMs >= VACANCY_GRACE_MS + index * STAGGER_MS;
  }

  /** Most slots of a kind that each of a number of members holds. */
  #fairShare(slot: SlotDefinition, memberCount: number): number {
    const kind = kindOf(slot.name);
    const total = this.#slots.filter((one) => kindOf(one.name) === kind).length;
    return Math.ceil(total / Math.max(1, memberCount));
  }
}

function eligibleMembers(
  slot: SlotDefinition,
  members: readonly SlotMember[],
): SlotMember[] {
  return members.filter((member) =>
    // Draining and suspect members are not expected to stay.
    member.state === MemberState.ALIVE &&
    (slot.domain === undefined || member.domain === slot.domain)
  );
}

/** Returns the kind of a slot: its name without the last path segment. */
function kindOf(name: string): string {
  return name.slice(0, name.lastIndexOf("/") + 1);
}

function countHeldOfKind(member: SlotMember, name: string): number {
  const kind = kindOf(name);
  return member.leasedSlots.filter((held) => kindOf(held) === kind).length;
}

/** Prefix of the names of all reader slots. */
export const READER_SLOT_PREFIX = "slots/reader/";
/** Store readers per failure domain; they are also gossip contacts. */
export const READERS_PER_DOMAIN = 2;

/**
 * Returns the name of a reader slot.
 *
 * @param domain The failure domain.
 * @param index Number of the slot in the domain.
 * @returns The slot's name, which is also its key.
 *
 * @example
 * ```ts
 * readerSlotName("east", 0); // "slots/reader/east/0"
 * ```
 */
export function readerSlotName(domain: string, index: number): string {
  return `${READER_SLOT_PREFIX}${domain}/${index}`;
}

/**
 * Returns the name of a claim partition's slot.
 *
 * @param partition Number of the partition.
 * @returns The slot's name, which is also its key.
 *
 * @example
 * ```ts
 * claimSlotName(3); // "slots/claims/3"
 * ```
 */
export function claimSlotName(partition: number): string {
  return `slots/claims/${partition}`;
}

/**
 * Returns the slots that a daemon of a domain may hold.
 *
 * @param domain The daemon's failure domain.
 * @param partitions Number of claim partitions.
 * @returns The slots.
 *
 * @example
 * ```ts
 * slotsFor("east", 1).length; // 3
 * ```
 */
export function slotsFor(domain: string, partitions: number): SlotDefinition[] {
  const readers = Array.from({ length: READERS_PER_DOMAIN }, (_, index) => ({
    name: readerSlotName(domain, index),
    domain,
  }));
  const claims = Array.from({ length: partitions }, (_, index) => ({
    name: claimSlotName(index),
    domain: undefined,
  }));
  return [...readers, ...claims];
}
