import { compareEras, EraOrder } from "../coordination/eras/mod.ts";
import type { ChangeBatch, FeedAnswer, FeedPoll } from "../protocol/feed.ts";
import type { FeedHistory } from "../state/feed_history.ts";

/** Age of a reader's view from which it refuses its followers, in ms. */
export const MAX_READER_AGE_MS = 1_500;

/** Options of a {@linkcode FeedSource}. */
export interface FeedSourceOptions {
  readonly history: FeedHistory;
  /** Whether the store is taken to answer. */
  readonly isConnected: () => boolean;
  /** Age of this daemon's view of the store, in ms. */
  readonly viewAgeMs: () => number;
}

/**
 * Serves what this daemon has read from the store to the daemons that follow it.
 *
 * @example
 * ```ts ignore
 * const answer = await feed.waitForUpdate(poll, () => true);
 * ```
 */
export class FeedSource {
  readonly #options: FeedSourceOptions;

  /**
   * Creates a source.
   *
   * @param options What this daemon has read.
   */
  constructor(options: FeedSourceOptions) {
    this.#options = options;
  }

  /**
   * Waits for changes that this daemon reads from the store.
   *
   * @param poll Where the follower goes on, and how long it waits.
   * @param readsStore Whether this daemon reads the store now.
   * @returns The changes, or why this daemon cannot say that there are none.
   */
  async waitForUpdate(
    poll: FeedPoll,
    readsStore: () => boolean,
  ): Promise<FeedAnswer> {
    const { waitMs, waitsForStore } = poll;
    const deadlineMs = performance.now() + waitMs;
    for (;;) {
      if (!readsStore()) return { kind: "refused" };
      const batch = this.#changesFor(poll);
      const nowMs = performance.now();
      const isCurrent = this.#options.isConnected() &&
        this.#options.viewAgeMs() < MAX_READER_AGE_MS;
      if (batch !== undefined) {
        // Changes are worth having, however old the view is.
        const hasChanged = batch.events.length > 0 ||
          batch.era !== poll.era && poll.era !== undefined;
        if (hasChanged || isCurrent && nowMs >= deadlineMs) {
          return { kind: "changes", batch };
        }
      }
      // Without changes, the follower is ahead: this daemon learns the era soon.
      const isOver = nowMs >= deadlineMs;
      const isAway = !isCurrent && (!waitsForStore || isOver) ||
        batch === undefined && isOver;
      if (isAway) return { kind: "away" };
      const currentForMs = isCurrent
        ? MAX_READER_AGE_MS - this.#options.viewAgeMs()
        : Infinity;
      await this.#options.history.waitForChange(
        Math.max(1, Math.min(deadlineMs - nowMs, currentForMs)),
      );
    }
  }

  /** Returns the changes for a follower; `undefined` if it is ahead. */
  #changesFor({ afterRevision, era }: FeedPoll): ChangeBatch | undefined {
    switch (compareEras(era, this.#options.history.era)) {
      case EraOrder.Earlier:
        return this.#options.history.since(-1);
      case EraOrder.Same:
        return this.#options.history.since(afterRevision);
      case EraOrder.Later:
        return undefined;
    }
  }
}
