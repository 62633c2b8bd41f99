import { err, ok, okAsync, type Result, ResultAsync } from "neverthrow";
import { FailureKind, StepError } from "../../protocol/step_error.ts";
import type { Store, StoreEntry } from "../../protocol/store.ts";
import type { ResourceSet } from "../../state/resource_set.ts";
import {
  CHUNK_PREFIX,
  decodeChunks,
  HEAD_KEY,
  type HeadRecord,
  HISTORY_PREFIX,
  parseHead,
} from "./head_record.ts";

/** Accepted versions whose records and bodies are kept for rollback. */
export const KEPT_VERSIONS = 50;

/** A head record with the revision that guards the next change. */
export interface StoredHead {
  readonly head: HeadRecord;
  readonly modRevision: number;
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
      ? err(missing(`version ${version} is not kept`))
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

/**
 * Returns the key of a version's record in the store.
 *
 * @param version The version.
 * @returns The key; keys sort as their versions do.
 *
 * @example
 * ```ts
 * historyKey(3); // "config/history/0000000003"
 * ```
 */
export function historyKey(version: number): string {
  return HISTORY_PREFIX + String(version).padStart(10, "0");
}

function readChunk(
  store: Store,
  digest: string,
): ResultAsync<Uint8Array, StepError> {
  return store.get(CHUNK_PREFIX + digest).andThen((entry) =>
    entry === undefined
      ? err(missing(`body ${digest} is missing`))
      : ok(entry.value)
  );
}

function toStoredHead(entry: StoreEntry) {
  return attempt(() => ({
    head: parseHead(new TextDecoder().decode(entry.value)),
    modRevision: entry.modRevision,
  }));
}

function attempt<T>(run: () => T): Result<T, StepError> {
  try {
    return ok(run());
  } catch (error) {
    return err(error as StepError);
  }
}

function missing(reason: string): StepError {
  return new StepError(
    FailureKind.Conflict,
    "read-version",
    `Cannot read the configuration: ${reason}`,
    { peer: "store" },
  );
}
