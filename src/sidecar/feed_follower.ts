import { canFollow } from "../coordination/eras/mod.ts";
import {
  chooseFollowed,
  chooseReaders,
  rankMembers,
} from "../coordination/readers/mod.ts";
import type {
  ChangeBatch,
  FeedPoll,
  FeedPollResult,
} from "../protocol/feed.ts";
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
/** Time for which a reader may hold a poll, in ms. */
const HOLD_MS = 600;

/** Changes from a reader. */
export interface FollowedBatch extends ChangeBatch {
  /** Age of the reader's view when it responded, in ms. */
  readonly viewAgeMs: number;
}

/** What a poll says about where changes come from. */
export type FollowResult =
  | { readonly kind: "changes"; readonly batch: FollowedBatch }
  /** This daemon is to read the store itself. */
  | { readonly kind: "none" }
  /** The readers respond, and have lost the store. */
  | { readonly kind: "away" };

/** Options of a {@linkcode FeedFollower}. */
export interface FeedFollowerOptions {
  readonly instance: string;
  readonly domain: string;
  readonly directory: BackendDirectory;
  /** Polls the daemon of a record for changes after a revision. */
  readonly pollFeed: (
    record: BackendRecord,
    poll: FeedPoll,
  ) => Promise<FeedPollResult>;
  readonly log: EventLog;
}

/** Time for which a reader is not polled. */
interface Pause {
  readonly untilMs: number;
  /** Whether the reader responded and had lost the store. */
  readonly isAway: boolean;
}

/**
 * Polls the readers of the local failure domain for changes in the store. As
 * long as they respond, only they call the store, and large configurations
 * cross its links once for each reader and not once for each daemon.
 *
 * @example
 * ```ts ignore
 * const result = await follower.poll(revision);
 * if (result.kind === "none") await store.poll(options);
 * ```
 */
export class FeedFollower {
  readonly #options: FeedFollowerOptions;
  readonly #paused = new Map<string, Pause>();
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
   * @param era Era of the store in which it was seen.
   * @returns The changes, or why there are none.
   */
  async poll(afterRevision: number, era?: number): Promise<FollowResult> {
    const reader = this.#chooseReader();
    this.#setReader(reader?.instance ?? "");
    if (reader === undefined) return this.#judgeAbsence();
    const sentAtMs = performance.now();
    const polled = await this.#options.pollFeed(
      reader,
      {
        afterRevision,
        waitMs: this.#hasFailed ? 0 : HOLD_MS,
        waitsForStore: false,
        ...(era === undefined ? {} : { era }),
      },
    );
    const result = polled.kind === "changes" &&
        !canFollow(polled.batch.era, era)
      ? { kind: "refused" } as const
      : polled;
    this.#hasFailed = result.kind !== "changes";
    if (result.kind !== "changes") {
      this.#options.log.info("feed-poll-failed", {
        reader: reader.instance,
        result: result.kind,
        tookMs: Math.round(performance.now() - sentAtMs),
      });
    }
    switch (result.kind) {
      case "changes": {
        const { batch, viewAgeMs } = result;
        this.resume(reader.instance);
        return { kind: "changes", batch: { ...batch, viewAgeMs } };
      }
      case "away":
        this.#pause(reader, REFUSED_PAUSE_MS, true);
        break;
      case "refused":
        this.#pause(reader, REFUSED_PAUSE_MS, false);
        break;
      case "failed":
        this.#pause(reader, FAILED_PAUSE_MS, false);
        break;
    }
    // The other reader is asked without a wait.
    return await this.poll(afterRevision, era);
  }

  /**
   * Ends the pause of a reader that has sent changes.
   *
   * @param instance The reader.
   */
  resume(instance: string): void {
    this.#paused.delete(instance);
  }

  #pause(reader: BackendRecord, pauseMs: number, isAway: boolean): void {
    const untilMs = performance.now() + pauseMs;
    this.#paused.set(reader.instance, { untilMs, isAway });
  }

  /** Says why no reader can be asked. */
  #judgeAbsence(): FollowResult {
    const isAway = this.#listFollowed().some(({ instance }) =>
      this.#paused.get(instance)?.isAway === true
    );
    return { kind: isAway ? "away" : "none" };
  }

  /** Lists the readers to follow; none if this daemon is one itself. */
  #listFollowed(): readonly BackendRecord[] {
    const { instance, domain, directory } = this.#options;
    const records = [...directory.entries].map(({ record }) => record);
    // Filtered and ordered once, as a fleet has thousands of records.
    const members = rankMembers(records, domain);
    const readers = chooseReaders(members, domain);
    this.#isReader = readers.some((other) => other.instance === instance);
    return chooseFollowed(members, instance, domain);
  }

  /** Returns a reader that is not paused. */
  #chooseReader(): BackendRecord | undefined {
    const { instance } = this.#options;
    const nowMs = performance.now();
    const available = this.#listFollowed().filter((other) =>
      (this.#paused.get(other.instance)?.untilMs ?? 0) <= nowMs
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
