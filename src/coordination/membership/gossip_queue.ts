/** Sends of an update, as a multiple of the logarithm of the fleet size. */
const RETRANSMIT_FACTOR = 3;

interface PendingUpdate<T> {
  readonly update: T;
  sent: number;
}

/**
 * Queue of updates that are piggybacked on other messages.
 *
 * Each update is sent a number of times that grows with the logarithm of the
 * fleet size. Updates that were sent least often go first. A newer update
 * replaces an older one with the same key.
 *
 * @example
 * ```ts
 * const queue = new GossipQueue<string>();
 * queue.add("member-1", "alive");
 * queue.take(8, 100); // ["alive"]
 * ```
 */
export class GossipQueue<T> {
  readonly #pending = new Map<string, PendingUpdate<T>>();

  /** Number of updates in the queue. */
  get size(): number {
    return this.#pending.size;
  }

  /**
   * Adds an update.
   *
   * @param key Identifies the subject of the update.
   * @param update The update.
   */
  add(key: string, update: T): void {
    this.#pending.set(key, { update, sent: 0 });
  }

  /**
   * Returns the updates for one message and counts them as sent.
   *
   * @param limit Maximum number of updates in the message.
   * @param fleetSize Number of members.
   * @returns The updates.
   */
  take(limit: number, fleetSize: number): T[] {
    const chosen = [...this.#pending]
      .sort(([, a], [, b]) => a.sent - b.sent)
      .slice(0, limit);
    const maxSent = RETRANSMIT_FACTOR * Math.ceil(Math.log2(fleetSize + 2));
    for (const [key, pending] of chosen) {
      pending.sent++;
      if (pending.sent >= maxSent) this.#pending.delete(key);
    }
    return chosen.map(([, pending]) => pending.update);
  }
}
