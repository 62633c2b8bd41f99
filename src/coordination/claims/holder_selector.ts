import type { Member } from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import type { MemberTable } from "../../state/member_table.ts";
import {
  claimSlot,
  READERS_PER_DOMAIN,
  readerSlot,
} from "../slots/slot_keeper.ts";

/** Bounds of the time for which a member that failed is passed over, in ms. */
const MIN_DOUBT_MS = 1_000;
const MAX_DOUBT_MS = 8_000;

interface Doubt {
  readonly untilMs: number;
  readonly lengthMs: number;
}

/**
 * Chooses whom to ask for a claim.
 *
 * The holder of the partition's slot goes first. Members of other failure
 * domains are never declared dead, so a holder may be out of reach for long:
 * then a reader of the own domain stands in for it, since claims are made by
 * compare-and-swap in the store, whoever makes them.
 *
 * @example
 * ```ts ignore
 * for (const holder of choice.of(3, performance.now())) ask(holder);
 * ```
 */
export class HolderSelector {
  readonly #table: MemberTable;
  readonly #domain: string;
  readonly #doubts = new Map<string, Doubt>();

  /**
   * Creates a choice that doubts nobody.
   *
   * @param table The member table.
   * @param domain Failure domain of this daemon.
   */
  constructor(table: MemberTable, domain: string) {
    this.#table = table;
    this.#domain = domain;
  }

  /**
   * Lists whom to ask, one after the other.
   *
   * @param partition Number of the partition.
   * @param nowMs Monotonic time.
   * @returns The holders, then the readers of the own domain, without members
   * of other domains that failed lately.
   */
  candidates(partition: number, nowMs: number): Member[] {
    const slots = [
      claimSlot(partition),
      // The partitions are spread over the readers.
      ...Array.from(
        { length: READERS_PER_DOMAIN },
        (_, index) =>
          readerSlot(this.#domain, (partition + index) % READERS_PER_DOMAIN),
      ),
    ];
    const members = new Set(
      slots.flatMap((slot) => this.#table.holdersOf(slot)),
    );
    // The own domain's failure detector removes members that are gone.
    return [...members].filter(({ id, domain }) =>
      domain === this.#domain || !this.#isDoubted(id, nowMs)
    );
  }

  /**
   * Records that a member could not be reached.
   *
   * @param id The member's id.
   * @param nowMs Monotonic time.
   */
  recordFailure(id: string, nowMs: number): void {
    this.#forgetOld(nowMs);
    const known = this.#doubts.get(id);
    if (known !== undefined && nowMs < known.untilMs) return;
    const lengthMs = known === undefined
      ? MIN_DOUBT_MS
      : Math.min(MAX_DOUBT_MS, 2 * known.lengthMs);
    this.#doubts.set(id, { untilMs: nowMs + lengthMs, lengthMs });
  }

  /**
   * Records that a member answered.
   *
   * @param id The member's id.
   */
  recordSuccess(id: string): void {
    this.#doubts.delete(id);
  }

  #isDoubted(id: string, nowMs: number): boolean {
    const doubt = this.#doubts.get(id);
    return doubt !== undefined && nowMs < doubt.untilMs;
  }

  /** A member that was not asked again for long starts afresh. */
  #forgetOld(nowMs: number): void {
    for (const [id, { untilMs }] of this.#doubts) {
      if (nowMs - untilMs > MAX_DOUBT_MS) this.#doubts.delete(id);
    }
  }
}
