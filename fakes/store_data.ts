import { Buffer } from "node:buffer";

/** A key and its value with the revisions that etcd keeps. */
export interface FakeEntry {
  readonly key: string;
  readonly value: Buffer;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly lease: string;
}

/** A change of a key, as reported to watchers. */
export interface FakeEvent {
  readonly type: "PUT" | "DELETE";
  readonly entry: FakeEntry;
  readonly revision: number;
}

/** A comparison of a transaction in the format of the JSON gateway. */
export interface FakeCompare {
  key: string;
  target?: "VERSION" | "CREATE" | "MOD" | "VALUE" | "LEASE";
  result?: "EQUAL" | "GREATER" | "LESS" | "NOT_EQUAL";
  create_revision?: string;
  mod_revision?: string;
}

/** A write of a transaction in the format of the JSON gateway. */
export interface FakeWrite {
  request_put?: { key: string; value?: string; lease?: string };
  request_delete_range?: { key: string; range_end?: string };
}

/**
 * Holds the keys, leases and history of the store stand-in, without transport.
 *
 * @example
 * ```ts
 * const data = new StoreData();
 * data.revision; // 1
 * ```
 */
export class StoreData {
  readonly #entries = new Map<string, FakeEntry>();
  readonly #leases = new Map<string, { deadlineMs: number; ttlMs: number }>();
  readonly #watchers = new Set<(event: FakeEvent) => void>();
  readonly #events: FakeEvent[] = [];
  #revision = 1;
  #nextLease = 1;

