import {
  type Member,
  MemberState,
} from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { rendezvous } from "../../protocol/hash.ts";

/** Candidates that try to take a vacant slot, one after the other. */
export const CANDIDATES_PER_SLOT = 3;
/** Time for which a slot has to be vacant before a candidate takes it, in ms. */
const VACANCY_GRACE_MS = 500;
/** Head start of each candidate over the next, in ms. */
const STAGGER_MS = 1_000;
/** Pause after an attempt that another holder won, in ms. */
const RETRY_PAUSE_MS = 5_000;

/** A duty that a constant number of daemons holds by a lease in the store. */
export interface SlotDefinition {
  /** Name, which is also its key in the store. */
  readonly name: string;
  /** Whether only members of one failure domain may hold it. */
  readonly domain: string | undefined;
}

/** A member as far as slots are concerned. */
export type SlotMember = Pick<
  Member,
  "id" | "domain" | "leasedSlots" | "state"
>;

/**
 * Decides which vacant slots this daemon tries to take.
 *
 * Who holds a slot is learned from gossip, at no cost to the store. Only the
 * first few members in the slot's rendezvous order try, one after the other,
 * so that the store's calls do not grow with the fleet, nor in a herd restart.
 *
 * @example
 * ```ts
 * const keeper = new SlotKeeper("a", [{ name: "slots/reader/east/0", domain: "east" }]);
 * keeper.wanted([], 0); // []
 * ```
 */
export class SlotPlanner {
  readonly #selfId: string;
  readonly #slots: readonly SlotDefinition[];
  readonly #vacantSinceMs = new Map<string, number>();
  readonly #pausedUntilMs = new Map<string, number>();

  /**
   * Creates a keeper.
   *
   * @param selfId Id of this daemon.
   * @param slots All slots of the fleet.
   */
  constructor(selfId: string, slots: readonly SlotDefinition[]) {
    this.#selfId = selfId;
    this.#slots = slots;
  }

  /**
   * Returns the slots to try to take now, one of a kind at most.
   *
   * @param members Present members, this daemon included.
   * @param nowMs Monotonic time.
   * @returns Names of slots.
   */
  slotsToAcquire(members: readonly SlotMember[], nowMs: number): string[] {
    const held = new Set(members.flatMap((member) => member.leasedSlots));
    const wantedKinds = new Set<string>();
    return this.#slots.filter((slot) => {
      if (held.has(slot.name)) {
        this.#vacantSinceMs.delete(slot.name);
        return false;
      }
      const sinceMs = this.#vacantSinceMs.get(slot.name) ?? nowMs;
      this.#vacantSinceMs.set(slot.name, sinceMs);
      const kind = kindOf(slot.name);
      const isDue = !wantedKinds.has(kind) &&
        nowMs >= (this.#pausedUntilMs.get(slot.name) ?? 0) &&
        this.#isDue(slot, members, nowMs - sinceMs);
      if (isDue) wantedKinds.add(kind);
      return isDue;
    }).map((slot) => slot.name);
  }

  /**
   * Returns a slot to give up, where this daemon holds more than its part.
   *
   * @param members Present members, this daemon included.
   * @returns The slot's name, if there is one.
   */
  slotToRelease(members: readonly SlotMember[]): string | undefined {
    const self = members.find((member) => member.id === this.#selfId);
    // A member that is out of reach may seem to hold a slot that it lost. If
    // this daemon gave such a slot up, nobody would see that it is vacant.
    const ofOthers = new Set(
      members.filter((member) => member !== self)
        .flatMap((member) => member.leasedSlots),
    );
    return self?.leasedSlots.find((name) => {
      if (ofOthers.has(name)) return false;
      const slot = this.#slots.find((one) => one.name === name);
      if (slot === undefined) return false;
      const eligible = eligibleFor(slot, members);
      return heldOfKind(self, name) > this.#fairPart(slot, eligible.length);
    });
  }

  /**
   * Records that another daemon holds a slot that looked vacant.
   *
   * @param name Name of the slot.
   * @param nowMs Monotonic time.
   */
  backOff(name: string, nowMs: number): void {
    this.#pausedUntilMs.set(name, nowMs + RETRY_PAUSE_MS);
  }

  #isDue(
    slot: SlotDefinition,
    members: readonly SlotMember[],
    vacantMs: number,
  ): boolean {
    const eligible = eligibleFor(slot, members);
    const part = this.#fairPart(slot, eligible.length);
    const ids = eligible
      .filter((member) => heldOfKind(member, slot.name) < part)
      .map((member) => member.id);
    const order = rendezvous(slot.name, ids, CANDIDATES_PER_SLOT);
    const index = order.indexOf(this.#selfId);
    return index >= 0 && vacantMs >= VACANCY_GRACE_MS + index * STAGGER_MS;
  }

  /** Slots of a kind that each of some members holds at most. */
  #fairPart(slot: SlotDefinition, memberCount: number): number {
    const kind = kindOf(slot.name);
    const total = this.#slots.filter((one) => kindOf(one.name) === kind).length;
    return Math.ceil(total / Math.max(1, memberCount));
  }
}

function eligibleFor(
  slot: SlotDefinition,
  members: readonly SlotMember[],
): SlotMember[] {
  return members.filter((member) =>
    // Who drains or is suspected does not stay.
    member.state === MemberState.ALIVE &&
    (slot.domain === undefined || member.domain === slot.domain)
  );
}

/** Slots of a kind have all but the last part of their names in common. */
function kindOf(name: string): string {
  return name.slice(0, name.lastIndexOf("/") + 1);
}

function heldOfKind(member: SlotMember, name: string): number {
  const kind = kindOf(name);
  return member.leasedSlots.filter((held) => kindOf(held) === kind).length;
}

/** Prefix of the names of all reader slots. */
export const READER_SLOT_PREFIX = "slots/reader/";
/** Readers of the store, which are also contacts, in each failure domain. */
export const READERS_PER_DOMAIN = 2;

/**
 * Returns the name of a reader slot.
 *
 * @param domain The failure domain.
 * @param index Number of the slot in the domain.
 * @returns The slot's name and key.
 *
 * @example
 * ```ts
 * readerSlot("east", 0); // "slots/reader/east/0"
 * ```
 */
export function readerSlotName(domain: string, index: number): string {
  return `${READER_SLOT_PREFIX}${domain}/${index}`;
}

/**
 * Returns the name of a claim partition's slot.
 *
 * @param partition Number of the partition.
 * @returns The slot's name and key.
 *
 * @example
 * ```ts
 * claimSlot(3); // "slots/claims/3"
 * ```
 */
export function claimSlotName(partition: number): string {
  return `slots/claims/${partition}`;
}

/**
 * Lists the slots that a daemon of a domain may hold.
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
