import type { Member } from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import type { MemberTable } from "../../state/member_table.ts";
import {
  claimSlotName,
  READERS_PER_DOMAIN,
  readerSlotName,
} from "../slots/slot_planner.ts";

/** Bounds of the backoff after a failed call to a member, in ms. */
const MIN_BACKOFF_MS = 1_000;
const MAX_BACKOFF_MS = 8_000;

interface Backoff {
  readonly untilMs: number;
  readonly durationMs: number;
}

/**
 * Selects the members to send a claim to.
 *
 * The holder of the partition's slot is tried first. Members of other failure
 * domains are never declared dead, so a holder may stay unreachable for a long
 * time. A reader of the local domain then makes the claim instead. This is safe
 * because any member makes a claim by compare-and-swap in the store.
 *
 * @example
 * ```ts ignore
 * const holders = selector.candidates(3, performance.now());
 * ```
 */
export class HolderSelector {
  readonly #table: MemberTable;
  readonly #domain: string;
  readonly #backoffs = new Map<string, Backoff>();

  /**
   * Creates a selector without backoffs.
   *
   * @param table The member table.
   * @param domain Failure domain of this daemon.
   */
  constructor(table: MemberTable, domain: string) {
    this.#table = table;
    this.#domain = domain;
  }

  /**
   * Returns the members to try, in order.
   *
   * @param partition Number of the partition.
   * @param nowMs Monotonic time in ms.
   * @returns The holders, then the readers of the local domain, without members
   * of other domains that are in backoff.
   */
  candidates(partition: number, nowMs: number): Member[] {
    const slots = [
      claimSlotName(partition),
      // Distributes the partitions over the readers.
      ...Array.from(
        { length: READERS_PER_DOMAIN },
        (_, index) =>
          readerSlotName(
            this.#domain,
            (partition + index) % READERS_PER_DOMAIN,
          ),
      ),
    ];
    const members = new Set(
      slots.flatMap((slot) => this.#table.holdersOf(slot)),
    );
    // In the local domain, the failure detector removes dead members.
    return [...members].filter(({ id, domain }) =>
      domain === this.#domain || !this.#isBackedOff(id, nowMs)
    );
  }

  /**
   * Records that a member could not be reached.
   *
   * @param id The member's id.
   * @param nowMs Monotonic time in ms.
   */
  recordFailure(id: string, nowMs: number): void {
    this.#removeOld(nowMs);
    const known = this.#backoffs.get(id);
    if (known !== undefined && nowMs < known.untilMs) return;
    const durationMs = known === undefined
      ? MIN_BACKOFF_MS
      : Math.min(MAX_BACKOFF_MS, 2 * known.durationMs);
    this.#backoffs.set(id, { untilMs: nowMs + durationMs, durationMs });
  }

  /**
   * Records that a member answered.
   *
   * @param id The member's id.
   */
  recordSuccess(id: string): void {
    this.#backoffs.delete(id);
  }

  #isBackedOff(id: string, nowMs: number): boolean {
    const backoff = this.#backoffs.get(id);
    return backoff !== undefined && nowMs < backoff.untilMs;
  }

  /** Resets the backoff of members that were not called for a long time. */
  #removeOld(nowMs: number): void {
    for (const [id, { untilMs }] of this.#backoffs) {
      if (nowMs - untilMs > MAX_BACKOFF_MS) this.#backoffs.delete(id);
    }
  }
}
