import { setTimeout as sleep } from "node:timers/promises";
import type { BackendRecord } from "../protocol/mesh.ts";
import { messageOf } from "../protocol/step_error.ts";
import type { StoreEntry } from "../protocol/store.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import { decodeRecord, RECORD_PREFIX } from "./backend_record_codec.ts";
import type { PeerClient } from "./peer_client.ts";
import type { ChangeBatch } from "../protocol/feed.ts";
import { FeedHistory } from "../state/feed_history.ts";
import type { FeedFollower } from "./feed_follower.ts";
import type { ConfigFeed, MeshStore } from "./ports.ts";

/** Longest time that the store may hold a poll, in ms. */
const POLL_WAIT_MS = 3_000;
/** Pause after a poll with events, so that a series costs few calls, in ms. */
const COALESCE_MS = 500;
/** Time in which the own poll should bring a version others have, in ms. */
const HEARSAY_GRACE_MS = COALESCE_MS + 200;
/** Shortest and longest pause after a failed call, in ms. */
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 800;
/** Time for which a vanished record's backend server is still used, in ms. */
const MISSING_GRACE_MS = 3_000;
/** Pause between two checks for vanished records, in ms. */
const SWEEP_PERIOD_MS = 500;

/** What the synchronization works on. */
export interface StoreSyncOptions {
  readonly store: MeshStore;
  readonly source: ConfigFeed;
  readonly routes: RouteTableHolder;
  readonly directory: BackendDirectory;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
  /** Called after a configuration was adopted. */
  readonly onConfig: () => void;
  /** Called with the entry of this daemon's own record, or its absence. */
  readonly onOwnRecord: (entry: StoreEntry | undefined) => void;
  readonly ownKey: string;
  /** Gets news from the readers of the failure domain. */
  readonly follower: FeedFollower;
  /** Called as an instance is no longer used. */
  readonly onGone: (instance: string) => void;
}

/**
 * Follows the configuration and the records of backend servers in the store.
 *
 * @example
 * ```ts ignore
 * const sync = new StoreSyncTask(options);
 * void sync.run(signal);
 * ```
 */
export class StoreSyncTask {
  readonly #options: StoreSyncOptions;
  readonly #history = new FeedHistory();
  #readsStore = false;
  #backoffMs = MIN_BACKOFF_MS;
  #isConnected = false;
  #hasListed = false;
  #refreshing = false;
  #sweepTimer: NodeJS.Timeout | undefined;

  /**
   * Creates a task that has not started.
   *
   * @param options Store, configuration and directory.
   */
  constructor(options: StoreSyncOptions) {
    this.#options = options;
  }

  /** Whether the store was read whole at least once. */
  get hasListed(): boolean {
    return this.#hasListed;
  }

  /**
   * Waits for what this daemon reads from the store after a revision.
   *
   * @param afterRevision The revision.
   * @param waitMs Longest time to wait.
   * @returns The news; `undefined` where this daemon does not read the store
   * itself, does not reach it, or knows too little of the past.
   */
  async newsFor(
    afterRevision: number,
    waitMs: number,
  ): Promise<ChangeBatch | undefined> {
    const present = this.#history.since(afterRevision);
    if (!this.#readsStore || !this.#isConnected) return undefined;
    if (present === undefined || present.events.length > 0) return present;
    await this.#history.changed(waitMs);
    return this.#isConnected ? this.#history.since(afterRevision) : undefined;
  }

  /**
   * Follows the store until the signal aborts.
   *
   * @param signal Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    let revision: number | undefined;
    while (!signal.aborted) {
      revision = revision === undefined
        ? await this.#list()
        : await this.#poll(revision);
    }
    clearTimeout(this.#sweepTimer);
  }

  /**
   * Looks for a version that another daemon has, if the own poll does not bring
   * it soon.
   *
   * @param version The version.
   * @param client Way to the other daemon.
   */
  async hear(version: number, client: PeerClient | undefined): Promise<void> {
    const { routes, log } = this.#options;
    if (version <= routes.version || this.#refreshing) return;
    this.#refreshing = true;
    await sleep(HEARSAY_GRACE_MS);
    if (version <= routes.version) {
      this.#refreshing = false;
      return;
    }
    log.info("config-behind-peer", { version, known: routes.version });
    const listed = await this.#options.store.list(this.#options.source.key);
    if (listed.isOk()) {
      for (const entry of listed.value.entries) this.#put(entry);
    }
    if (version > routes.version) {
      const bytes = await client?.fetchConfig();
      if (bytes !== undefined) this.#adopt(bytes);
    }
    this.#refreshing = false;
  }

  async #list(): Promise<number | undefined> {
    const { store, source, directory } = this.#options;
    const listed = await store.list(source.watchPrefix);
    this.#count("list", listed.isOk());
    if (listed.isErr()) {
      await this.#backOff(listed.error.message);
      return undefined;
    }
    this.#connected();
    this.#hasListed = true;
    const { entries, revision } = listed.value;
    this.#history.restart(revision);
    for (const entry of entries) this.#put(entry);
    const present = new Set(entries.map((entry) => entry.key));
    for (const { record } of directory.entries) {
      const key = RECORD_PREFIX + record.instance;
      if (!present.has(key)) this.#missing(key);
    }
    if (!present.has(this.#options.ownKey)) {
      this.#options.onOwnRecord(undefined);
    }
    return revision;
  }

  async #poll(afterRevision: number): Promise<number | undefined> {
    const news = await this.#options.follower.poll(afterRevision);
    this.#readsStore = news === undefined;
    if (news === undefined) return await this.#pollStore(afterRevision);
    this.#connected();
    this.#apply(news);
    return news.revision;
  }

  async #pollStore(afterRevision: number): Promise<number | undefined> {
    const { store, source } = this.#options;
    const polled = await store.poll({
      prefix: source.watchPrefix,
      afterRevision,
      waitMs: POLL_WAIT_MS,
    });
    this.#count("poll", polled.isOk());
    if (polled.isErr()) {
      await this.#backOff(polled.error.message);
      return afterRevision;
    }
    this.#connected();
    const result = polled.value;
    if (result.kind === "compacted") {
      this.#options.log.warn("store-history-lost", { afterRevision });
      return undefined;
    }
    this.#apply(result);
    if (result.events.length === 0) return result.revision;
    await sleep(COALESCE_MS);
    const versions = result.events.filter(({ key }) => key === source.key);
    return versions.length > 1
      ? await this.#catchUp(result.revision)
      : result.revision;
  }

