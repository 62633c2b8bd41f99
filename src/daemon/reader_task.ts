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
import { READER_SLOT_PREFIX } from "../coordination/slots/slot_planner.ts";
import type { Random } from "../protocol/random.ts";
import { messageOf, type StepError } from "../protocol/step_error.ts";
import type { Store } from "../protocol/store.ts";
import type { ConfigStore } from "../state/config_store.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { ConfigTask } from "./config_task.ts";
import type { FleetBus } from "./fleet_bus.ts";

/** Bounds of the pause after a failed watch, in ms; it doubles each time. */
const MIN_PAUSE_MS = 200;
const MAX_PAUSE_MS = 5_000;
/**
 * Time after which a watch is replaced, in ms: its connection may be dead
 * without an error, and changes have to be seen within seconds.
 */
const WATCH_LIFETIME_MS = 5_000;
/** Bounds of the interval between reads of the contacts, in ms; it doubles. */
const MIN_CONTACTS_PERIOD_MS = 1_000;
const MAX_CONTACTS_PERIOD_MS = 32_000;

/** Options of a {@linkcode ReaderTask}. */
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
 * Reads configuration versions from the store while this daemon holds a reader
 * slot.
 *
 * @example
 * ```ts ignore
 * const reader = new ReaderTask(options);
 * const head = await reader.readHead();
 * ```
 */
export class ReaderTask {
  readonly #options: ReaderTaskOptions;
  #watchAbort: AbortController | undefined;
  #contactsTimer: NodeJS.Timeout | undefined;

  /**
   * Creates a task that subscribes to the bus.
   *
   * @param options Dependencies.
   */
  constructor(options: ReaderTaskOptions) {
    this.#options = options;
    options.bus.on("slotsChanged", ({ held }) => {
      const isReader = held.some((slot) =>
        slot.name.startsWith(READER_SLOT_PREFIX)
      );
      if (isReader) this.#start();
      else this.stop();
    });
  }

  /** Stops the watch. */
  stop(): void {
    this.#watchAbort?.abort();
    this.#watchAbort = undefined;
    clearTimeout(this.#contactsTimer);
  }

  /**
   * Reads the head record, which names the accepted version.
   *
   * @returns The record, `undefined` if no version was accepted, or an error.
   */
  async readHead(): Promise<HeadRecord | undefined | StepError> {
    const result = await readHead(this.#options.store);
    return result.isErr() ? result.error : result.value?.head;
  }

  /**
   * Reads the control addresses of all readers, which serve as contacts.
   *
   * @returns The addresses; none if the store does not respond.
   */
  async readContacts(): Promise<string[]> {
    const range = await this.#options.store.list(READER_SLOT_PREFIX);
    if (range.isErr()) return [];
    const decoder = new TextDecoder();
    return [
      ...new Set(
        range.value.entries.map((entry) => decoder.decode(entry.value)),
      ),
    ];
  }

  /**
   * Reads and adopts the version that a head record names, if it is newer.
   *
   * @param head The head record.
   * @returns False if the version could not be read or is invalid.
   */
  async adoptHead(head: HeadRecord): Promise<boolean> {
    const { config, log, store, site, configTask } = this.#options;
    if (head.version <= config.version) {
      this.#reportStaleStore(head);
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

  /** Logs a store that is behind the fleet, as after a restored backup. */
  #reportStaleStore(head: HeadRecord): void {
    const { config, log } = this.#options;
    const isOlder = head.version < config.version;
    const isDifferent = head.version === config.version &&
      head.digest !== config.digest;
    if (!isOlder && !isDifferent) return;
    log.error("store-behind-fleet", {
      store_version: head.version,
      in_force: config.version,
      store_digest: head.digest,
    });
  }

  #start(): void {
    if (this.#watchAbort !== undefined) return;
    const abort = new AbortController();
    this.#watchAbort = abort;
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
      void this.#options.bus.emit("contactsDiscovered", { addresses });
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

  /** Reads the head record, then watches for later changes. */
  async #watchOnce(
    signal: AbortSignal,
    onSuccess: () => void,
  ): Promise<void> {
    const stored = await readHead(this.#options.store);
    if (stored.isErr()) throw stored.error;
    onSuccess();
    if (stored.value !== undefined) await this.#adoptOrThrow(stored.value.head);
    const fromRevision = (stored.value?.modRevision ?? 0) + 1;
    const lifetime = AbortSignal.timeout(WATCH_LIFETIME_MS);
    const events = this.#options.store.watch(HEAD_KEY, {
      fromRevision,
      signal: AbortSignal.any([signal, lifetime]),
    });
    try {
      for await (const { entry } of events) {
        if (entry === undefined) continue;
        const text = new TextDecoder().decode(entry.value);
        await this.#adoptOrThrow(parseHead(text));
      }
    } catch (error) {
      if (!lifetime.aborted) throw error;
    }
  }

  /** Adopts a head; throws on failure, so that the watch is retried. */
  async #adoptOrThrow(head: HeadRecord): Promise<void> {
    if (await this.adoptHead(head)) return;
    throw new Error(
      `Cannot adopt version ${head.version}: it is unreadable or invalid`,
    );
  }
}
