import type { ChangeBatch, StoreChange } from "../protocol/feed.ts";

interface Stamped {
  readonly change: StoreChange;
  readonly revision: number;
}

/**
 * The newest change of each key that a daemon has read from the store, for the
 * daemons that follow it instead of the store.
 *
 * @example
 * ```ts
 * const history = new FeedHistory();
 * history.restart(7);
 * history.record([{ key: "a" }], 9);
 * history.since(7); // { events: [{ key: "a" }], revision: 9 }
 * ```
 */
export class FeedHistory {
  readonly #changes = new Map<string, Stamped>();
  readonly #waiters = new Set<() => void>();
  #startRevision = Infinity;
  #revision = 0;

  /** Newest revision that was read; 0 before the first. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Forgets all, as the store was read whole.
   *
   * @param revision Revision at which it was read.
   */
  restart(revision: number): void {
    this.#changes.clear();
    this.#startRevision = revision;
    this.#revision = revision;
    this.#wake();
  }

  /**
   * Takes in what a poll of the store returned.
   *
   * @param changes The changes, oldest first.
   * @param revision Revision to continue from.
   */
  record(changes: readonly StoreChange[], revision: number): void {
    for (const change of changes) {
      // Set anew, so that the map stays in the order of the revisions.
      this.#changes.delete(change.key);
      this.#changes.set(change.key, { change, revision });
    }
    this.#revision = revision;
    if (changes.length > 0) this.#wake();
  }

  /**
   * Returns what came after a revision.
   *
   * @param revision The revision.
   * @returns The news; `undefined` where the history does not reach back.
   */
  since(revision: number): ChangeBatch | undefined {
    if (revision < this.#startRevision) return undefined;
    const events = [...this.#changes.values()]
      .filter((one) => one.revision > revision)
      .map((one) => one.change);
    return { events, revision: Math.max(revision, this.#revision) };
  }

  /**
   * Waits for the next change.
   *
   * @param waitMs Longest time to wait.
   * @returns Once there is one, or the time is over.
   */
  changed(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        this.#waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.#waiters.add(done);
    });
  }

  #wake(): void {
    for (const waiter of [...this.#waiters]) waiter();
  }
}
