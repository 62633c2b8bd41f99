import { chooseReaders } from "../coordination/readers/mod.ts";
import type { FeedNews } from "../protocol/feed.ts";
import { hash32 } from "../protocol/hash.ts";
import type { BackendRecord } from "../protocol/mesh.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { EventLog } from "../transport/observe/event_log.ts";

/** Time for which a reader that gave no news is not asked, in ms. */
const READER_PAUSE_MS = 3_000;

/** What a follower needs. */
export interface FeedFollowerOptions {
  readonly instance: string;
  readonly domain: string;
  readonly directory: BackendDirectory;
  /** Asks the daemon of a record for news after a revision. */
  readonly pollFeed: (
    record: BackendRecord,
    afterRevision: number,
  ) => Promise<FeedNews | undefined>;
  readonly log: EventLog;
}

/**
 * Gets news of the store from the readers of the own failure domain, so that
 * the store is called, and long configurations cross its links, once for each
 * reader and not once for each daemon.
 *
 * @example
 * ```ts ignore
 * const news = await follower.poll(revision);
 * if (news === undefined) await store.poll(options);
 * ```
 */
export class FeedFollower {
  readonly #options: FeedFollowerOptions;
  readonly #pausedUntilMs = new Map<string, number>();
  #reader = "";

  /**
   * Creates a follower without a reader.
   *
   * @param options Own place, directory and the way to other daemons.
   */
  constructor(options: FeedFollowerOptions) {
    this.#options = options;
  }

  /**
   * Waits for news from a reader.
   *
   * @param afterRevision Newest revision that was seen.
   * @returns The news; `undefined` where the store itself is to be read, as
   * this daemon is a reader, or no reader gives news.
   */
  async poll(afterRevision: number): Promise<FeedNews | undefined> {
    const reader = this.#chooseReader();
    this.#setReader(reader?.instance ?? "");
    if (reader === undefined) return undefined;
    const update = await this.#options.pollFeed(reader, afterRevision);
    if (update === undefined) {
      const untilMs = performance.now() + READER_PAUSE_MS;
      this.#pausedUntilMs.set(reader.instance, untilMs);
    }
    return update;
  }

  /** A reader that is not paused; none for a reader itself. */
  #chooseReader(): BackendRecord | undefined {
    const { instance, domain, directory } = this.#options;
    const records = [...directory.entries].map(({ record }) => record);
    const readers = chooseReaders(records, domain);
    if (readers.some((other) => other.instance === instance)) return undefined;
    const nowMs = performance.now();
    const available = readers.filter((other) =>
      (this.#pausedUntilMs.get(other.instance) ?? 0) <= nowMs
    );
    // Followers spread over the readers by their names.
    return available[hash32(instance) % available.length];
  }

  #setReader(reader: string): void {
    if (reader === this.#reader) return;
    this.#options.log.info("store-reader-changed", {
      reader,
      former: this.#reader,
    });
    this.#reader = reader;
  }
}
