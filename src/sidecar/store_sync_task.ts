import { setTimeout as sleep } from "node:timers/promises";
import { ResponseUse } from "../coordination/eras/mod.ts";
import type { FeedAnswer, FeedPoll } from "../protocol/feed.ts";
import { messageOf, type StepError } from "../protocol/step_error.ts";
import type { RangeResult } from "../protocol/store.ts";
import { ConfigReader } from "./config_reader.ts";
import type { FeedFollower } from "./feed_follower.ts";
import { MAX_READER_AGE_MS } from "./feed_source.ts";
import type { PeerClient } from "./peer_client.ts";
import type { MeshStore, PollResult } from "./ports.ts";
import {
  choosePollWaitMs,
  COALESCE_MS,
  pauseAfterFailure,
  StorePoller,
} from "./store_poller.ts";
import { RecoveryRunner, type StoreDoubt } from "./recovery_runner.ts";
import type { StoreRecovery } from "./store_recovery.ts";
import { StoreView, type StoreViewOptions } from "./store_view.ts";

/**
 * Pause before the first poll of a store without a configuration, in ms. A new
 * fleet's daemons record their backend servers then; one poll brings them all.
 */
const BOOTSTRAP_PAUSE_MS = 2_000;

/** Options of a {@linkcode StoreSyncTask}. */
export interface StoreSyncOptions extends StoreViewOptions {
  readonly store: MeshStore;
  /** Polls the readers of the failure domain. */
  readonly follower: FeedFollower;
  /** Waits for a store that does not answer. */
  readonly recovery: Pick<StoreRecovery, "run" | "reset">;
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
  readonly #view: StoreView;
  readonly #poller: StorePoller;
  readonly #configReader: ConfigReader;
  readonly #recovery: RecoveryRunner;
  /** Whether it reads the store, and not another daemon's feed. */
  #isPollingStore = false;
  /** Whether the store has not answered this daemon itself since a failure. */
  #isStoreLost = false;

