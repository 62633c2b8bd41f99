import { setTimeout as sleep } from "node:timers/promises";
import { Buffer } from "node:buffer";
import type { BackendRecord } from "../protocol/mesh.ts";
import type { StoreEntry } from "../protocol/store.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import {
  decodeRecord,
  encodeRecord,
  RECORD_PREFIX,
} from "./backend_record_codec.ts";
import type { MeshStore } from "./ports.ts";

/** Life of the record of a daemon that renews nothing more, in s. */
const LEASE_TTL_S = 10;
/** Pause between two renewals, in ms. */
const RENEW_PERIOD_MS = 3_000;
/** Pause before a write that failed is tried again, in ms. */
const RETRY_DELAY_MS = 300;

/** What the announcements work with. */
export interface RecordPublisherOptions {
  readonly store: MeshStore;
  readonly instance: string;
  readonly log: EventLog;
}

/**
 * Keeps the record of the own backend server in the store as it should be.
 *
 * What was written is compared with what the store reports, so that a late
 * write, a lost answer or a lapsed lease is made good.
 *
 * @example
 * ```ts ignore
 * announcer.publish(record);
 * ```
 */
export class RecordPublisher {
  readonly #options: RecordPublisherOptions;
  readonly #key: string;
  #desired: Uint8Array | undefined;
  #stored: Uint8Array | undefined;
  #leaseId: string | undefined;
  #renewAtMs = 0;
  #wake: (() => void) | undefined;

  /**
   * Creates a task that publishes nothing yet.
   *
   * @param options Store, own instance and log.
   */
  constructor(options: RecordPublisherOptions) {
    this.#options = options;
    this.#key = RECORD_PREFIX + options.instance;
  }

  /** Key of the own record. */
  get key(): string {
    return this.#key;
  }

  /**
   * Publishes a record in place of the present one.
   *
   * @param record The record.
   */
  publish(record: BackendRecord): void {
    this.#desired = encodeRecord(record);
    this.#wake?.();
  }

  /**
   * Takes in what the store holds under the own key.
   *
   * @param entry The entry, if any.
   * @returns The record that it holds, if any.
   */
  handleStoredEntry(entry: StoreEntry | undefined): BackendRecord | undefined {
    this.#stored = entry?.value;
    if (!isEqual(this.#stored, this.#desired)) this.#wake?.();
    return entry && decodeRecord(entry.value);
  }

  /**
   * Writes and renews until the signal aborts.
   *
   * @param signal Ends the task.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isReconciled = await this.#reconcile();
      await this.#sleepUntilWoken(
        isReconciled ? this.#timeToRenewalMs() : RETRY_DELAY_MS,
      );
    }
  }

  async #reconcile(): Promise<boolean> {
    if (this.#leaseId !== undefined && performance.now() >= this.#renewAtMs) {
      await this.#renewLease();
    }
    // Until the backend server has spoken, a former record stands.
    if (this.#desired === undefined) return true;
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
      // The lease may be the reason; a new one costs one call.
      this.#leaseId = undefined;
      return false;
    }
    this.#stored = record;
    log.info("record-written", { revision: committed.value.revision });
    return true;
  }

  #timeToRenewalMs(): number {
    if (this.#leaseId === undefined) return RENEW_PERIOD_MS;
    return Math.max(0, this.#renewAtMs - performance.now());
  }

  async #sleepUntilWoken(delayMs: number): Promise<void> {
    const wakeUp = new AbortController();
    this.#wake = () => wakeUp.abort();
    try {
      await sleep(delayMs, undefined, { signal: wakeUp.signal });
    } catch {
      // Woken early: there is something to write.
    }
  }
}

function isEqual(
  a: Uint8Array | undefined,
  b: Uint8Array | undefined,
): boolean {
  if (a === undefined || b === undefined) return a === b;
  return Buffer.compare(a, b) === 0;
}
