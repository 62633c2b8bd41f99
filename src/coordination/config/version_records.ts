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

/** Number of accepted versions that are kept for rollback. */
export const KEPT_VERSIONS = 50;

/** A head record with its store revision, for a compare-and-swap. */
export interface StoredHead {
  readonly head: HeadRecord;
  readonly modRevision: number;
}

/**
 * Reads the head record.
 *
 * @param store The platform's store.
 * @returns The head; `undefined` before the first version.
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
 * Reads the whole configuration of a head record.
 *
 * @param store The platform's store.
 * @param head The head record.
 * @returns The configuration, whose digest is that of the head record.
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
  ).andThen((chunks) => toResult(() => decodeChunks(head, chunks)));
}

/**
 * Reads the record of an accepted version.
 *
 * @param store The platform's store.
 * @param version The version.
 * @returns The record, or a conflict if the version is no longer stored.
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
      ? err(missingError(`version ${version} is not stored`))
      : toResult(() => parseHead(new TextDecoder().decode(entry.value)))
  );
}

/**
 * Reads the records of all stored versions.
 *
 * @param store The platform's store.
 * @returns The records, latest version first.
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
    toResult(() =>
      range.entries
        .map((entry) => parseHead(new TextDecoder().decode(entry.value)))
        .sort((a, b) => b.version - a.version)
    )
  );
}

/**
 * Deletes the records and chunks of all but the latest
 * {@linkcode KEPT_VERSIONS} versions.
 *
 * @param store The platform's store.
 * @returns The number of deleted versions.
 *
 * @example
 * ```ts ignore
 * await pruneHistory(store);
 * ```
 */
export function pruneHistory(store: Store): ResultAsync<number, StepError> {
  return readHistory(store).andThen((records) => {
    const kept = records.slice(0, KEPT_VERSIONS);
    const expired = records.slice(KEPT_VERSIONS);
    if (expired.length === 0) return okAsync(0);
    const inUse = new Set(kept.flatMap((record) => record.chunks));
    const writes = expired.flatMap((record) => [
      historyKey(record.version),
      ...record.chunks.filter((digest) => !inUse.has(digest))
        .map((digest) => CHUNK_PREFIX + digest),
    ]).map((key) => ({ kind: "delete", key }) as const);
    return store.commit({ conditions: [], writes: [...dedupe(writes)] })
      .map(() => expired.length);
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
 * @returns The key; keys sort in version order.
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
      ? err(missingError(`chunk ${digest} is missing`))
      : ok(entry.value)
  );
}

function toStoredHead(entry: StoreEntry) {
  return toResult(() => ({
    head: parseHead(new TextDecoder().decode(entry.value)),
    modRevision: entry.modRevision,
  }));
}

function toResult<T>(run: () => T): Result<T, StepError> {
  try {
    return ok(run());
  } catch (error) {
    return err(error as StepError);
  }
}

function missingError(reason: string): StepError {
  return new StepError(
    FailureKind.Conflict,
    "read-version",
    `Cannot read the configuration: ${reason}`,
    { peer: "store" },
  );
}
