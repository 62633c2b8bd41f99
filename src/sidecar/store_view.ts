import { Buffer } from "node:buffer";
import { ResponseUse } from "../coordination/eras/mod.ts";
import type { ChangeBatch, FeedAnswer, FeedPoll } from "../protocol/feed.ts";
import type { RangeResult, StoreEntry } from "../protocol/store.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import { FeedHistory } from "../state/feed_history.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import { RECORD_PREFIX } from "./backend_record_codec.ts";
import { EraGate } from "./era_gate.ts";
import type { FollowedBatch } from "./feed_follower.ts";
import { FeedSource } from "./feed_source.ts";
import type { MeshConfigSource } from "./ports.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import { StoreConnection } from "./store_connection.ts";
import { ConfigOrigin, StoreEntryApplier } from "./store_entry_applier.ts";

/** Time after a version within which another one is likely, in ms. */
const SERIES_MS = 1_000;

/** Options of a {@linkcode StoreView}. */
export interface StoreViewOptions {
  readonly configSource: MeshConfigSource;
  readonly routes: RouteTableHolder;
  readonly directory: BackendDirectory;
  readonly quarantine: RequestQuarantine;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
  /** Called after a configuration was adopted. */
  readonly onConfigAdopted: () => void;
  /** Called with the entry of the local record; `undefined` if missing. */
  readonly onLocalRecord: (entry: StoreEntry | undefined) => void;
  readonly localKey: string;
  /** Bandwidth of this daemon's link, in Mbit/s; 0 if unknown. */
  readonly linkMbps: number;
  /** Called once an instance has been removed from the directory. */
  readonly onRemoved: (instance: string) => void;
  /** Called once all entries of the first listing were applied. */
  readonly onFirstListing?: () => void;
  /** Called with each entry that is neither a configuration nor a record. */
  readonly onOtherEntry?: (
    key: string,
    entry: StoreEntry | undefined,
    mayBeOutdated: boolean,
  ) => void;
  /**
   * Called with the era of the store before anything of it is applied, and
   * whether the store was restored since.
   */
  readonly onEra?: (era: number, isRestored: boolean) => void;
}

/**
 * What this daemon knows of the store: applies listings and changes, tells how
 * old the view is, and serves the changes to the daemons that follow this one.
 *
 * @example
 * ```ts ignore
 * const view = new StoreView(options);
 * const revision = view.applyFirstListing(range, sentAtMs);
 * ```
 */
export class StoreView {
  readonly #options: StoreViewOptions;
  readonly #history = new FeedHistory();
  readonly #gate: EraGate;
  /** Whether the store answers, and how old the view is. */
  readonly connection: StoreConnection;
  readonly #feed: FeedSource;
  readonly #applier: StoreEntryApplier;
  #hasListed = false;
  /** Newest version that another daemon has named. */
  newestPeerVersion = 0;

