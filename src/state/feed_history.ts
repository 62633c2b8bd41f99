import type { ChangeBatch, StoreChange } from "../protocol/feed.ts";
import type { StoreEntry } from "../protocol/store.ts";

interface RevisedChange {
  readonly change: StoreChange;
  readonly revision: number;
}

/**
 * Holds the state of the store and the latest change of each key that this
 * daemon read, for daemons that read from it instead of the store.
 *
 * @example
 * ```ts
 * const history = new FeedHistory();
 * history.reset([], 7);
 * history.record([{ key: "a" }], 9);
 * history.since(7);
 * // { events: [{ key: "a" }], revision: 9, isComplete: false }
 * ```
 */
export class FeedHistory {
  readonly #changes = new Map<string, RevisedChange>();
  readonly #waiters = new Set<() => void>();
  #startRevision = Infinity;
  #revision = 0;
  #era: number | undefined;

  /** Latest revision that was read; 0 before the first read. */
  get revision(): number {
    return this.#revision;
  }

  /** Era of the store in which it was read; `undefined` if it names none. */
  get era(): number | undefined {
    return this.#era;
  }

  /**
   * Starts the history after a full read of the store.
   *
   * @param entries All entries of the store.
   * @param revision Store revision of the read.
   * @param era Era of the store.
   */
  reset(entries: readonly StoreEntry[], revision: number, era?: number): void {
    this.#era = era;
    this.#changes.clear();
    for (const entry of entries) {
      this.#changes.set(entry.key, {
        change: { key: entry.key, entry },
        revision,
      });
    }
    this.#startRevision = revision;
    this.#revision = revision;
    this.#notifyWaiters();
  }

  /**
   * Adds the result of a poll of the store.
   *
   * @param changes The changes, oldest first.
   * @param revision Revision from which the next poll continues.
   */
  record(changes: readonly StoreChange[], revision: number): void {
    for (const change of changes) {
      // Deleting the key first keeps the map in revision order.
      this.#changes.delete(change.key);
      this.#changes.set(change.key, { change, revision });
    }
    this.#revision = revision;
    if (changes.length > 0) this.#notifyWaiters();
  }

  /**
   * Returns the changes after a revision.
   *
   * @param revision The revision.
   * @returns The latest change of each key, or all entries if the history starts
   * after the revision; `undefined` before the first read.
   */
  since(revision: number): ChangeBatch | undefined {
    if (this.#revision === 0) return undefined;
    const isComplete = revision < this.#startRevision;
    const events = [...this.#changes.values()]
      .filter((entry) =>
        isComplete
          ? entry.change.entry !== undefined
          : entry.revision > revision
      )
      .map((entry) => entry.change);
    return {
      events,
      revision: Math.max(revision, this.#revision),
      isComplete,
      ...(this.#era === undefined ? {} : { era: this.#era }),
    };
  }

  /**
   * Ends the waits for a change, as the view has been confirmed or lost.
   */
  wake(): void {
    this.#notifyWaiters();
  }

  /**
   * Waits for the next change.
   *
   * @param waitMs Maximum time to wait, in ms.
   * @returns A promise that resolves at the next change, when woken, or after
   * `waitMs`.
   */
  waitForChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.#waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.#waiters.add(finish);
    });
  }

  #notifyWaiters(): void {
    for (const waiter of [...this.#waiters]) waiter();
  }
}