  /** Revision of the latest write. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Returns the entries of a key or of a range.
   *
   * @param key Key or start of the range, in base64.
   * @param rangeEnd Exclusive end of the range, in base64.
   */
  range(key: string, rangeEnd?: string): FakeEntry[] {
    const start = decodeBase64(key);
    if (rangeEnd === undefined) {
      const entry = this.#entries.get(start);
      return entry === undefined ? [] : [entry];
    }
    const end = decodeBase64(rangeEnd);
    return [...this.#entries.values()]
      .filter((entry) => entry.key >= start && entry.key < end)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /**
   * Applies all writes under one revision if all comparisons hold.
   *
   * @param compare The comparisons.
   * @param writes The writes.
   * @param maxValueBytes Maximum size of a value, in bytes.
   * @returns Whether the comparisons held.
   * @throws Where a key is written twice, a value is too large or a lease does
   *   not exist.
   */
  transact(
    compare: readonly FakeCompare[],
    writes: readonly FakeWrite[],
    maxValueBytes: number,
  ): boolean {
    if (!compare.every((check) => this.#isSatisfied(check))) return false;
    checkWrites(writes, maxValueBytes);
    const revision = this.#revision + 1;
    const events = writes.flatMap((write) => this.#write(write, revision));
    if (events.length > 0) this.#revision = revision;
    this.#publish(events);
    return true;
  }

  /** Grants a lease for a time in s and returns its id. */
  grant(ttlS: number, nowMs: number): string {
    const id = String(this.#nextLease++);
    const ttlMs = ttlS * 1_000;
    this.#leases.set(id, { ttlMs, deadlineMs: nowMs + ttlMs });
    return id;
  }

  /** Renews a lease and returns its TTL in s, 0 if it has expired. */
  renew(id: string, nowMs: number): number {
    const lease = this.#leases.get(id);
    if (lease === undefined) return 0;
    lease.deadlineMs = nowMs + lease.ttlMs;
    return Math.ceil(lease.ttlMs / 1_000);
  }

  /** Revokes a lease and deletes its keys. */
  revoke(id: string): void {
    if (!this.#leases.delete(id)) return;
    const keys = [...this.#entries.values()]
      .filter((entry) => entry.lease === id)
      .map((entry) => Buffer.from(entry.key).toString("base64"));
    const writes = keys.map((key) => ({ request_delete_range: { key } }));
    this.transact([], writes, Infinity);
  }

  /** Revokes the leases whose TTL has passed. */
  expire(nowMs: number): void {
    for (const [id, lease] of this.#leases) {
      if (lease.deadlineMs <= nowMs) this.revoke(id);
    }
  }

  /** Revokes all leases, as if their TTL had passed. */
  expireAll(): void {
    for (const id of [...this.#leases.keys()]) this.revoke(id);
  }

  /**
   * Reports the past events of a key from a revision on, then new ones.
   *
   * @param key The key, in base64.
   * @param fromRevision Revision of the first event to report.
   * @param listener Called with each event.
   * @returns A function that stops the watch.
   */
  watch(
    key: string,
    fromRevision: number,
    listener: (event: FakeEvent) => void,
  ): () => void {
    const watchedKey = decodeBase64(key);
    const filteredListener = (event: FakeEvent) => {
      if (event.entry.key === watchedKey) listener(event);
    };
    for (const event of this.#events) {
      if (event.revision >= fromRevision) filteredListener(event);
    }
    this.#watchers.add(filteredListener);
    return () => this.#watchers.delete(filteredListener);
  }

  /** Returns a backup of all keys for {@linkcode restore}. */
  backup(): ReadonlyMap<string, FakeEntry> {
    return new Map(this.#entries);
  }

  /** Replaces all keys by those of a backup, like a mistaken restore. */
  restore(backup: ReadonlyMap<string, FakeEntry>): void {
    const revision = ++this.#revision;
    this.#entries.clear();
    const events: FakeEvent[] = [];
    for (const entry of backup.values()) {
      const restored = { ...entry, modRevision: revision };
      this.#entries.set(entry.key, restored);
      events.push({ type: "PUT", entry: restored, revision });
    }
    this.#publish(events);
  }

  #isSatisfied(compare: FakeCompare): boolean {
    const entry = this.#entries.get(decodeBase64(compare.key));
    const actual = compare.target === "CREATE"
      ? entry?.createRevision ?? 0
      : entry?.modRevision ?? 0;
    const expected = Number(
      (compare.target === "CREATE"
        ? compare.create_revision
        : compare.mod_revision) ?? 0,
    );
    switch (compare.result ?? "EQUAL") {
      case "EQUAL":
        return actual === expected;
      case "GREATER":
        return actual > expected;
      case "LESS":
        return actual < expected;
      case "NOT_EQUAL":
        return actual !== expected;
    }
  }

  #write(write: FakeWrite, revision: number): FakeEvent[] {
    const { request_put: put, request_delete_range: deleteRange } = write;
    if (put !== undefined) return [this.#put(put, revision)];
    if (deleteRange === undefined) return [];
    return this.range(deleteRange.key, deleteRange.range_end).map((entry) => {
      this.#entries.delete(entry.key);
      return { type: "DELETE", entry, revision };
    });
  }

  #put(put: NonNullable<FakeWrite["request_put"]>, revision: number) {
    const key = decodeBase64(put.key);
    const lease = put.lease ?? "0";
    if (lease !== "0" && !this.#leases.has(lease)) {
      throw new Error("requested lease not found");
    }
    const entry: FakeEntry = {
      key,
      value: Buffer.from(put.value ?? "", "base64"),
      createRevision: this.#entries.get(key)?.createRevision ?? revision,
      modRevision: revision,
      lease,
    };
    this.#entries.set(key, entry);
    return { type: "PUT", entry, revision } as const;
  }

  #publish(events: readonly FakeEvent[]): void {
    this.#events.push(...events);
    if (this.#events.length > 10_000) this.#events.splice(0, 5_000);
    for (const event of events) {
      for (const watcher of this.#watchers) watcher(event);
    }
  }
}

function decodeBase64(base64: string): string {
  return Buffer.from(base64, "base64").toString();
}

/** Throws for writes that the real store rejects. */
function checkWrites(
  writes: readonly FakeWrite[],
  maxValueBytes: number,
): void {
  const seen = new Set<string>();
  const deletedRanges = writes.flatMap((write) =>
    write.request_delete_range ?? []
  );
  for (const { request_put: put } of writes) {
    if (put === undefined) continue;
    const key = decodeBase64(put.key);
    const isDeleted = deletedRanges.some((range) =>
      range.range_end === undefined
        ? decodeBase64(range.key) === key
        : key >= decodeBase64(range.key) && key < decodeBase64(range.range_end)
    );
    if (seen.has(key) || isDeleted) {
      throw new Error("duplicate key given in txn request");
    }
    seen.add(key);
    if (Buffer.byteLength(put.value ?? "", "base64") > maxValueBytes) {
      throw new Error("request is too large");
    }
  }
}
