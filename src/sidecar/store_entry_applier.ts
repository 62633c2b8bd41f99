import { missingGraceMs } from "../coordination/eras/mod.ts";
import { isSlowRead } from "../coordination/readers/mod.ts";
import { EXEMPTION_PREFIX } from "../protocol/end_evidence.ts";
import type { ConfigGap } from "../protocol/mesh.ts";
import { messageOf } from "../protocol/step_error.ts";
import type { StoreEntry } from "../protocol/store.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { decodeRecord, RECORD_PREFIX } from "./backend_record_codec.ts";
import type { MeshConfigSource } from "./ports.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";

/** Time for which a backend server without a record is still used, in ms. */
const MISSING_GRACE_MS = 3_000;
/** Pause between two checks for missing records, in ms. */
const SWEEP_PERIOD_MS = 500;

/** The way by which a configuration came. */
export enum ConfigOrigin {
  Listing = "listing",
  Poll = "poll",
  Reader = "reader",
  /** A read of the key, after another daemon named the version. */
  KeyRead = "key-read",
  Peer = "peer",
}

/** Options of a {@linkcode StoreEntryApplier}. */
export interface StoreEntryOptions {
  readonly configSource: MeshConfigSource;
  readonly routes: RouteTableHolder;
  readonly directory: BackendDirectory;
  readonly quarantine: RequestQuarantine;
  readonly log: EventLog;
  /** Called after a configuration was adopted. */
  readonly onConfigAdopted: () => void;
  /** Called with the entry of the local record; `undefined` if missing. */
  readonly onLocalRecord: (entry: StoreEntry | undefined) => void;
  readonly localKey: string;
  /** Bandwidth of this daemon's link, in Mbit/s; 0 if unknown. */
  readonly linkMbps: number;
  /** Called once an instance has been removed from the directory. */
  readonly onRemoved: (instance: string) => void;
  /** Called with each entry that is neither a configuration nor a record. */
  readonly onOtherEntry?: (
    key: string,
    entry: StoreEntry | undefined,
    mayBeOutdated: boolean,
  ) => void;
  /** Era of the store; `undefined` if it names none. */
  readonly era: () => number | undefined;
  /** Whether an entry may come from the copy of a store that was restored. */
  readonly mayBeOutdated: (entry: StoreEntry) => boolean;
  /** Whether the store answers. */
  readonly isConnected: () => boolean;
  /** Newest configuration version that another daemon has named. */
  readonly newestPeerVersion: () => number;
  /** Age of the view of all keys, in ms. */
  readonly viewAgeMs: () => number;
}

/**
 * Applies the entries of the store to the state of this daemon.
 *
 * @example
 * ```ts ignore
 * new StoreEntryApplier(options).applyEntry(entry, ConfigOrigin.Listing);
 * ```
 */
export class StoreEntryApplier {
  readonly #options: StoreEntryOptions;
  readonly #loggedGaps = new Set<string>();
  /** When a version was adopted that takes long to come from the store. */
  #slowVersionAtMs = -Infinity;
  #sweepTimer: NodeJS.Timeout | undefined;
  /** Until when missing records may still be written again, in ms. */
  #rewriteUntilMs = -Infinity;

  /**
   * Creates an applier.
   *
   * @param options The state that depends on the store.
   */
  constructor(options: StoreEntryOptions) {
    this.#options = options;
  }

  /** Monotonic time of the last version that took long to come, in ms. */
  get slowVersionAtMs(): number {
    return this.#slowVersionAtMs;
  }

