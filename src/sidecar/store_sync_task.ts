import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import { messageOf } from "../protocol/step_error.ts";
import type { StoreEntry } from "../protocol/store.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import { StoreContact } from "../state/store_contact.ts";
import { ViewAge } from "../state/view_age.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import { RECORD_PREFIX } from "./backend_record_codec.ts";
import type { PeerClient } from "./peer_client.ts";
import { ConfigOrigin, StoreEntryApplier } from "./store_entry_applier.ts";
import type { Result } from "neverthrow";
import type { ChangeBatch, FeedAnswer, FeedPoll } from "../protocol/feed.ts";
import type { StepError } from "../protocol/step_error.ts";
import type { RangeResult } from "../protocol/store.ts";
import { FeedHistory } from "../state/feed_history.ts";
import { waitForNextPoll } from "../transport/http/disconnect_detector.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { FeedFollower, FollowedBatch } from "./feed_follower.ts";
import type { MeshConfigSource, MeshStore, PollResult } from "./ports.ts";
import type {
  Recovery,
  RecoveryStart,
  StoreRecovery,
} from "./store_recovery.ts";

/**
 * Longest time for which the store may hold a poll, in ms. A poll that is lost
 * is noticed after it.
 */
const POLL_WAIT_MS = 2_000;
/** Silence beyond a poll's wait after which the store is doubted, in ms. */
const DOUBT_MS = 300;
/** Time for which a doubted store is not yet taken for lost, in ms. */
const LOSS_DELAY_MS = 700;
/**
 * The same for a reader: each poll that ends shows its followers that the view
 * is current.
 */
const READER_POLL_WAIT_MS = 1_000;
const MIN_READER_POLL_WAIT_MS = 300;
/** Age of a reader's view from which it refuses its followers, in ms. */
const MAX_READER_AGE_MS = 1_500;
/** Pause after a poll with events, so that a series needs few calls, in ms. */
const COALESCE_MS = 500;
/** Time after a version within which another one is likely, in ms. */
const SERIES_MS = 1_000;
/**
 * Pause before the first poll of a store without a configuration, in ms. A new
 * fleet's daemons record their backend servers then; one poll brings them all.
 */
const BOOTSTRAP_PAUSE_MS = 2_000;
/** Time for a poll to deliver a version that another daemon has, in ms. */
const PEER_VERSION_GRACE_MS = COALESCE_MS + 200;
/** Longest time for which a request waits for a read of the key, in ms. */
const CONFIRM_TIMEOUT_MS = 600;
/** Mean pause after an internal failure, in ms. */
const FAILURE_PAUSE_MS = 400;
/** Why the state of the store is not known. */
interface StoreDoubt extends Omit<RecoveryStart, "isCurrent"> {
  readonly reason: string;
  /** Whether a call has failed, and not only taken long. */
  readonly isFailure: boolean;
  /** Monotonic times at which a pending poll was sent and its hold ends. */
  readonly sentAtMs?: number;
  readonly heldUntilMs?: number;
}

/** Options of a {@linkcode StoreSyncTask}. */
export interface StoreSyncOptions {
  readonly store: MeshStore;
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
  /** Polls the readers of the failure domain. */
  readonly follower: FeedFollower;
  /** Waits for a store that does not answer. */
  readonly recovery: Pick<StoreRecovery, "run" | "reset">;
  /** Called once an instance has been removed from the directory. */
  readonly onRemoved: (instance: string) => void;
  /** Called once all entries of the first listing were applied. */
  readonly onFirstListing?: () => void;
  /** Called with each entry that is neither a configuration nor a record. */
  readonly onOtherEntry?: (key: string, entry: StoreEntry | undefined) => void;
}

