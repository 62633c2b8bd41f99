import { err, errAsync, ok, okAsync, ResultAsync } from "neverthrow";
import { FailureKind, StepError } from "../../protocol/step_error.ts";
import type { Store, StoreTransaction } from "../../protocol/store.ts";
import type { ResourceSet } from "../../state/resource_set.ts";
import {
  type Chunk,
  CHUNK_PREFIX,
  encodeChunks,
  HEAD_KEY,
  type HeadRecord,
} from "./head_record.ts";
import { historyKey, readVersion, type StoredHead } from "./version_records.ts";

/** Maximum attempts to find out whether an ambiguous write took effect. */
const RESOLVE_ATTEMPTS = 5;

/** A configuration change to accept. */
export interface ConfigChange {
  readonly resources: ResourceSet;
  readonly author: string;
  readonly note: string;
  /** Unique per attempt; distinguishes this write from another operator's. */
  readonly acceptanceId: string;
  /** Unix time in ms. */
  readonly acceptedAtMs: number;
  /** Head that the change is based on; `undefined` for the first version. */
  readonly expectedHead: StoredHead | undefined;
  /** Lowest version to assign; higher than any version in the fleet. */
  readonly minVersion?: number;
}

/**
 * Accepts a change: writes its chunks, then replaces the head.
 *
 * Chunks are addressed by content, so writing them again is harmless and an
 * interrupted attempt can be repeated. The head is replaced by one
 * compare-and-swap. If the store's response is lost, the store is read to find
 * out whether this attempt succeeded. The new head is never written again.
 *
 * @param store The platform's store.
 * @param change The change.
 * @returns The new head, or a conflict that names the other author.
 *
 * @example
 * ```ts ignore
 * const accepted = await acceptChange(store, change);
 * ```
 */
export function acceptChange(
  store: Store,
  change: ConfigChange,
): ResultAsync<HeadRecord, StepError> {
  const chunks = encodeChunks(change.resources);
  const head = buildHead(change, chunks);
  return writeChunks(store, chunks)
    .andThen(() => swapHead(store, head, change.expectedHead));
}

function buildHead(change: ConfigChange, chunks: readonly Chunk[]): HeadRecord {
  const nextVersion = (change.expectedHead?.head.version ?? 0) + 1;
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
  newHead: HeadRecord,
  expected: StoredHead | undefined,
): ResultAsync<HeadRecord, StepError> {
  const text = JSON.stringify(newHead);
  const transaction: StoreTransaction = {
    conditions: [
      expected === undefined ? { kind: "absent", key: HEAD_KEY } : {
        kind: "unchanged",
        key: HEAD_KEY,
        modRevision: expected.modRevision,
      },
      // Fails if a chunk was pruned between its write and the swap.
      ...newHead.chunks.map((digest) =>
        ({ kind: "present", key: CHUNK_PREFIX + digest }) as const
      ),
    ],
    writes: [
      { kind: "put", key: HEAD_KEY, value: text },
      { kind: "put", key: historyKey(newHead.version), value: text },
    ],
  };
  return store.commit(transaction)
    .andThen(({ succeeded }) =>
      succeeded ? okAsync(newHead) : verifySwap(store, newHead)
    )
    .orElse((error) =>
      error.kind === FailureKind.Ambiguous
        ? resolveAmbiguousSwap(store, {
          head: newHead,
          expected,
          attempts: RESOLVE_ATTEMPTS,
        })
        : errAsync(error)
    );
}

/** Reads the record of the new version; fails if another change created it. */
function verifySwap(
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
          ? "the head has changed; nothing was accepted"
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
 * Finds out whether a swap whose response was lost took effect.
 *
 * The write may still be in transit. Rewriting the expected head unchanged
 * raises its revision, so that a write that arrives later fails.
 */
function resolveAmbiguousSwap(
  store: Store,
  swap: AmbiguousSwap,
): ResultAsync<HeadRecord, StepError> {
  return blockLateSwap(store, swap.expected)
    .andThen(() => verifySwap(store, swap.head))
    .orElse((error) =>
      error.kind === FailureKind.Conflict || swap.attempts <= 1
        ? errAsync(error)
        : resolveAmbiguousSwap(store, { ...swap, attempts: swap.attempts - 1 })
    );
}

function blockLateSwap(
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

function conflict(reason: string): StepError {
  return new StepError(
    FailureKind.Conflict,
    "accept-change",
    `Cannot accept the change: ${reason}`,
    { peer: "store" },
  );
}
