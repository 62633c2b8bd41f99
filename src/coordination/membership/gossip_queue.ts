/** Copies of an update that each daemon sends, times the logarithm of the fleet. */
const RETRANSMIT_FACTOR = 3;

interface Pending<T> {
  readonly update: T;
  sent: number;
}

/**
 * Queue of updates that travel on other messages.
 *
 * Each update is sent a number of times that grows with the logarithm of the
 * fleet; the least sent go first, and a newer update replaces an older one.
 *
 * @example
 * ```ts
 * const queue = new Dissemination<string>();
 * queue.add("member-1", "alive");
 * queue.take(8, 100); // ["alive"]
 * ```
 */
export class GossipQueue<T> {
  readonly #pending = new Map<string, Pending<T>>();

  /** Number of updates that are still being sent. */
  get size(): number {
    return this.#pending.size;
  }

  /**
   * Adds an update.
   *
   * @param key What the update is about.
   * @param update The update.
   */
  add(key: string, update: T): void {
    this.#pending.set(key, { update, sent: 0 });
  }

  /**
   * Takes the updates for one message.
   *
   * @param limit Most updates in the message.
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
