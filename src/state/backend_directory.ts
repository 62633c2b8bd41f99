import { type BackendRecord, BackendState } from "../protocol/mesh.ts";

/** A backend server that others may choose. */
export interface DirectoryEntry {
  readonly record: BackendRecord;
  /** Monotonic time at which its record vanished; 0 while it is there. */
  readonly missingSinceMs: number;
}

/**
 * The backend servers of the fleet, by the records of the daemons beside them.
 *
 * A record that vanished does not end its backend server at once: records also
 * lapse while the store is away, and the daemon beside a backend server is the
 * authority on it. The entry goes once the grace has passed without a sign of
 * life.
 *
 * @example
 * ```ts ignore
 * directory.put(record);
 * directory.entriesOf("orders");
 * ```
 */
export class BackendDirectory {
  readonly #byInstance = new Map<string, DirectoryEntry>();
  readonly #byService = new Map<string, BackendRecord[]>();

  /** All entries. */
  get entries(): IterableIterator<DirectoryEntry> {
    return this.#byInstance.values();
  }

  /** Number of entries. */
  get size(): number {
    return this.#byInstance.size;
  }

  /**
   * Takes in a record.
   *
   * @param record The record.
   * @returns Whether it differs from what was known.
   */
  put(record: BackendRecord): boolean {
    const known = this.#byInstance.get(record.instance);
    if (known !== undefined && isOlder(record, known.record)) return false;
    this.#byInstance.set(record.instance, { record, missingSinceMs: 0 });
    this.#byService.clear();
    return known?.record.id !== record.id ||
      known.record.state !== record.state;
  }

  /**
   * Notes that a record vanished from the store.
   *
   * @param instance Instance of the record.
   * @param nowMs Monotonic time.
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
   * @returns The entry, if any.
   */
  get(instance: string): DirectoryEntry | undefined {
    return this.#byInstance.get(instance);
  }

  /**
   * Returns the backend servers of a service that take work.
   *
   * @param service Name of the service.
   * @returns Their records.
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

/** Records of one instance are ordered by the life that they speak of. */
function isOlder(next: BackendRecord, known: BackendRecord): boolean {
  if (next.bornAtUnixMs !== known.bornAtUnixMs) {
    return next.bornAtUnixMs < known.bornAtUnixMs;
  }
  return next.id === known.id && known.state === BackendState.Draining &&
    next.state === BackendState.Ready;
}
