import { setTimeout as sleep } from "node:timers/promises";
import { Buffer } from "node:buffer";
import { compareEras, EraOrder } from "../coordination/eras/mod.ts";
import type { BackendRecord } from "../protocol/mesh.ts";
import { messageOf } from "../protocol/step_error.ts";
import type { StoreEntry } from "../protocol/store.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import {
  decodeRecord,
  encodeRecord,
  RECORD_PREFIX,
} from "./backend_record_codec.ts";
import type { LeaseGrant, MeshStore } from "./ports.ts";

/** Time to live of the record once its daemon stops renewing it, in s. */
const LEASE_TTL_S = 10;
/** Pause between two lease renewals, in ms. */
const RENEW_PERIOD_MS = 3_000;
/**
 * Time for the view to show the era that a response named, in ms. After it, the
 * store is asked again, as the response may have named a wrong one.
 */
const AWAIT_ERA_MS = 3_000;
/** Pause before a failed write is retried, in ms. */
const RETRY_DELAY_MS = 300;

/** Lease of an entry that does not expire. */
const NO_LEASE = "0";

/** Options of a {@linkcode RecordPublisher}. */
export interface RecordPublisherOptions {
  readonly store: MeshStore;
  readonly instance: string;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
}

/**
 * Keeps the record of the local backend server in the store up to date.
 *
 * It compares the desired record with the one that the store reports, and
 * writes again after a late write, a lost response or an expired lease, and once
 * after the store was restored from a copy.
 *
 * @example
 * ```ts ignore
 * publisher.publish(record);
 * ```
 */
export class RecordPublisher {
  readonly #options: RecordPublisherOptions;
  readonly #key: string;
  #desired: BackendRecord | undefined;
  #stored: Uint8Array | undefined;
  /** Whether the store has reported what an earlier process left there. */
  #isStoredKnown = false;
  #lease: LeaseGrant | undefined;
  /** Era of the store, as far as the view of it shows. */
  #era: number | undefined;
  /** When the record is to be written again; `undefined` if it is not. */
  #rewriteAtMs: number | undefined;
  /** Until when the view is expected to show the era of a response. */
  #awaitsEraUntilMs = -Infinity;
  #renewAtMs = 0;
  #wake: (() => void) | undefined;
  /** Whether there is something to do that the last comparison may not know. */
  #isWoken = false;

  /**
   * Creates a publisher without a record.
   *
   * @param options Store, local instance and log.
   */
  constructor(options: RecordPublisherOptions) {
    this.#options = options;
    this.#key = RECORD_PREFIX + options.instance;
  }

  /** Key of the record in the store. */
  get key(): string {
    return this.#key;
  }

  /**
   * Publishes a record in place of the current one.
   *
   * @param record The record.
   */
  publish(record: BackendRecord): void {
    const known = this.#desired && encodeRecord(this.#desired);
    const hasChanged = !isEqual(known, encodeRecord(record));
    this.#desired = record;
    // Others depend on a change, which also is the write that is due.
    if (hasChanged && this.#rewriteAtMs !== undefined) {
      this.#rewriteAtMs = performance.now();
    }
    this.#wakeUp();
  }

