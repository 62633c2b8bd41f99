import { rendezvous } from "../../protocol/hash.ts";

/** Candidates that try to take a vacant slot, one after the other. */
export const CANDIDATES_PER_SLOT = 3;
/** Time for which a slot has to be vacant before a candidate takes it, in ms. */
const VACANCY_GRACE_MS = 1_000;
/** Head start of each candidate over the next, in ms. */
const STAGGER_MS = 1_500;
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
export interface SlotMember {
  readonly id: string;
  readonly domain: string;
  readonly leasedSlots: readonly string[];
  /** Whether it stays: it is neither draining nor suspected. */
  readonly isStable: boolean;
}

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
export class SlotKeeper {
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
   * Returns the slots to try to take now.
   *
   * @param members Present members, this daemon included.
   * @param nowMs Monotonic time.
   * @returns Names of slots.
   */
  wanted(members: readonly SlotMember[], nowMs: number): string[] {
    const held = new Set(members.flatMap((member) => member.leasedSlots));
    return this.#slots.filter((slot) => {
      if (held.has(slot.name)) {
        this.#vacantSinceMs.delete(slot.name);
        return false;
      }
      const sinceMs = this.#vacantSinceMs.get(slot.name) ?? nowMs;
      this.#vacantSinceMs.set(slot.name, sinceMs);
      return this.#isDue(slot, members, nowMs - sinceMs) &&
        nowMs >= (this.#pausedUntilMs.get(slot.name) ?? 0);
    }).map((slot) => slot.name);
  }

  /**
   * Records that another daemon holds a slot that looked vacant.
   *
   * @param name Name of the slot.
   * @param nowMs Monotonic time.
   */
  lost(name: string, nowMs: number): void {
    this.#pausedUntilMs.set(name, nowMs + RETRY_PAUSE_MS);
  }

  #isDue(
    slot: SlotDefinition,
    members: readonly SlotMember[],
    vacantMs: number,
  ): boolean {
    const eligible = members
      .filter((member) => member.isStable)
      .filter((member) =>
        slot.domain === undefined || member.domain === slot.domain
      );
    // Slots of a kind are spread over daemons as far as there are enough.
    const free = eligible.filter((member) => !holdsKind(member, slot.name));
    const ids = (free.length > 0 ? free : eligible).map((member) => member.id);
    const order = rendezvous(slot.name, ids, CANDIDATES_PER_SLOT);
    const index = order.indexOf(this.#selfId);
    return index >= 0 && vacantMs >= VACANCY_GRACE_MS + index * STAGGER_MS;
  }
}

function holdsKind(member: SlotMember, name: string): boolean {
  const kind = name.slice(0, name.lastIndexOf("/") + 1);
  return member.leasedSlots.some((held) => held.startsWith(kind));
}

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
export function readerSlot(domain: string, index: number): string {
  return `slots/reader/${domain}/${index}`;
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
export function claimSlot(partition: number): string {
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
    name: readerSlot(domain, index),
    domain,
  }));
  const claims = Array.from({ length: partitions }, (_, index) => ({
    name: claimSlot(index),
    domain: undefined,
  }));
  return [...readers, ...claims];
}
