import { setTimeout as sleep } from "node:timers/promises";
import {
  readHead,
  readResources,
} from "../coordination/config/version_records.ts";
import { checkVersion } from "../coordination/config/check_delta.ts";
import {
  HEAD_KEY,
  type HeadRecord,
  parseHead,
} from "../coordination/config/head_record.ts";
import { READER_PREFIX } from "../coordination/slots/slot_keeper.ts";
import type { Random } from "../protocol/random.ts";
import { messageOf, type StepError } from "../protocol/step_error.ts";
import type { Store } from "../protocol/store.ts";
import type { ConfigStore } from "../state/config_store.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { ConfigTask } from "./config_task.ts";
import type { FleetBus } from "./fleet_bus.ts";

/** Pauses after a failed watch, in ms. */
const MIN_PAUSE_MS = 200;
const MAX_PAUSE_MS = 5_000;
/**
 * Time after which a watch is replaced, in ms: its connection may have gone
 * silent, and a change has to be seen within seconds all the same.
 */
const REFRESH_PERIOD_MS = 5_000;
/** Time between two looks at the other readers, in ms; it doubles with each. */
const MIN_CONTACTS_PERIOD_MS = 1_000;
const MAX_CONTACTS_PERIOD_MS = 32_000;

/** What a {@linkcode ReaderTask} needs. */
export interface ReaderTaskOptions {
  readonly site: string;
  readonly store: Store;
  readonly config: ConfigStore;
  readonly configTask: ConfigTask;
  readonly bus: FleetBus;
  readonly log: EventLog;
  readonly random: Random;
}

/**
 * Reads configuration versions from the store while it holds a reader slot.
 *
 * @example
 * ```ts ignore
 * const reader = new ReaderTask(options);
 * const head = await reader.readHead();
 * ```
 */
export class ReaderTask {
  readonly #options: ReaderTaskOptions;
  #abort: AbortController | undefined;
  #contactsTimer: NodeJS.Timeout | undefined;

  /**
   * Creates a task that follows the bus.
   *
   * @param options Its parts.
   */
  constructor(options: ReaderTaskOptions) {
    this.#options = options;
    options.bus.on("slotsChanged", ({ held }) => {
      const isReader = held.some((slot) => slot.name.startsWith(READER_PREFIX));
      if (isReader) this.#start();
      else this.stop();
    });
  }

  /** Ends the watch. */
  stop(): void {
    this.#abort?.abort();
    this.#abort = undefined;
    clearTimeout(this.#contactsTimer);
  }

  /**
   * Reads the accepted version's record.
   *
   * @returns The record, `undefined` where nothing was accepted, or an error.
   */
  async readHead(): Promise<HeadRecord | undefined | StepError> {
    const result = await readHead(this.#options.store);
    return result.isErr() ? result.error : result.value?.head;
  }

  /**
   * Reads the control addresses of all readers, which are also contacts.
   *
   * @returns The addresses; none where the store does not answer.
   */
  async readContacts(): Promise<string[]> {
    const range = await this.#options.store.list(READER_PREFIX);
    if (range.isErr()) return [];
    const decoder = new TextDecoder();
    return [
      ...new Set(range.value.entries.map((one) => decoder.decode(one.value))),
    ];
  }

  /**
   * Reads and adopts the version that a head names, if it is newer.
   *
   * @param head The head record.
   * @returns Whether it was read and checked.
   */
  async follow(head: HeadRecord): Promise<boolean> {
    const { config, log, store, site, configTask } = this.#options;
    if (head.version <= config.version) {
      this.#checkAge(head);
      return true;
    }
    const resources = await readResources(store, head);
    if (resources.isErr()) {
      log.warn("config-read-failed", {
        version: head.version,
        step: resources.error.step,
        peer: resources.error.peer,
        error: resources.error.message,
      });
      return false;
    }
    const checked = checkVersion(head.version, resources.value, site);
    if (checked.isErr()) {
      log.error("config-rejected", {
        version: head.version,
        error: checked.error.message,
        in_force: config.version,
      });
      return false;
    }
    await configTask.adoptFromStore(checked.value);
    return true;
  }

  /** Reports a store that was restored from an old backup. */
  #checkAge(head: HeadRecord): void {
    const { config, log } = this.#options;
    const isOlder = head.version < config.version;
    const isOther = head.version === config.version &&
      head.digest !== config.digest;
    if (!isOlder && !isOther) return;
    log.error("store-behind-fleet", {
      store_version: head.version,
      in_force: config.version,
      store_digest: head.digest,
    });
  }

  #start(): void {
    if (this.#abort !== undefined) return;
    const abort = new AbortController();
    this.#abort = abort;
    void this.#watchUntil(abort.signal);
    this.#scheduleContacts(MIN_CONTACTS_PERIOD_MS);
  }

  #scheduleContacts(periodMs: number): void {
    this.#contactsTimer = setTimeout(() => {
      void this.#announceContacts();
      this.#scheduleContacts(Math.min(2 * periodMs, MAX_CONTACTS_PERIOD_MS));
    }, periodMs);
  }

  async #announceContacts(): Promise<void> {
    const addresses = await this.readContacts();
    if (addresses.length > 0) {
      void this.#options.bus.emit("contactsSeen", { addresses });
    }
  }

  async #watchUntil(signal: AbortSignal): Promise<void> {
    let pauseMs = MIN_PAUSE_MS;
    while (!signal.aborted) {
      try {
        await this.#watchOnce(signal, () => pauseMs = MIN_PAUSE_MS);
        continue;
      } catch (error) {
        if (signal.aborted) return;
        this.#options.log.warn("config-watch-failed", {
          error: messageOf(error),
          pause_ms: pauseMs,
        });
      }
      const jitter = 0.5 + this.#options.random.fraction();
      await sleep(pauseMs * jitter);
      pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
    }
  }

  /** Reads the head, then waits for changes after what was read. */
  async #watchOnce(
    signal: AbortSignal,
    onSuccess: () => void,
  ): Promise<void> {
    const stored = await readHead(this.#options.store);
    if (stored.isErr()) throw stored.error;
    onSuccess();
    if (stored.value !== undefined) await this.#followFully(stored.value.head);
    const fromRevision = (stored.value?.modRevision ?? 0) + 1;
    const refresh = AbortSignal.timeout(REFRESH_PERIOD_MS);
    const events = this.#options.store.watch(HEAD_KEY, {
      fromRevision,
      signal: AbortSignal.any([signal, refresh]),
    });
    try {
      for await (const { entry } of events) {
        if (entry === undefined) continue;
        const text = new TextDecoder().decode(entry.value);
        await this.#followFully(parseHead(text));
      }
    } catch (error) {
      if (!refresh.aborted) throw error;
    }
  }

  /** Fails the watch where a version could not be read, so that it is retried. */
  async #followFully(head: HeadRecord): Promise<void> {
    if (await this.follow(head)) return;
    throw new Error(`version ${head.version} could not be read`);
  }
}