/**
 * Synchronizes the configuration and the backend records with the store.
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
  /** Whether it reads the store, and not another daemon's feed. */
  #isPollingStore = false;
  #isRecovering = false;
  /** Whether the store has not answered this daemon itself since a failure. */
  #isStoreLost = false;
  /** Daemon whose feed stands in for the store. */
  #standIn: string | undefined;
  /** Stops waiting for the current poll alone. */
  #doubtPoll: (() => void) | undefined;
  readonly #applier: StoreEntryApplier;
  /** Resolves once a store that is lost has been regained. */
  #regained: Promise<void> | undefined;
  #resolveRegained: (() => void) | undefined;
  readonly #contact = new StoreContact(performance.now());
  /** Newest version that another daemon has named. */
  #newestPeerVersion = 0;
  /** Client of that daemon, if there is one. */
  #newestPeer: PeerClient | undefined;
  #hasListed = false;
  #isRefreshing = false;
  /** Age of the view of all keys. */
  readonly #view = new ViewAge();
  /** Age of the view of the configuration, which is also read by itself. */
  readonly #configView = new ViewAge();
  #keyRead: Promise<boolean> | undefined;

  /**
   * Creates a task that has not started.
   *
   * @param options Store, configuration and directory.
   */
  constructor(options: StoreSyncOptions) {
    this.#options = options;
    this.#applier = new StoreEntryApplier({
      ...options,
      isConnected: () => this.#contact.isConnected,
      newestPeerVersion: () => this.#newestPeerVersion,
      viewAgeMs: () => this.viewAgeMs(),
    });
  }

  /** Whether the store was listed at least once. */
  get hasListed(): boolean {
    return this.#hasListed;
  }

  /**
   * Returns the time since this daemon's view of the store was last known to be
   * complete. It leaves out the transit of the response that said so.
   *
   * @returns The age, in ms; infinite before the first response.
   */
  viewAgeMs(): number {
    return this.#view.ageMs(performance.now());
  }

  /**
   * Returns the time since the configuration was last known to be the newest.
   *
   * @returns The age, in ms; infinite before the first response.
   */
  configAgeMs(): number {
    const nowMs = performance.now();
    return Math.min(this.#view.ageMs(nowMs), this.#configView.ageMs(nowMs));
  }

  /**
   * Reads the configuration from the store, beside the polls.
   *
   * @returns Whether the configuration of this daemon is now the newest; false
   * if the store does not respond soon.
   */
  async confirmConfig(): Promise<boolean> {
    const timeout = new AbortController();
    const isRead = await Promise.race([
      // A call to a lost store would only be one more that is waited for.
      this.#isRecovering
        ? this.#waitForRegain().then(() => false)
        : this.#readKey(),
      sleep(CONFIRM_TIMEOUT_MS, undefined, { signal: timeout.signal })
        .then(() => this.#doubtPoll?.())
        // Aborted, as the read has ended.
        .catch(() => {}),
    ]);
    timeout.abort();
    return isRead === true;
  }

  /**
   * Waits for changes that this daemon reads from the store.
   *
   * @param poll Where the follower goes on, and how long it waits.
   * @returns The changes, or why this daemon cannot say that there are none.
   */
  async waitForUpdate(poll: FeedPoll): Promise<FeedAnswer> {
    const { afterRevision, waitMs, waitsForStore } = poll;
    const deadlineMs = performance.now() + waitMs;
    for (;;) {
      if (!this.#isPollingStore && !this.#isRecovering) {
        return { kind: "refused" };
      }
      const batch = this.#history.since(afterRevision);
      const nowMs = performance.now();
      const isCurrent = this.#contact.isConnected &&
        this.viewAgeMs() < MAX_READER_AGE_MS;
      if (batch !== undefined) {
        // Changes are worth having, however old the view is.
        const hasChanged = batch.events.length > 0;
        if (hasChanged || isCurrent && nowMs >= deadlineMs) {
          return { kind: "changes", batch };
        }
      }
      if (!isCurrent && (!waitsForStore || nowMs >= deadlineMs)) {
        return { kind: "away" };
      }
      const currentForMs = isCurrent
        ? MAX_READER_AGE_MS - this.viewAgeMs()
        : Infinity;
      await this.#history.waitForChange(
        Math.max(1, Math.min(deadlineMs - nowMs, currentForMs)),
      );
    }
  }

  /**
   * Synchronizes until the signal aborts.
   *
   * @param signal Stops the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    let revision: number | undefined;
    while (!signal.aborted) {
      try {
        revision = revision === undefined
          ? await this.#list(signal)
          : await this.#poll(revision, signal);
      } catch (error) {
        // No content of the store may end the process.
        this.#options.log.error("store-sync-failed", {
          afterRevision: revision,
          reason: messageOf(error),
        });
        revision = undefined;
        this.#contact.lose();
        await sleep(FAILURE_PAUSE_MS * (0.5 + Math.random()));
      }
    }
    this.#applier.stop();
  }

  /**
   * Fetches the newest configuration version that other daemons have named, from
   * the one that named it or from the store, unless the poll delivers it soon.
   *
   * @param version The version of the other daemon.
   * @param client Client of the other daemon, if there is one.
   */
  async handlePeerVersion(
    version: number,
    client: PeerClient | undefined,
  ): Promise<void> {
    const { routes } = this.#options;
    const isNewer = version > this.#newestPeerVersion;
    const adds = version === this.#newestPeerVersion &&
      this.#newestPeer === undefined;
    if (isNewer || adds) {
      this.#newestPeerVersion = version;
      this.#newestPeer = client;
    }
    const isBehind = () => this.#newestPeerVersion > routes.version;
    if (!isBehind() || this.#isRefreshing) return;
    this.#isRefreshing = true;
    try {
      // A store that is away delivers nothing.
      if (!this.#isRecovering) await sleep(PEER_VERSION_GRACE_MS);
      let fetched = 0;
      // Others may name a newer version during the fetch.
      while (isBehind() && this.#newestPeerVersion > fetched) {
        fetched = this.#newestPeerVersion;
        await this.#fetchPeerVersion(fetched, this.#newestPeer);
      }
    } finally {
      this.#isRefreshing = false;
    }
  }

  async #fetchPeerVersion(
    version: number,
    client: PeerClient | undefined,
  ): Promise<void> {
    const { routes, log } = this.#options;
    log.info("config-behind-peer", {
      version,
      known: routes.version,
      viewAgeMs: Math.round(this.viewAgeMs()),
    });
    // Compressed, so it also crosses a slow link that the store's copy fills.
    const bytes = await client?.fetchConfig();
    if (bytes !== undefined) {
      this.#applier.adoptConfig(bytes, ConfigOrigin.Peer);
    }
    if (version > routes.version && !this.#isRecovering) await this.#readKey();
  }

  /** Reads the key of the configuration; concurrent calls share one read. */
  #readKey(): Promise<boolean> {
    this.#keyRead ??= this.#sendKeyRead().finally(() =>
      this.#keyRead = undefined
    );
    return this.#keyRead;
  }

  async #sendKeyRead(): Promise<boolean> {
    const { store, configSource } = this.#options;
    const sentAtMs = performance.now();
    const listed = await store.list(configSource.key);
    this.countCall("read", sentAtMs, listed.isOk());
    if (listed.isErr()) return false;
    for (const entry of listed.value.entries) {
      this.#applier.applyEntry(entry, ConfigOrigin.KeyRead);
    }
    this.#configView.confirm(sentAtMs);
    return true;
  }

  async #list(signal: AbortSignal): Promise<number | undefined> {
    const { store, configSource } = this.#options;
    const sentAtMs = performance.now();
    const listed = await store.list(configSource.watchPrefix);
    this.countCall("list", sentAtMs, listed.isOk());
    return listed.isOk()
      ? await this.#applyFirstListing(listed.value, sentAtMs)
      : await this.#recoverFrom(listed.error, undefined, signal);
  }

  async #applyFirstListing(
    range: RangeResult,
    sentAtMs: number,
  ): Promise<number> {
    const { configSource, directory } = this.#options;
    const { entries, revision } = range;
    this.#hasListed = true;
    this.#history.reset(entries, revision);
    for (const entry of entries) {
      this.#applier.applyEntry(entry, ConfigOrigin.Listing);
    }
    this.#applier.replaceExempt(entries.map(({ key }) => key));
    this.#markConnected(sentAtMs);
    const present = new Set(entries.map((entry) => entry.key));
    for (const { record } of directory.entries) {
      const key = RECORD_PREFIX + record.instance;
      if (!present.has(key)) this.#applier.markMissing(key);
    }
    if (!present.has(this.#options.localKey)) {
      this.#options.onLocalRecord(undefined);
    }
    this.#options.onFirstListing?.();
    if (!present.has(configSource.key)) await sleep(BOOTSTRAP_PAUSE_MS);
    return revision;
  }

  async #poll(
    afterRevision: number,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    const followed = await this.#options.follower.poll(afterRevision);
    const wasReading = this.#isPollingStore;
    this.#isPollingStore = followed.kind === "none" ||
      followed.kind === "away" && wasReading;
    switch (followed.kind) {
      case "changes":
        this.#isStoreLost = false;
        this.#options.recovery.reset();
        return this.#applyFollowed(followed.batch);
      case "away": {
        // One that took over from the readers goes on until they are back.
        if (wasReading && !this.#isStoreLost) {
          return await this.#pollStore(afterRevision, signal);
        }
        return await this.#recover({
          afterRevision,
          reason: "the readers have lost the store",
          isFailure: false,
        }, signal);
      }
      case "none": {
        // Others may follow the store on while it does not answer this daemon.
        if (this.#isStoreLost) {
          return await this.#recover({
            afterRevision,
            reason: "the store does not answer",
            isFailure: false,
          }, signal);
        }
        if (this.#isInSlowSeries()) {
          await sleep(COALESCE_MS);
          return await this.#catchUp(afterRevision, signal);
        }
        const isBehind = !wasReading && this.viewAgeMs() > MAX_READER_AGE_MS;
        return isBehind
          ? await this.#catchUp(afterRevision, signal)
          : await this.#pollStore(afterRevision, signal);
      }
    }
  }

  /**
   * Whether a version that takes long to come was adopted just now: a poll would
   * bring all that have followed it.
   */
  #isInSlowSeries(): boolean {
    return performance.now() - this.#applier.slowVersionAtMs < SERIES_MS;
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

  #applyFollowed(batch: FollowedBatch): number {
    this.#applyUpdate(
      batch.isComplete ? this.#compareState(batch) : batch,
      ConfigOrigin.Reader,
    );
    this.#markConnected(performance.now() - batch.viewAgeMs);
    return batch.revision;
  }

  async #pollStore(
    afterRevision: number,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    const { store, configSource } = this.#options;
    const sentAtMs = performance.now();
    const waitMs = this.#choosePollWaitMs();
    const givenUp = new AbortController();
    const pending = Promise.resolve(store.poll({
      prefix: configSource.watchPrefix,
      afterRevision,
      waitMs,
      signal: givenUp.signal,
    }));
    const polled = await this.#doubtAfter(pending, waitMs + DOUBT_MS);
    if (polled === undefined) {
      this.#isStoreLost = true;
      const revision = await this.#recover({
        afterRevision,
        pending,
        sentAtMs,
        heldUntilMs: sentAtMs + waitMs,
        reason: `no answer to a poll of ${waitMs} ms`,
        isFailure: false,
      }, signal);
      givenUp.abort();
      return revision;
    }
    this.countCall("poll", sentAtMs, polled.isOk());
    return polled.isOk()
      ? await this.#applyPolled(polled.value, {
        afterRevision,
        atMs: performance.now(),
      }, signal)
      : await this.#recoverFrom(polled.error, afterRevision, signal);
  }

  /**
   * Returns the result of a poll; `undefined` if it takes longer than a store
   * that responds would let it.
   */
  async #doubtAfter(
    pending: Promise<Result<PollResult, StepError>>,
    doubtMs: number,
  ): Promise<Result<PollResult, StepError> | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const doubted = new Promise<undefined>((resolve) => {
      // After a stall, the timer fires before the response is read.
      const doubt = () => void waitForNextPoll().then(() => resolve(undefined));
      this.#doubtPoll = doubt;
      timer = setTimeout(doubt, doubtMs);
    });
    const polled = await Promise.race([pending, doubted]);
    clearTimeout(timer);
    this.#doubtPoll = undefined;
    return polled;
  }

  async #applyPolled(
    result: PollResult,
    poll: {
      readonly afterRevision: number;
      /** Monotonic time at which the result was true, in ms. */
      readonly atMs: number;
    },
    signal: AbortSignal,
  ): Promise<number | undefined> {
    const { configSource, log } = this.#options;
    const { afterRevision, atMs } = poll;
    if (result.kind === "compacted") {
      log.warn("store-history-lost", { afterRevision });
      // Compared with what is known, so that followers can go on.
      return await this.#catchUp(afterRevision, signal, false);
    }
    this.#applyUpdate(result, ConfigOrigin.Poll);
    this.#markConnected(atMs);
    if (result.events.length === 0) return result.revision;
    await sleep(COALESCE_MS);
    const versions = result.events.filter(({ key }) =>
      key === configSource.key
    );
    return versions.length > 1
      ? await this.#catchUp(result.revision, signal)
      : result.revision;
  }

  /**
   * Waits until the store or another daemon tells the current state.
   *
   * @returns The revision from which to go on; `undefined` if nothing is known.
   */
  async #recover(
    doubt: StoreDoubt,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    const { reason, isFailure, sentAtMs, heldUntilMs, ...start } = doubt;
    const doubtedAtMs = performance.now();
    const lose = () => {
      if (this.#contact.isConnected) {
        this.#options.log.warn("store-lost", { reason });
      }
      this.#contact.lose();
      this.#history.wake();
    };
    const timer = setTimeout(lose, isFailure ? 0 : LOSS_DELAY_MS);
    this.#isRecovering = true;
    const recovery = await this.#options.recovery.run({
      ...start,
      isCurrent: this.viewAgeMs() < MAX_READER_AGE_MS,
    }, signal);
    clearTimeout(timer);
    this.#isRecovering = false;
    this.#logRecovery(recovery, doubtedAtMs);
    switch (recovery.kind) {
      case "polled": {
        this.#isStoreLost = false;
        const { result } = recovery;
        const isUnchanged = result.kind === "events" &&
          result.events.length === 0;
        return await this.#applyPolled(result, {
          afterRevision: start.afterRevision ?? 0,
          // A late answer says what was true before its way back.
          atMs: (isUnchanged ? heldUntilMs : sentAtMs) ?? doubtedAtMs,
        }, signal);
      }
      case "listed":
        this.#isPollingStore = true;
        this.#isStoreLost = false;
        return start.afterRevision === undefined
          ? await this.#applyFirstListing(recovery.range, recovery.sentAtMs)
          : this.#applyListing(recovery.range, {
            afterRevision: start.afterRevision,
            hasHistory: true,
            sentAtMs: recovery.sentAtMs,
          });
      case "followed":
        this.#options.follower.resume(recovery.source);
        return this.#applyFollowed(recovery.batch);
      case "stopped":
        return start.afterRevision;
    }
  }

  /** Logs what ended a doubt; a stand-in that is followed on only once. */
  #logRecovery(recovery: Recovery, doubtedAtMs: number): void {
    const source = recovery.kind === "followed" ? recovery.source : undefined;
    const isSame = source !== undefined && source === this.#standIn;
    this.#standIn = source;
    if (isSame) return;
    this.#options.log.info("store-recovery", {
      by: recovery.kind,
      ...(source === undefined ? {} : { source }),
      tookMs: Math.round(performance.now() - doubtedAtMs),
    });
  }

  #recoverFrom(
    error: StepError,
    afterRevision: number | undefined,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    const reason = error.message;
    this.#isStoreLost = true;
    return this.#recover({ afterRevision, reason, isFailure: true }, signal);
  }

  #waitForRegain(): Promise<void> {
    this.#regained ??= new Promise((resolve) => {
      this.#resolveRegained = resolve;
    });
    return this.#regained;
  }

  #choosePollWaitMs(): number {
    if (!this.#options.follower.isReader) return POLL_WAIT_MS;
    return Math.max(
      MIN_READER_POLL_WAIT_MS,
      Math.round(READER_POLL_WAIT_MS - this.viewAgeMs()),
    );
  }

  /**
   * Lists the current state of the store. A poll transfers each version since
   * the last one in full, so a slow link falls further behind with each poll of
   * a series.
   */
  async #catchUp(
    afterRevision: number,
    signal: AbortSignal,
    hasHistory = true,
  ): Promise<number | undefined> {
    const { store, configSource } = this.#options;
    const sentAtMs = performance.now();
    const listed = await store.list(configSource.watchPrefix);
    this.countCall("list", sentAtMs, listed.isOk());
    return listed.isOk()
      ? this.#applyListing(listed.value, {
        afterRevision,
        hasHistory,
        sentAtMs,
      })
      : await this.#recoverFrom(listed.error, afterRevision, signal);
  }

  #applyListing(
    range: RangeResult,
    from: {
      readonly afterRevision: number;
      /** Whether the store can still tell the changes since then. */
      readonly hasHistory: boolean;
      /** Monotonic time at which the listing was sent, in ms. */
      readonly sentAtMs: number;
    },
  ): number {
    const { configSource, routes } = this.#options;
    const { afterRevision, hasHistory, sentAtMs } = from;
    const versionBefore = routes.version;
    const { entries, revision } = range;
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
    this.#markConnected(sentAtMs);
    const config = events.find(({ key }) => key === configSource.key)?.entry;
    // The last write may be an older version that hides a newer one before it.
    const mayHide = config !== undefined && routes.version === versionBefore &&
      Buffer.compare(config.value, routes.encodedConfig) !== 0;
    return mayHide && hasHistory ? afterRevision : revision;
  }

  #applyUpdate(update: ChangeBatch, origin: ConfigOrigin): void {
    for (const { key, entry } of update.events) {
      if (entry === undefined) this.#applier.markMissing(key);
      else this.#applier.applyEntry(entry, origin);
    }
    this.#history.record(update.events, update.revision);
  }

  /** Counts a call of the store. */
  countCall(call: string, sentAtMs: number, isOk: boolean): void {
    const result = isOk ? "ok" : "failed";
    const nowMs = performance.now();
    const { log, metrics } = this.#options;
    metrics.count("store_calls_total", { call, result });
    if (isOk) return this.#contact.recordAnswer(nowMs);
    log.info("store-call-failed", {
      call,
      tookMs: Math.round(nowMs - sentAtMs),
      awayMs: Math.round(this.#contact.awayMs(nowMs)),
    });
  }

  /** Records a monotonic time at which the view was complete, in ms. */
  #markConnected(completeAtMs: number): void {
    const nowMs = performance.now();
    this.#view.confirm(completeAtMs);
    const returned = this.#contact.regain(nowMs);
    this.#history.wake();
    this.#resolveRegained?.();
    this.#regained = undefined;
    if (returned === undefined) return;
    const { log, metrics } = this.#options;
    metrics.observe("store_answered_unnoticed_ms", returned.answeredForMs);
    log.info("store-regained", {
      awayMs: Math.round(returned.awayMs),
      answeredForMs: Math.round(returned.answeredForMs),
    });
  }
}