  /**
   * Creates a task that has not started.
   *
   * @param options Store, configuration and directory.
   */
  constructor(options: StoreSyncOptions) {
    this.#options = options;
    this.#view = new StoreView(options);
    this.#poller = new StorePoller(
      options.store,
      options.configSource.watchPrefix,
    );
    this.#recovery = new RecoveryRunner({ ...options, view: this.#view });
    this.#configReader = new ConfigReader({
      ...options,
      view: this.#view,
      isRecovering: () => this.#recovery.isRunning,
      doubtPoll: () => this.#poller.doubt(),
    });
  }

  /** Whether the store was listed at least once. */
  get hasListed(): boolean {
    return this.#view.hasListed;
  }

  /**
   * Returns the time since this daemon's view of the store was last known to be
   * complete. It leaves out the transit of the response that said so.
   *
   * @returns The age, in ms; infinite before the first response.
   */
  viewAgeMs(): number {
    return this.#view.connection.ageMs();
  }

  /**
   * Returns the time since the configuration was last known to be the newest.
   *
   * @returns The age, in ms; infinite before the first response.
   */
  configAgeMs(): number {
    return this.#view.connection.configAgeMs();
  }

  /**
   * Reads the configuration from the store, beside the polls.
   *
   * @returns Whether the configuration of this daemon is now the newest; false
   * if the store does not respond soon.
   */
  confirmConfig(): Promise<boolean> {
    return this.#configReader.confirm();
  }

  /**
   * Waits for changes that this daemon reads from the store.
   *
   * @param poll Where the follower goes on, and how long it waits.
   * @returns The changes, or why this daemon cannot say that there are none.
   */
  waitForUpdate(poll: FeedPoll): Promise<FeedAnswer> {
    return this.#view.waitForUpdate(
      poll,
      () => this.#isPollingStore || this.#recovery.isRunning,
    );
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
        this.#view.connection.lose();
        await pauseAfterFailure();
      }
    }
    this.#view.stop();
  }

  /**
   * Fetches the newest configuration version that other daemons have named, from
   * the one that named it or from the store, unless the poll delivers it soon.
   *
   * @param version The version of the other daemon.
   * @param client Client of the other daemon, if there is one.
   */
  handlePeerVersion(
    version: number,
    client: PeerClient | undefined,
  ): Promise<void> {
    return this.#configReader.handlePeerVersion(version, client);
  }

  /**
   * Counts a call of the store.
   *
   * @param call Name of the call.
   * @param sentAtMs Monotonic time at which it was sent, in ms.
   * @param isOk Whether it was answered.
   */
  countCall(call: string, sentAtMs: number, isOk: boolean): void {
    this.#view.connection.countCall(call, sentAtMs, isOk);
  }

  async #sendListing() {
    const { store, configSource } = this.#options;
    const sentAtMs = performance.now();
    const listed = await store.list(configSource.watchPrefix);
    this.countCall("list", sentAtMs, listed.isOk());
    return { listed, sentAtMs };
  }

  async #list(signal: AbortSignal): Promise<number | undefined> {
    const { listed, sentAtMs } = await this.#sendListing();
    return listed.isOk()
      ? await this.#applyFirstListing(listed.value, sentAtMs)
      : await this.#recoverFrom(listed.error, undefined, signal);
  }

  async #applyFirstListing(
    range: RangeResult,
    sentAtMs: number,
  ): Promise<number | undefined> {
    const { use, hasConfig } = this.#view.applyFirstListing(range, sentAtMs);
    if (use === ResponseUse.Drop) return await this.#skip(use, undefined);
    const isNewFleet = !hasConfig && use === ResponseUse.Apply;
    if (isNewFleet) await sleep(BOOTSTRAP_PAUSE_MS);
    return range.revision;
  }

  async #poll(
    afterRevision: number,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    const followed = await this.#options.follower.poll(
      afterRevision,
      this.#view.era,
    );
    const wasReading = this.#isPollingStore;
    this.#isPollingStore = followed.kind === "none" ||
      followed.kind === "away" && wasReading;
    switch (followed.kind) {
      case "changes":
        this.#isStoreLost = false;
        this.#options.recovery.reset();
        return this.#view.applyFollowed(followed.batch);
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
        if (this.#view.isInSlowSeries) {
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

  async #pollStore(
    afterRevision: number,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    const outcome = await this.#poller.poll(
      afterRevision,
      choosePollWaitMs(this.#options.follower.isReader, this.viewAgeMs()),
    );
    const { sentAtMs } = outcome;
    switch (outcome.kind) {
      case "doubted": {
        const { pending, waitMs, giveUp } = outcome;
        this.#isStoreLost = true;
        const revision = await this.#recover({
          afterRevision,
          pending,
          sentAtMs,
          heldUntilMs: sentAtMs + waitMs,
          reason: `no answer to a poll of ${waitMs} ms`,
          isFailure: false,
        }, signal);
        giveUp();
        return revision;
      }
      case "answered": {
        const { polled } = outcome;
        this.countCall("poll", sentAtMs, polled.isOk());
        return polled.isOk()
          ? await this.#applyPolled(polled.value, {
            afterRevision,
            atMs: performance.now(),
          }, signal)
          : await this.#recoverFrom(polled.error, afterRevision, signal);
      }
    }
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
      const use = this.#view.judgeCompacted(result.era);
      if (use !== ResponseUse.Apply) {
        return await this.#skip(use, afterRevision);
      }
      log.warn("store-history-lost", { afterRevision });
      // Compared with what is known, so that followers can go on.
      return await this.#catchUp(afterRevision, signal, false);
    }
    const use = this.#view.applyPolled(result, atMs);
    if (use !== ResponseUse.Apply) return await this.#skip(use, afterRevision);
    if (result.events.length === 0) return result.revision;
    await sleep(COALESCE_MS);
    const versions = result.events.filter(({ key }) =>
      key === configSource.key
    );
    return versions.length > 1
      ? await this.#catchUp(result.revision, signal)
      : result.revision;
  }

  /** Returns where to go on after a response that is not applied. */
  async #skip(
    use: ResponseUse,
    afterRevision: number | undefined,
  ): Promise<number | undefined> {
    if (use !== ResponseUse.Drop) return undefined;
    await pauseAfterFailure();
    return afterRevision;
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
    const { afterRevision, sentAtMs, heldUntilMs } = doubt;
    const doubtedAtMs = performance.now();
    const recovery = await this.#recovery.run(doubt, signal);
    switch (recovery.kind) {
      case "polled": {
        this.#isStoreLost = false;
        const { result } = recovery;
        const isUnchanged = result.kind === "events" &&
          result.events.length === 0;
        return await this.#applyPolled(result, {
          afterRevision: afterRevision ?? 0,
          // A late answer says what was true before its way back.
          atMs: (isUnchanged ? heldUntilMs : sentAtMs) ?? doubtedAtMs,
        }, signal);
      }
      case "listed":
        this.#isPollingStore = true;
        this.#isStoreLost = false;
        return afterRevision === undefined
          ? await this.#applyFirstListing(recovery.range, recovery.sentAtMs)
          : this.#view.applyListing(recovery.range, {
            afterRevision,
            hasHistory: true,
            sentAtMs: recovery.sentAtMs,
          });
      case "followed":
        this.#options.follower.resume(recovery.source);
        return this.#view.applyFollowed(recovery.batch);
      case "stopped":
        return afterRevision;
    }
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
    const { listed, sentAtMs } = await this.#sendListing();
    return listed.isOk()
      ? this.#view.applyListing(listed.value, {
        afterRevision,
        hasHistory,
        sentAtMs,
      })
      : await this.#recoverFrom(listed.error, afterRevision, signal);
  }
}
