import { setTimeout as sleep } from "node:timers/promises";
import { Buffer } from "node:buffer";
import type { BackendRecord } from "../protocol/mesh.ts";
import { messageOf } from "../protocol/step_error.ts";
import type { StoreEntry } from "../protocol/store.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import {
  decodeRecord,
  encodeRecord,
  RECORD_PREFIX,
} from "./backend_record_codec.ts";
import type { MeshStore } from "./ports.ts";

/** Time to live of the record once its daemon stops renewing it, in s. */
const LEASE_TTL_S = 10;
/** Pause between two lease renewals, in ms. */
const RENEW_PERIOD_MS = 3_000;
/** Pause before a failed write is retried, in ms. */
const RETRY_DELAY_MS = 300;

/** Lease of an entry that does not expire. */
const NO_LEASE = "0";

/** Options of a {@linkcode RecordPublisher}. */
export interface RecordPublisherOptions {
  readonly store: MeshStore;
  readonly instance: string;
  readonly log: EventLog;
}

/**
 * Keeps the record of the local backend server in the store up to date.
 *
 * It compares the desired record with the one that the store reports, and
 * writes again after a late write, a lost response or an expired lease.
 *
 * @example
 * ```ts ignore
 * publisher.publish(record);
 * ```
 */
export class RecordPublisher {
  readonly #options: RecordPublisherOptions;
  readonly #key: string;
  #desired: Uint8Array | undefined;
  #stored: Uint8Array | undefined;
  /** Whether the store has reported what an earlier process left there. */
  #isStoredKnown = false;
  #leaseId: string | undefined;
  #renewAtMs = 0;
  #wake: (() => void) | undefined;

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
    this.#desired = encodeRecord(record);
    this.#wake?.();
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
    if (!this.#isStoredKnown) this.#wake?.();
    this.#isStoredKnown = true;
    if (this.#leaseId === undefined && hasLease(entry)) {
      this.#leaseId = entry.leaseId;
      this.#renewAtMs = performance.now();
      this.#wake?.();
    }
    if (!isEqual(this.#stored, this.#desired)) this.#wake?.();
    return entry && decodeRecord(entry.value, entry.key);
  }

  /**
   * Writes the record and renews its lease until the signal aborts.
   *
   * @param signal Stops the publisher.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
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
    if (this.#leaseId !== undefined && performance.now() >= this.#renewAtMs) {
      await this.#renewLease();
    }
    // An earlier record stays until the backend server has announced itself.
    if (this.#desired === undefined || !this.#isStoredKnown) return true;
    if (isEqual(this.#stored, this.#desired)) return true;
    return await this.#put(this.#desired);
  }

  async #renewLease(): Promise<void> {
    const renewed = await this.#options.store.renewLease(this.#leaseId!);
    this.#renewAtMs = performance.now() + RENEW_PERIOD_MS;
    if (renewed.isErr() || renewed.value > 0) return;
    this.#options.log.warn("record-lease-lapsed", { lease: this.#leaseId });
    this.#leaseId = undefined;
    this.#stored = undefined;
  }

  async #put(record: Uint8Array): Promise<boolean> {
    const { store, log } = this.#options;
    if (this.#leaseId === undefined) {
      const granted = await store.grantLease(LEASE_TTL_S);
      if (granted.isErr()) return false;
      this.#leaseId = granted.value;
      this.#renewAtMs = performance.now() + RENEW_PERIOD_MS;
    }
    const committed = await store.commit({
      conditions: [],
      writes: [{
        kind: "put",
        key: this.#key,
        value: record,
        leaseId: this.#leaseId,
      }],
    });
    if (committed.isErr()) {
      log.warn("record-write-failed", { reason: committed.error.message });
      // The lease may have caused the failure; a new one costs one call.
      this.#leaseId = undefined;
      return false;
    }
    this.#stored = record;
    log.info("record-written", { revision: committed.value.revision });
    return true;
  }

  #computeRenewalDelayMs(): number {
    if (this.#leaseId === undefined) return RENEW_PERIOD_MS;
    return Math.max(0, this.#renewAtMs - performance.now());
  }

  async #sleepUntilWoken(delayMs: number): Promise<void> {
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
