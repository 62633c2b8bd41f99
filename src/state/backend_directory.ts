import { type BackendRecord, BackendState } from "../protocol/mesh.ts";

/** A backend server of the fleet. */
export interface DirectoryEntry {
  readonly record: BackendRecord;
  /** Monotonic time in ms of the record's deletion; 0 while it exists. */
  readonly missingSinceMs: number;
}

/**
 * Lists the backend servers of the fleet, as their daemons record them.
 *
 * An entry is not removed as soon as its record is deleted: a record also
 * expires while the store is unavailable, and the daemon of a backend server is
 * the authority on its state. The entry is removed once the grace period has
 * passed without a new record.
 *
 * @example
 * ```ts ignore
 * directory.put(record);
 * directory.readyBackends("orders");
 * ```
 */
export class BackendDirectory {
  readonly #byInstance = new Map<string, DirectoryEntry>();
  readonly #byService = new Map<string, BackendRecord[]>();
  readonly #onPut: (record: BackendRecord) => void;

  /**
   * Creates an empty directory.
   *
   * @param onPut Called with each record that was added or replaced.
   */
  constructor(onPut: (record: BackendRecord) => void = () => {}) {
    this.#onPut = onPut;
  }

  /** All entries. */
  get entries(): IterableIterator<DirectoryEntry> {
    return this.#byInstance.values();
  }

  /** Number of entries. */
  get size(): number {
    return this.#byInstance.size;
  }

  /**
   * Adds or replaces a record, unless it is outdated.
   *
   * @param record The record.
   * @returns Whether the id or state of the backend server changed.
   */
  put(record: BackendRecord): boolean {
    const known = this.#byInstance.get(record.instance);
    if (known !== undefined && isOlder(record, known.record)) return false;
    this.#byInstance.set(record.instance, { record, missingSinceMs: 0 });
    this.#byService.clear();
    this.#onPut(record);
    return known?.record.id !== record.id ||
      known.record.state !== record.state;
  }

  /**
   * Marks an entry whose record was deleted from the store.
   *
   * @param instance Instance of the record.
   * @param nowMs Monotonic time in ms.
   */
  markMissing(instance: string, nowMs: number): void {
    const known = this.#byInstance.get(instance);
    if (known === undefined || known.missingSinceMs > 0) return;
    this.#byInstance.set(instance, { ...known, missingSinceMs: nowMs });
  }

  /**
   * Removes an entry.
   *
   * @param instance Instance of the record.
   */
  remove(instance: string): void {
    if (this.#byInstance.delete(instance)) this.#byService.clear();
  }

  /**
   * Returns the entry of an instance.
   *
   * @param instance Name of the instance.
   * @returns The entry, or `undefined` if there is none.
   */
  get(instance: string): DirectoryEntry | undefined {
    return this.#byInstance.get(instance);
  }

  /**
   * Returns the backend servers of a service that accept new requests.
   *
   * @param service Name of the service.
   * @returns The records of the backend servers.
   */
  readyBackends(service: string): readonly BackendRecord[] {
    let records = this.#byService.get(service);
    if (records === undefined) {
      records = [...this.#byInstance.values()]
        .map((entry) => entry.record)
        .filter((record) =>
          record.service === service && record.state === BackendState.Ready
        );
      this.#byService.set(service, records);
    }
    return records;
  }
}

/**
 * Returns whether a record of an instance is outdated. Records are ordered by
 * the start of the backend process; draining follows ready in one process.
 */
function isOlder(next: BackendRecord, known: BackendRecord): boolean {
  if (next.bornAtUnixMs !== known.bornAtUnixMs) {
    return next.bornAtUnixMs < known.bornAtUnixMs;
  }
  return next.id === known.id && known.state === BackendState.Draining &&
    next.state === BackendState.Ready;
}
