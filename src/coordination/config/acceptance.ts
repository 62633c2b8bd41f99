import { err, errAsync, ok, okAsync, ResultAsync } from "neverthrow";
import { FailureKind, StepError } from "../../protocol/step_error.ts";
import type {
  Store,
  StoreEntry,
  StoreTransaction,
} from "../../protocol/store.ts";
import type { ResourceSet } from "../../state/resource_set.ts";
import {
  type Chunk,
  CHUNK_PREFIX,
  decodeChunks,
  encodeChunks,
  HEAD_KEY,
  type HeadRecord,
  HISTORY_PREFIX,
  parseHead,
} from "./head_record.ts";

/** Accepted versions whose records and bodies are kept for rollback. */
export const KEPT_VERSIONS = 50;
/** Attempts to learn whether an ambiguous write took effect. */
const RESOLVE_ATTEMPTS = 5;

/** A head record with the revision that guards the next change. */
export interface StoredHead {
  readonly head: HeadRecord;
  readonly modRevision: number;
}

/** A change to accept. */
export interface Acceptance {
  readonly resources: ResourceSet;
  readonly author: string;
  readonly note: string;
  /** Unique for this attempt; tells an own write from another operator's. */
  readonly acceptanceId: string;
  readonly acceptedAtMs: number;
  /** Head that the change was prepared on; absent for the first version. */
  readonly expected: StoredHead | undefined;
  /** Lowest version to accept, above all that the fleet holds. */
  readonly minVersion?: number;
}

/**
 * Reads the head record.
 *
 * @param store The platform's store.
 * @returns The head; `undefined` before the first acceptance.
 *
 * @example
 * ```ts ignore
 * const stored = await readHead(store);
 * ```
 */
export function readHead(
  store: Store,
): ResultAsync<StoredHead | undefined, StepError> {
  return store.get(HEAD_KEY).andThen((entry) =>
    entry === undefined ? ok(undefined) : toStoredHead(entry)
  );
}

/**
 * Reads the whole configuration that a head names.
 *
 * @param store The platform's store.
 * @param head The head record.
 * @returns The configuration, checked against the head's digest.
 *
 * @example
 * ```ts ignore
 * const resources = await readResources(store, head);
 * ```
 */
export function readResources(
  store: Store,
  head: HeadRecord,
): ResultAsync<ResourceSet, StepError> {
  return ResultAsync.combine(
    head.chunks.map((digest) => readChunk(store, digest)),
  ).andThen((chunks) => attempt(() => decodeChunks(head, chunks)));
}

/**
 * Reads the record of an accepted version.
 *
 * @param store The platform's store.
 * @param version The version.
 * @returns The record, or a conflict where it is not kept any more.
 *
 * @example
 * ```ts ignore
 * const record = await readVersion(store, 4);
 * ```
 */
export function readVersion(
  store: Store,
  version: number,
): ResultAsync<HeadRecord, StepError> {
  return store.get(historyKey(version)).andThen((entry) =>
    entry === undefined
      ? err(conflict(`version ${version} is not kept`))
      : attempt(() => parseHead(new TextDecoder().decode(entry.value)))
  );
}

/**
 * Reads the records of all versions that are kept.
 *
 * @param store The platform's store.
 * @returns Records, latest first.
 *
 * @example
 * ```ts ignore
 * const records = await readHistory(store);
 * ```
 */
export function readHistory(
  store: Store,
): ResultAsync<HeadRecord[], StepError> {
  return store.list(HISTORY_PREFIX).andThen((range) =>
    attempt(() =>
      range.entries
        .map((entry) => parseHead(new TextDecoder().decode(entry.value)))
        .sort((a, b) => b.version - a.version)
    )
  );
}

/**
 * Accepts a change: writes its bodies, then swaps the head.
 *
 * Bodies are addressed by content, so writing them again is harmless and an
 * interrupted attempt can simply be repeated. The head is swapped by one
 * compare-and-swap. Where the answer to it is lost, the head is read to learn
 * whether this attempt won; it is never written again blindly.
 *
 * @param store The platform's store.
 * @param change The change.
 * @returns The head in force, or a conflict that names the other author.
 *
 * @example
 * ```ts ignore
 * const accepted = await acceptChange(store, change);
 * ```
 */
export function acceptChange(
  store: Store,
  change: Acceptance,
): ResultAsync<HeadRecord, StepError> {
  const chunks = encodeChunks(change.resources);
  const head = buildHead(change, chunks);
  return writeChunks(store, chunks)
    .andThen(() => swapHead(store, head, change.expected));
}

/**
 * Deletes records and bodies of versions that are not kept any more.
 *
 * @param store The platform's store.
 * @returns Number of versions that were deleted.
 *
 * @example
 * ```ts ignore
 * await pruneHistory(store);
 * ```
 */
export function pruneHistory(store: Store): ResultAsync<number, StepError> {
  return readHistory(store).andThen((records) => {
    const kept = records.slice(0, KEPT_VERSIONS);
    const dropped = records.slice(KEPT_VERSIONS);
    if (dropped.length === 0) return okAsync(0);
    const inUse = new Set(kept.flatMap((record) => record.chunks));
    const writes = dropped.flatMap((record) => [
      historyKey(record.version),
      ...record.chunks.filter((digest) => !inUse.has(digest))
        .map((digest) => CHUNK_PREFIX + digest),
    ]).map((key) => ({ kind: "delete", key }) as const);
    return store.commit({ conditions: [], writes: [...dedupe(writes)] })
      .map(() => dropped.length);
  });
}