  /** Gives all daemons the time to write their records again. */
  startEra(): void {
    this.#rewriteUntilMs = performance.now() +
      missingGraceMs(this.#options.directory.size);
  }

  /** Stops waiting for records that are missing. */
  stop(): void {
    clearTimeout(this.#sweepTimer);
  }

  /**
   * Applies an entry of the store.
   *
   * @param entry The entry.
   * @param origin The way by which it came.
   */
  applyEntry(entry: StoreEntry, origin: ConfigOrigin): void {
    const { configSource, localKey, onLocalRecord } = this.#options;
    if (entry.key === configSource.key) {
      this.adoptConfig(entry.value, origin);
    }
    this.#setExempt(entry.key, true);
    if (!entry.key.startsWith(RECORD_PREFIX)) {
      const { onOtherEntry, mayBeOutdated } = this.#options;
      return onOtherEntry?.(entry.key, entry, mayBeOutdated(entry));
    }
    if (entry.key === localKey) onLocalRecord(entry);
    else this.#applyRecord(entry);
  }

  #applyRecord(entry: StoreEntry): void {
    const record = decodeRecord(entry.value, entry.key);
    if (record === undefined) {
      this.#options.log.warn("record-unreadable", { key: entry.key });
      return;
    }
    this.#options.quarantine.mergeReports(record.instance, record.ends);
    if (this.#options.directory.put(record)) {
      this.#options.log.info("backend-recorded", {
        backend: record.id,
        instance: record.instance,
        service: record.service,
        state: record.state,
        revision: entry.modRevision,
      });
    }
    // Only its daemon can show that it is still there: its lease is gone.
    const { leaseEra } = record;
    const era = this.#options.era();
    if (leaseEra !== undefined && era !== undefined && leaseEra < era) {
      this.#markRecordMissing(record.instance);
    }
  }

  /**
   * Adopts a configuration unless a newer one is known.
   *
   * @param bytes The configuration.
   * @param origin The way by which it came.
   */
  adoptConfig(bytes: Uint8Array, origin: ConfigOrigin): void {
    const { configSource, routes, log, onConfigAdopted } = this.#options;
    try {
      const config = configSource.decode(bytes);
      const replacesEqual = origin !== ConfigOrigin.Peer &&
        this.#rewriteUntilMs > -Infinity;
      if (!routes.adopt(config, bytes, replacesEqual)) return;
      if (isSlowRead(bytes.length, this.#options.linkMbps)) {
        this.#slowVersionAtMs = performance.now();
      }
      log.info("config-adopted", {
        version: config.version,
        routes: config.routes.length,
        origin,
        newest: Math.max(config.version, this.#options.newestPeerVersion()),
        viewAgeMs: Math.round(this.#options.viewAgeMs()),
      });
      this.#logGaps(config.gaps);
      onConfigAdopted();
    } catch (error) {
      log.error("config-unreadable", { reason: messageOf(error) });
    }
  }

  /** Logs each reason once, as later versions mostly repeat it. */
  #logGaps(gaps: readonly ConfigGap[]): void {
    for (const reason of new Set(gaps.map((gap) => gap.reason))) {
      if (this.#loggedGaps.has(reason)) continue;
      this.#loggedGaps.add(reason);
      const subjects = gaps.filter((gap) => gap.reason === reason);
      this.#options.log.warn("config-gap", {
        reason,
        count: subjects.length,
        first: subjects[0]!.subject,
      });
    }
  }

  #setExempt(key: string, isExempt: boolean): void {
    if (!key.startsWith(EXEMPTION_PREFIX)) return;
    const fingerprint = key.slice(EXEMPTION_PREFIX.length);
    this.#options.quarantine.setExempt(fingerprint, isExempt);
  }

  /**
   * Replaces all exemptions from quarantine.
   *
   * @param keys All keys of the store.
   */
  replaceExempt(keys: readonly string[]): void {
    this.#options.quarantine.replaceExempt(
      keys.filter((key) => key.startsWith(EXEMPTION_PREFIX))
        .map((key) => key.slice(EXEMPTION_PREFIX.length)),
    );
  }

  /**
   * Applies the deletion of a key.
   *
   * @param key The key.
   */
  markMissing(key: string): void {
    this.#setExempt(key, false);
    if (!key.startsWith(RECORD_PREFIX)) {
      return this.#options.onOtherEntry?.(key, undefined, false);
    }
    if (key === this.#options.localKey) {
      this.#options.onLocalRecord(undefined);
      return;
    }
    this.#markRecordMissing(key.slice(RECORD_PREFIX.length));
  }

  #markRecordMissing(instance: string): void {
    this.#options.directory.markMissing(instance, performance.now());
    this.#scheduleSweep();
  }

  /** Runs a timer only while records are missing, so an idle daemon sleeps. */
  #scheduleSweep(): void {
    this.#sweepTimer ??= setTimeout(() => this.#sweep(), SWEEP_PERIOD_MS);
  }

  /** Removes instances whose records have been missing for too long. */
  #sweep(): void {
    this.#sweepTimer = undefined;
    const nowMs = performance.now();
    const { directory, log, onRemoved } = this.#options;
    for (const { record, missingSinceMs } of [...directory.entries]) {
      if (missingSinceMs === 0) continue;
      if (!this.#options.isConnected()) {
        directory.put(record);
        directory.markMissing(record.instance, nowMs);
      }
      if (
        !this.#options.isConnected() || nowMs < this.#rewriteUntilMs ||
        nowMs - missingSinceMs < MISSING_GRACE_MS
      ) {
        this.#scheduleSweep();
        continue;
      }
      log.info("backend-gone", {
        backend: record.id,
        instance: record.instance,
        missingMs: Math.round(nowMs - missingSinceMs),
      });
      directory.remove(record.instance);
      onRemoved(record.instance);
    }
  }
}
