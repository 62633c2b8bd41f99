import { Buffer } from "node:buffer";

/** A value with its revisions, as etcd keeps them. */
export interface FakeEntry {
  readonly key: string;
  readonly value: Buffer;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly lease: string;
}

/** A change that watchers are told. */
export interface FakeEvent {
  readonly type: "PUT" | "DELETE";
  readonly entry: FakeEntry;
  readonly revision: number;
}

/** One comparison of a transaction, as the JSON gateway takes it. */
export interface FakeCompare {
  key: string;
  target?: "VERSION" | "CREATE" | "MOD" | "VALUE" | "LEASE";
  result?: "EQUAL" | "GREATER" | "LESS" | "NOT_EQUAL";
  create_revision?: string;
  mod_revision?: string;
}

/** One write of a transaction, as the JSON gateway takes it. */
export interface FakeWrite {
  request_put?: { key: string; value?: string; lease?: string };
  request_delete_range?: { key: string; range_end?: string };
}

/**
 * Keys, leases and history of the store stand-in, without any transport.
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

  /** Returns the entries of a key or of a range, both in base64. */
  range(key: string, rangeEnd?: string): FakeEntry[] {
    const start = decode(key);
    if (rangeEnd === undefined) {
      const entry = this.#entries.get(start);
      return entry === undefined ? [] : [entry];
    }
    const end = decode(rangeEnd);
    return [...this.#entries.values()]
      .filter((entry) => entry.key >= start && entry.key < end)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** Writes where all comparisons hold, under one revision. */
  transact(
    compare: readonly FakeCompare[],
    writes: readonly FakeWrite[],
    maxValueBytes: number,
  ): boolean {
    if (!compare.every((one) => this.#holds(one))) return false;
    checkWrites(writes, maxValueBytes);
    const revision = this.#revision + 1;
    const events = writes.flatMap((write) => this.#write(write, revision));
    if (events.length > 0) this.#revision = revision;
    this.#publish(events);
    return true;
  }

  /** Creates a lease and returns its id. */
  grant(ttlS: number, nowMs: number): string {
    const id = String(this.#nextLease++);
    const ttlMs = ttlS * 1_000;
    this.#leases.set(id, { ttlMs, deadlineMs: nowMs + ttlMs });
    return id;
  }

  /** Renews a lease and returns its life in s, 0 once lapsed. */
  renew(id: string, nowMs: number): number {
    const lease = this.#leases.get(id);
    if (lease === undefined) return 0;
    lease.deadlineMs = nowMs + lease.ttlMs;
    return Math.ceil(lease.ttlMs / 1_000);
  }

  /** Ends a lease and deletes its keys. */
  revoke(id: string): void {
    if (!this.#leases.delete(id)) return;
    const keys = [...this.#entries.values()]
      .filter((entry) => entry.lease === id)
      .map((entry) => Buffer.from(entry.key).toString("base64"));
    const writes = keys.map((key) => ({ request_delete_range: { key } }));
    this.transact([], writes, Infinity);
  }

  /** Revokes the leases that lapsed. */
  expire(nowMs: number): void {
    for (const [id, lease] of this.#leases) {
      if (lease.deadlineMs <= nowMs) this.revoke(id);
    }
  }

  /** Makes all leases lapse now. */
  expireAll(): void {
    for (const id of [...this.#leases.keys()]) this.revoke(id);
  }

  /** Reports past events from a revision on, then new ones. */
  watch(
    key: string,
    fromRevision: number,
    listener: (event: FakeEvent) => void,
  ): () => void {
    const name = decode(key);
    const only = (event: FakeEvent) => {
      if (event.entry.key === name) listener(event);
    };
    for (const event of this.#events) {
      if (event.revision >= fromRevision) only(event);
    }
    this.#watchers.add(only);
    return () => this.#watchers.delete(only);
  }

  /** Takes a backup that {@linkcode restore} goes back to. */
  backup(): ReadonlyMap<string, FakeEntry> {
    return new Map(this.#entries);
  }

  /** Replaces all keys by those of a backup, as an operator's mistake would. */
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

  #holds(compare: FakeCompare): boolean {
    const entry = this.#entries.get(decode(compare.key));
    const actual = compare.target === "CREATE"
      ? entry?.createRevision ?? 0
      : entry?.modRevision ?? 0;
    const wanted = Number(
      (compare.target === "CREATE"
        ? compare.create_revision
        : compare.mod_revision) ?? 0,
    );
    switch (compare.result ?? "EQUAL") {
      case "EQUAL":
        return actual === wanted;
      case "GREATER":
        return actual > wanted;
      case "LESS":
        return actual < wanted;
      case "NOT_EQUAL":
        return actual !== wanted;
    }
  }

  #write(write: FakeWrite, revision: number): FakeEvent[] {
    const { request_put: put, request_delete_range: remove } = write;
    if (put !== undefined) return [this.#put(put, revision)];
    if (remove === undefined) return [];
    return this.range(remove.key, remove.range_end).map((entry) => {
      this.#entries.delete(entry.key);
      return { type: "DELETE", entry, revision };
    });
  }

  #put(put: NonNullable<FakeWrite["request_put"]>, revision: number) {
    const key = decode(put.key);
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

function decode(base64: string): string {
  return Buffer.from(base64, "base64").toString();
}

/** Refuses what the real service refuses. */
function checkWrites(
  writes: readonly FakeWrite[],
  maxValueBytes: number,
): void {
  const seen = new Set<string>();
  const ranges = writes.flatMap((write) => write.request_delete_range ?? []);
  for (const { request_put: put } of writes) {
    if (put === undefined) continue;
    const key = decode(put.key);
    const isDeleted = ranges.some((range) =>
      range.range_end === undefined
        ? decode(range.key) === key
        : key >= decode(range.key) && key < decode(range.range_end)
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