  /**
   * Creates a view before the first listing.
   *
   * @param options Configuration, directory and what depends on them.
   */
  constructor(options: StoreViewOptions) {
    this.#options = options;
    this.connection = new StoreConnection({
      ...options,
      onConfirmed: () => this.#history.wake(),
    });
    this.#gate = new EraGate({
      ...options,
      onEra: (era, isRestored) => {
        if (isRestored) this.#applier.startEra();
        options.onEra?.(era, isRestored);
      },
    });
    this.#feed = new FeedSource({
      history: this.#history,
      isConnected: () => this.connection.isConnected,
      viewAgeMs: () => this.connection.ageMs(),
    });
    this.#applier = new StoreEntryApplier({
      ...options,
      isConnected: () => this.connection.isConnected,
      newestPeerVersion: () => this.newestPeerVersion,
      viewAgeMs: () => this.connection.ageMs(),
      era: () => this.#gate.era,
      mayBeOutdated: (entry) => this.#gate.mayBeOutdated(entry),
    });
  }

  /** Whether the store was listed at least once. */
  get hasListed(): boolean {
    return this.#hasListed;
  }

  /** Era of the store; `undefined` if it names none. */
  get era(): number | undefined {
    return this.#gate.era;
  }

  /**
   * Whether a version that takes long to come was adopted just now: a poll would
   * bring all that have followed it.
   */
  get isInSlowSeries(): boolean {
    return performance.now() - this.#applier.slowVersionAtMs < SERIES_MS;
  }

  /** Stops waiting for records that are missing. */
  stop(): void {
    this.#applier.stop();
  }

  /** Ends the waits of followers, as the store is lost. */
  wakeFollowers(): void {
    this.#history.wake();
  }

  /**
   * Adopts a configuration of another daemon.
   *
   * @param bytes The configuration.
   */
  adoptPeerConfig(bytes: Uint8Array): void {
    this.#applier.adoptConfig(bytes, ConfigOrigin.Peer);
  }

  /**
   * Applies a read of the configuration's key.
   *
   * @param range The result.
   * @param sentAtMs Monotonic time at which the read was sent, in ms.
   * @returns False if it is of an earlier era.
   */
  applyKeyRead(range: RangeResult, sentAtMs: number): boolean {
    if (this.#gate.isEarlier(range.era)) return false;
    for (const entry of range.entries) {
      this.#applier.applyEntry(entry, ConfigOrigin.KeyRead);
    }
    this.connection.confirmConfig(sentAtMs);
    return true;
  }

  /**
   * Waits for changes that this daemon reads from the store.
   *
   * @param poll Where the follower goes on, and how long it waits.
   * @param readsStore Whether this daemon reads the store now.
   * @returns The changes, or why this daemon cannot say that there are none.
   */
  waitForUpdate(
    poll: FeedPoll,
    readsStore: () => boolean,
  ): Promise<FeedAnswer> {
    return this.#feed.waitForUpdate(poll, readsStore);
  }

  /**
   * Applies the first listing of the store.
   *
   * @param range The listing.
   * @param sentAtMs Monotonic time at which it was sent, in ms.
   * @returns What was done, and whether the store has a configuration.
   */
  applyFirstListing(
    range: RangeResult,
    sentAtMs: number,
  ): { readonly use: ResponseUse; readonly hasConfig: boolean } {
    const { configSource } = this.#options;
    const use = this.#gate.enter({ ...range, isComplete: true });
    if (use !== ResponseUse.Drop) {
      this.#replaceState(range, ConfigOrigin.Listing, sentAtMs);
    }
    const hasConfig = range.entries.some(({ key }) => key === configSource.key);
    return { use, hasConfig };
  }

  /**
   * Decides about a poll that was answered without changes, as the store does
   * not have its revision.
   *
   * @param era Era of the response.
   * @returns What is to be done.
   */
  judgeCompacted(era: number | undefined): ResponseUse {
    return this.#gate.enter({ era, revision: 0, isComplete: false });
  }

  /** Replaces all that is known of the store. */
  #replaceState(
    { entries, revision }: RangeResult,
    origin: ConfigOrigin,
    completeAtMs: number,
  ): void {
    const { directory } = this.#options;
    this.#hasListed = true;
    this.#history.reset(entries, revision, this.era);
    for (const entry of entries) this.#applier.applyEntry(entry, origin);
    this.#applier.replaceExempt(entries.map(({ key }) => key));
    this.connection.markConnected(completeAtMs);
    const present = new Set(entries.map((entry) => entry.key));
    for (const { record } of directory.entries) {
      const key = RECORD_PREFIX + record.instance;
      if (!present.has(key)) this.#applier.markMissing(key);
    }
    if (!present.has(this.#options.localKey)) {
      this.#options.onLocalRecord(undefined);
    }
    this.#options.onFirstListing?.();
  }

  /**
   * Applies changes of another daemon.
   *
   * @param batch The changes.
   * @returns The revision from which to go on; `undefined` if the store has to
   * be listed.
   */
  applyFollowed(batch: FollowedBatch): number | undefined {
    const completeAtMs = performance.now() - batch.viewAgeMs;
    switch (this.#gate.enter(batch)) {
      case ResponseUse.Drop:
      case ResponseUse.List:
        return undefined;
      case ResponseUse.Replace: {
        const entries = batch.events.flatMap(({ entry }) => entry ?? []);
        const { revision } = batch;
        const range = { entries, revision };
        this.#replaceState(range, ConfigOrigin.Reader, completeAtMs);
        return revision;
      }
      case ResponseUse.Apply:
        this.#applyUpdate(
          batch.isComplete ? this.#compareState(batch) : batch,
          ConfigOrigin.Reader,
        );
        this.connection.markConnected(completeAtMs);
        return batch.revision;
    }
  }

  /**
   * Applies the changes that a poll of the store has returned.
   *
   * @param batch The changes.
   * @param atMs Monotonic time at which they were all, in ms.
   * @returns What was done with them.
   */
  applyPolled(batch: ChangeBatch, atMs: number): ResponseUse {
    const use = this.#gate.enter({ ...batch, isComplete: false });
    if (use !== ResponseUse.Apply) return use;
    this.#applyUpdate(batch, ConfigOrigin.Poll);
    this.connection.markConnected(atMs);
    return use;
  }

  /**
   * Applies a listing of the store after an earlier one.
   *
   * @param range The listing.
   * @param from The state before.
   * @returns The revision from which to go on; `undefined` if the listing was
   * dropped.
   */
  applyListing(
    range: RangeResult,
    from: {
      readonly afterRevision: number;
      /** Whether the store can still tell the changes since then. */
      readonly hasHistory: boolean;
      /** Monotonic time at which the listing was sent, in ms. */
      readonly sentAtMs: number;
    },
  ): number | undefined {
    const { configSource, routes } = this.#options;
    const { afterRevision, hasHistory, sentAtMs } = from;
    const versionBefore = routes.version;
    const { entries, revision } = range;
    const use = this.#gate.enter({ ...range, isComplete: true });
    if (use === ResponseUse.Drop) return undefined;
    if (use === ResponseUse.Replace) {
      this.#replaceState(range, ConfigOrigin.Listing, sentAtMs);
      return revision;
    }
    const state = this.#compareState({
      events: entries.map((entry) => ({ key: entry.key, entry })),
      revision,
      isComplete: true,
    });
    const events = state.events.filter(({ entry }) =>
      entry === undefined || entry.modRevision > afterRevision
    );
    this.#applyUpdate(
      { events, revision, isComplete: false },
      ConfigOrigin.Listing,
    );
    this.connection.markConnected(sentAtMs);
    const config = events.find(({ key }) => key === configSource.key)?.entry;
    // The last write may be an older version that hides a newer one before it.
    const mayHide = config !== undefined && routes.version === versionBefore &&
      Buffer.compare(config.value, routes.encodedConfig) !== 0;
    return mayHide && hasHistory ? afterRevision : revision;
  }

  /** Adds the deletion of each key that a complete state lacks. */
  #compareState(batch: ChangeBatch): ChangeBatch {
    const { directory, localKey } = this.#options;
    const present = new Set(batch.events.map(({ key }) => key));
    const known = [...directory.entries].map(({ record }) =>
      RECORD_PREFIX + record.instance
    );
    const missing = [...new Set([...known, localKey])]
      .filter((key) => !present.has(key)).map((key) => ({ key }));
    this.#applier.replaceExempt(batch.events.map(({ key }) => key));
    return { ...batch, events: [...batch.events, ...missing] };
  }

  #applyUpdate(update: ChangeBatch, origin: ConfigOrigin): void {
    for (const { key, entry } of update.events) {
      if (entry === undefined) this.#applier.markMissing(key);
      else this.#applier.applyEntry(entry, origin);
    }
    this.#history.record(update.events, update.revision);
  }
}