function* dedupe<T extends { key: string }>(writes: T[]): Iterable<T> {
  const seen = new Set<string>();
  for (const write of writes) {
    if (!seen.has(write.key)) yield write;
    seen.add(write.key);
  }
}

function buildHead(change: Acceptance, chunks: readonly Chunk[]): HeadRecord {
  const nextVersion = (change.expected?.head.version ?? 0) + 1;
  return {
    version: Math.max(nextVersion, change.minVersion ?? 0),
    digest: change.resources.digest,
    chunks: chunks.map((chunk) => chunk.digest),
    author: change.author,
    acceptanceId: change.acceptanceId,
    acceptedAtMs: change.acceptedAtMs,
    note: change.note,
  };
}

function historyKey(version: number): string {
  return HISTORY_PREFIX + String(version).padStart(10, "0");
}

function writeChunks(
  store: Store,
  chunks: readonly Chunk[],
): ResultAsync<unknown, StepError> {
  const writes = chunks.map(({ digest, bytes }) =>
    store.commit({
      conditions: [],
      writes: [{ kind: "put", key: CHUNK_PREFIX + digest, value: bytes }],
    })
  );
  return ResultAsync.combine(writes);
}

function swapHead(
  store: Store,
  head: HeadRecord,
  expected: StoredHead | undefined,
): ResultAsync<HeadRecord, StepError> {
  const text = JSON.stringify(head);
  const transaction: StoreTransaction = {
    conditions: [
      expected === undefined ? { kind: "absent", key: HEAD_KEY } : {
        kind: "unchanged",
        key: HEAD_KEY,
        modRevision: expected.modRevision,
      },
      // A body must not have been pruned between its write and the swap.
      ...head.chunks.map((digest) =>
        ({ kind: "present", key: CHUNK_PREFIX + digest }) as const
      ),
    ],
    writes: [
      { kind: "put", key: HEAD_KEY, value: text },
      { kind: "put", key: historyKey(head.version), value: text },
    ],
  };
  return store.commit(transaction)
    .andThen(({ succeeded }) =>
      succeeded ? okAsync(head) : resolveSwap(store, head)
    )
    .orElse((error) =>
      error.kind === FailureKind.Ambiguous
        ? settleSwap(store, { head, expected, attempts: RESOLVE_ATTEMPTS })
        : errAsync(error)
    );
}

/** Learns from the store which change took the version. */
function resolveSwap(
  store: Store,
  head: HeadRecord,
): ResultAsync<HeadRecord, StepError> {
  return readVersion(store, head.version)
    .orElse((error) =>
      error.kind === FailureKind.Conflict ? okAsync(undefined) : errAsync(error)
    )
    .andThen((record) => {
      if (record?.acceptanceId === head.acceptanceId) return ok(record);
      return err(conflict(
        record === undefined
          ? "the head changed meanwhile; nothing was accepted"
          : `version ${record.version} by ${record.author} came first (${record.note})`,
      ));
    });
}

interface AmbiguousSwap {
  readonly head: HeadRecord;
  readonly expected: StoredHead | undefined;
  readonly attempts: number;
}

/**
 * Settles a swap whose answer was lost.
 *
 * The write may still be on its way. Rewriting the expected head unchanged
 * moves its revision, so that a write that arrives later can not succeed.
 */
function settleSwap(
  store: Store,
  swap: AmbiguousSwap,
): ResultAsync<HeadRecord, StepError> {
  return fenceSwap(store, swap.expected)
    .andThen(() => resolveSwap(store, swap.head))
    .orElse((error) =>
      error.kind === FailureKind.Conflict || swap.attempts <= 1
        ? errAsync(error)
        : settleSwap(store, { ...swap, attempts: swap.attempts - 1 })
    );
}

function fenceSwap(
  store: Store,
  expected: StoredHead | undefined,
): ResultAsync<unknown, StepError> {
  if (expected === undefined) return okAsync(undefined);
  return store.commit({
    conditions: [{
      kind: "unchanged",
      key: HEAD_KEY,
      modRevision: expected.modRevision,
    }],
    writes: [{
      kind: "put",
      key: HEAD_KEY,
      value: JSON.stringify(expected.head),
    }],
  });
}

function readChunk(
  store: Store,
  digest: string,
): ResultAsync<Uint8Array, StepError> {
  return store.get(CHUNK_PREFIX + digest).andThen((entry) =>
    entry === undefined
      ? err(conflict(`body ${digest} is missing`))
      : ok(entry.value)
  );
}

function toStoredHead(entry: StoreEntry) {
  return attempt(() => ({
    head: parseHead(new TextDecoder().decode(entry.value)),
    modRevision: entry.modRevision,
  }));
}

function attempt<T>(run: () => T) {
  try {
    return ok<T, StepError>(run());
  } catch (error) {
    return err<T, StepError>(error as StepError);
  }
}

function conflict(reason: string): StepError {
  return new StepError(
    FailureKind.Conflict,
    "accept-change",
    `Cannot accept the change: ${reason}`,
    { peer: "store" },
  );
}