  /**
   * Learns the era of the store, before anything that it has in this era.
   *
   * @param era The era.
   * @param rewriteDelayMs Time after which the record is written again, as the
   * store was restored, in ms; `undefined` if it was not.
   */
  enterEra(era: number, rewriteDelayMs: number | undefined): void {
    this.#era = era;
    this.#awaitsEraUntilMs = -Infinity;
    this.#wakeUp();
    if (rewriteDelayMs === undefined) return;
    // The store may have granted its id to another daemon since.
    if (this.#lease?.era !== era) this.#lease = undefined;
    this.#rewriteAtMs = performance.now() + rewriteDelayMs;
  }

  /**
   * Compares the entry that the store reports with the desired record, and
   * adopts the lease of an earlier process of this daemon, so that a restart
   * changes nothing in the store.
   *
   * @param entry The entry under the record's key, if any.
   * @returns The stored record, if any.
   */
  handleStoredEntry(entry: StoreEntry | undefined): BackendRecord | undefined {
    this.#stored = entry?.value;
    if (!this.#isStoredKnown) this.#wakeUp();
    this.#isStoredKnown = true;
    const record = entry && decodeRecord(entry.value, entry.key);
    if (
      this.#lease === undefined && hasLease(entry) && this.#mayAdopt(record)
    ) {
      this.#lease = { leaseId: entry.leaseId, era: this.#era };
      this.#renewAtMs = performance.now();
      this.#wakeUp();
    }
    if (!isEqual(this.#stored, this.#encodeDesired())) this.#wakeUp();
    return record;
  }

  /** Whether the lease of a stored record was granted in this era. */
  #mayAdopt(record: BackendRecord | undefined): boolean {
    return this.#rewriteAtMs === undefined &&
      (this.#era === undefined || record?.leaseEra === this.#era);
  }

  #encodeDesired(): Uint8Array | undefined {
    const leaseEra = this.#lease?.era;
    return this.#desired && encodeRecord(
      leaseEra === undefined ? this.#desired : { ...this.#desired, leaseEra },
    );
  }

  /**
   * Writes the record and renews its lease until the signal aborts.
   *
   * @param signal Stops the publisher.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#isWoken = false;
      const isReconciled = await this.#reconcile().catch((error: unknown) => {
        this.#options.log.error("record-write-failed", {
          reason: messageOf(error),
        });
        return false;
      });
      await this.#sleepUntilWoken(
        isReconciled ? this.#computeRenewalDelayMs() : RETRY_DELAY_MS,
      );
    }
  }

  async #reconcile(): Promise<boolean> {
    const { store } = this.#options;
    if (this.#lease !== undefined && performance.now() >= this.#renewAtMs) {
      await this.#renewLease(store, this.#lease);
    }
    // An earlier record stays until the backend server has announced itself.
    if (this.#desired === undefined || !this.#isStoredKnown) return true;
    // The view shows the era soon, and with it when to write.
    if (performance.now() < this.#awaitsEraUntilMs) return true;
    if (this.#rewriteAtMs !== undefined) {
      return performance.now() < this.#rewriteAtMs || await this.#put();
    }
    if (isEqual(this.#stored, this.#encodeDesired())) return true;
    return await this.#put();
  }

  async #renewLease(store: MeshStore, lease: LeaseGrant): Promise<void> {
    const renewed = await store.renewLease(lease.leaseId);
    this.#renewAtMs = performance.now() + RENEW_PERIOD_MS;
    if (renewed.isErr() || this.#lease !== lease) return;
    if (!this.#isOfEra(renewed.value.era, lease)) return;
    if (renewed.value.ttlS > 0) return;
    this.#options.log.warn("record-lease-lapsed", { lease: lease.leaseId });
    this.#lease = undefined;
    this.#stored = undefined;
  }

  /**
   * Whether a response is of the era of the lease. If it is of a later one, the
   * lease is given up, and nothing is written before the view shows the era.
   */
  #isOfEra(era: number | undefined, lease: LeaseGrant): boolean {
    if (compareEras(era, lease.era) === EraOrder.Same) return true;
    if (this.#lease === lease) this.#lease = undefined;
    if (compareEras(era, this.#era) === EraOrder.Later) this.#awaitEra();
    return false;
  }

  async #grantLease(): Promise<LeaseGrant | undefined> {
    const granted = await this.#options.store.grantLease(LEASE_TTL_S);
    if (granted.isErr()) return undefined;
    const { era } = granted.value;
    const order = compareEras(era, this.#era);
    if (order === EraOrder.Earlier) return undefined;
    this.#lease = granted.value;
    this.#renewAtMs = performance.now() + RENEW_PERIOD_MS;
    if (order === EraOrder.Same) return granted.value;
    this.#awaitEra();
    return undefined;
  }

  #awaitEra(): void {
    this.#awaitsEraUntilMs = performance.now() + AWAIT_ERA_MS;
  }

  async #put(): Promise<boolean> {
    const { store, log, metrics } = this.#options;
    const lease = this.#lease ?? await this.#grantLease();
    const record = this.#encodeDesired();
    if (lease === undefined || record === undefined) return false;
    const committed = await store.commit({
      conditions: [],
      writes: [{
        kind: "put",
        key: this.#key,
        value: record,
        leaseId: lease.leaseId,
      }],
    });
    if (committed.isErr()) {
      log.warn("record-write-failed", { reason: committed.error.message });
      // The lease may have caused the failure; a new one costs one call.
      if (this.#lease === lease) this.#lease = undefined;
      return false;
    }
    const { revision, era } = committed.value;
    if (!this.#isOfEra(era, lease) || this.#lease !== lease) return false;
    this.#stored = record;
    const isRewrite = this.#rewriteAtMs !== undefined;
    this.#rewriteAtMs = undefined;
    if (isRewrite) {
      metrics.count("records_rewritten_total", { kind: "backend" });
    }
    log.info("record-written", { revision, isRewrite, era });
    return true;
  }

  #computeRenewalDelayMs(): number {
    const nowMs = performance.now();
    const writeAtMs = nowMs < this.#awaitsEraUntilMs
      ? this.#awaitsEraUntilMs
      : this.#rewriteAtMs ?? Infinity;
    const renewAtMs = this.#lease === undefined
      ? nowMs + RENEW_PERIOD_MS
      : this.#renewAtMs;
    return Math.max(0, Math.min(renewAtMs, writeAtMs) - nowMs);
  }

  #wakeUp(): void {
    this.#isWoken = true;
    this.#wake?.();
  }

  async #sleepUntilWoken(delayMs: number): Promise<void> {
    if (this.#isWoken) return;
    const wakeUp = new AbortController();
    this.#wake = () => wakeUp.abort();
    try {
      await sleep(delayMs, undefined, { signal: wakeUp.signal });
    } catch {
      // The wait was interrupted because there is something to write.
    }
  }
}

function hasLease(entry: StoreEntry | undefined): entry is StoreEntry {
  return entry !== undefined && entry.leaseId !== NO_LEASE;
}

function isEqual(
  a: Uint8Array | undefined,
  b: Uint8Array | undefined,
): boolean {
  if (a === undefined || b === undefined) return a === b;
  return Buffer.compare(a, b) === 0;
}
