import { chooseReaders } from "../coordination/readers/mod.ts";
import type { ChangeBatch, FeedPollResult } from "../protocol/feed.ts";
import { hash32 } from "../protocol/hash.ts";
import type { BackendRecord } from "../protocol/mesh.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { EventLog } from "../transport/observe/event_log.ts";

/** Time for which a reader that failed to respond is not polled, in ms. */
const FAILED_PAUSE_MS = 3_000;
/**
 * Time for which a reader that does not read the store yet is not polled, in
 * ms: daemons learn the records that make one a reader at different times.
 */
const REFUSED_PAUSE_MS = 1_000;

/** Changes from a reader. */
export interface FollowedBatch extends ChangeBatch {
  /** Age of the reader's view when it responded, in ms. */
  readonly viewAgeMs: number;
}

/** Options of a {@linkcode FeedFollower}. */
export interface FeedFollowerOptions {
  readonly instance: string;
  readonly domain: string;
  readonly directory: BackendDirectory;
  /** Polls the daemon of a record for changes after a revision. */
  readonly pollFeed: (
    record: BackendRecord,
    afterRevision: number,
    /** Whether the daemon may hold the poll until there is a change. */
    mayWait: boolean,
  ) => Promise<FeedPollResult>;
  readonly log: EventLog;
}

/**
 * Polls the readers of the local failure domain for changes in the store. As
 * long as they respond, only they call the store, and large configurations
 * cross its links once for each reader and not once for each daemon.
 *
 * @example
 * ```ts ignore
 * const update = await follower.poll(revision);
 * if (update === undefined) await store.poll(options);
 * ```
 */
export class FeedFollower {
  readonly #options: FeedFollowerOptions;
  readonly #pausedUntilMs = new Map<string, number>();
  #reader = "";
  #isReader = false;
  /** Whether the last poll failed, so that the view may be behind. */
  #hasFailed = false;

  /**
   * Creates a follower without a reader.
   *
   * @param options Instance, failure domain, directory and poll function.
   */
  constructor(options: FeedFollowerOptions) {
    this.#options = options;
  }

  /** Whether this daemon read the store for others at the last poll. */
  get isReader(): boolean {
    return this.#isReader;
  }

  /**
   * Waits for changes from a reader.
   *
   * @param afterRevision Newest revision that was seen.
   * @returns The changes; `undefined` if the store itself has to be read, since
   * this daemon is a reader or no reader responds.
   */
  async poll(afterRevision: number): Promise<FollowedBatch | undefined> {
    const reader = this.#chooseReader();
    this.#setReader(reader?.instance ?? "");
    if (reader === undefined) return undefined;
    const sentAtMs = performance.now();
    const result = await this.#options.pollFeed(
      reader,
      afterRevision,
      !this.#hasFailed,
    );
    this.#hasFailed = result.kind !== "changes";
    if (result.kind !== "changes") {
      this.#options.log.info("feed-poll-failed", {
        reader: reader.instance,
        result: result.kind,
        tookMs: Math.round(performance.now() - sentAtMs),
      });
    }
    switch (result.kind) {
      case "changes":
        return { ...result.batch, viewAgeMs: result.viewAgeMs };
      case "refused":
        return this.#pause(reader, REFUSED_PAUSE_MS);
      case "failed":
        return this.#pause(reader, FAILED_PAUSE_MS);
    }
  }

  #pause(reader: BackendRecord, pauseMs: number): undefined {
    this.#pausedUntilMs.set(reader.instance, performance.now() + pauseMs);
  }

  /** Returns a reader that is not paused; none if this daemon is a reader. */
  #chooseReader(): BackendRecord | undefined {
    const { instance, domain, directory } = this.#options;
    const records = [...directory.entries].map(({ record }) => record);
    const readers = chooseReaders(records, domain);
    this.#isReader = readers.some((other) => other.instance === instance);
    if (this.#isReader) return undefined;
    const nowMs = performance.now();
    const available = readers.filter((other) =>
      (this.#pausedUntilMs.get(other.instance) ?? 0) <= nowMs
    );
    // A hash of its name spreads the followers over the readers.
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
