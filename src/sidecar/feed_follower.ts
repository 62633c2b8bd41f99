import { chooseReaders } from "../coordination/readers/mod.ts";
import type { ChangeBatch } from "../protocol/feed.ts";
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
  ) => Promise<ChangeBatch | undefined>;
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
  async poll(afterRevision: number): Promise<ChangeBatch | undefined> {
    const reader = this.#choose();
    this.#follow(reader?.instance ?? "");
    if (reader === undefined) return undefined;
    const news = await this.#options.pollFeed(reader, afterRevision);
    if (news === undefined) {
      const untilMs = performance.now() + READER_PAUSE_MS;
      this.#pausedUntilMs.set(reader.instance, untilMs);
    }
    return news;
  }

  /** A reader that is not paused; none for a reader itself. */
  #choose(): BackendRecord | undefined {
    const { instance, domain, directory } = this.#options;
    const records = [...directory.entries].map(({ record }) => record);
    const readers = chooseReaders(records, domain);
    if (readers.some((one) => one.instance === instance)) return undefined;
    const nowMs = performance.now();
    const willing = readers.filter((one) =>
      (this.#pausedUntilMs.get(one.instance) ?? 0) <= nowMs
    );
    // Followers spread over the readers by their names.
    return willing[hash32(instance) % willing.length];
  }

  #follow(reader: string): void {
    if (reader === this.#reader) return;
    this.#options.log.info("store-reader-changed", {
      reader,
      former: this.#reader,
    });
    this.#reader = reader;
  }
}