  /**
   * Reads what the store holds now. In a series of versions a poll brings each
   * of them whole, and a slow link falls behind by more with each poll.
   */
  async #catchUp(afterRevision: number): Promise<number> {
    const { store, source, directory, ownKey, routes } = this.#options;
    const versionBefore = routes.version;
    const listed = await store.list(source.watchPrefix);
    this.#count("list", listed.isOk());
    if (listed.isErr()) {
      await this.#backOff(listed.error.message);
      return afterRevision;
    }
    const { entries, revision } = listed.value;
    const present = new Set(entries.map(({ key }) => key));
    const known = [...directory.entries].map(({ record }) =>
      RECORD_PREFIX + record.instance
    );
    const events = [
      ...entries.filter((entry) => entry.modRevision > afterRevision)
        .map((entry) => ({ key: entry.key, entry })),
      ...[...new Set([...known, ownKey])].filter((key) => !present.has(key))
        .map((key) => ({ key })),
    ];
    this.#apply({ events, revision });
    const hasChanged = events.some(({ key }) => key === source.key);
    // The last write may be no newer version, and hide one that was before it.
    return hasChanged && routes.version === versionBefore
      ? afterRevision
      : revision;
  }

  #apply(news: ChangeBatch): void {
    for (const { key, entry } of news.events) {
      if (entry === undefined) this.#missing(key);
      else this.#put(entry);
    }
    this.#history.record(news.events, news.revision);
  }

  #put(entry: StoreEntry): void {
    const { source, ownKey, onOwnRecord } = this.#options;
    if (entry.key === source.key) this.#adopt(entry.value);
    if (!entry.key.startsWith(RECORD_PREFIX)) return;
    if (entry.key === ownKey) onOwnRecord(entry);
    else this.#putRecord(entry);
  }

  #putRecord(entry: StoreEntry): void {
    const record: BackendRecord | undefined = decodeRecord(entry.value);
    if (record === undefined) {
      this.#options.log.warn("record-unreadable", { key: entry.key });
      return;
    }
    if (this.#options.directory.put(record)) {
      this.#options.log.info("backend-recorded", {
        backend: record.id,
        instance: record.instance,
        service: record.service,
        state: record.state,
        revision: entry.modRevision,
      });
    }
  }

  #adopt(bytes: Uint8Array): void {
    const { source, routes, log, onConfig } = this.#options;
    try {
      const config = source.decode(bytes);
      if (!routes.adopt(config, bytes)) return;
      log.info("config-adopted", {
        version: config.version,
        routes: config.routes.length,
      });
      onConfig();
    } catch (error) {
      log.error("config-unreadable", { reason: messageOf(error) });
    }
  }

  #missing(key: string): void {
    if (!key.startsWith(RECORD_PREFIX)) return;
    if (key === this.#options.ownKey) {
      this.#options.onOwnRecord(undefined);
      return;
    }
    const instance = key.slice(RECORD_PREFIX.length);
    this.#options.directory.missing(instance, performance.now());
    this.#sweepLater();
  }

  /** Only what vanished is looked after, so that an idle daemon sleeps. */
  #sweepLater(): void {
    this.#sweepTimer ??= setTimeout(() => this.#sweep(), SWEEP_PERIOD_MS);
  }

  /** Removes what vanished from the store and did not come back. */
  #sweep(): void {
    this.#sweepTimer = undefined;
    const nowMs = performance.now();
    const { directory, log, onGone } = this.#options;
    for (const { record, missingSinceMs } of [...directory.entries]) {
      if (missingSinceMs === 0) continue;
      if (!this.#isConnected) {
        directory.put(record);
        directory.missing(record.instance, nowMs);
      }
      if (!this.#isConnected || nowMs - missingSinceMs < MISSING_GRACE_MS) {
        this.#sweepLater();
        continue;
      }
      log.info("backend-gone", {
        backend: record.id,
        instance: record.instance,
        missingMs: Math.round(nowMs - missingSinceMs),
      });
      directory.remove(record.instance);
      onGone(record.instance);
    }
  }

  #count(call: string, isOk: boolean): void {
    const result = isOk ? "ok" : "failed";
    this.#options.metrics.count("store_calls_total", { call, result });
  }

  #connected(): void {
    this.#backoffMs = MIN_BACKOFF_MS;
    if (this.#isConnected) return;
    this.#isConnected = true;
    this.#options.log.info("store-regained");
  }

  async #backOff(reason: string): Promise<void> {
    if (this.#isConnected || this.#backoffMs === MIN_BACKOFF_MS) {
      this.#options.log.warn("store-lost", { reason });
    }
    this.#isConnected = false;
    await sleep(this.#backoffMs * (0.5 + Math.random()));
    this.#backoffMs = Math.min(MAX_BACKOFF_MS, this.#backoffMs * 2);
  }
}
