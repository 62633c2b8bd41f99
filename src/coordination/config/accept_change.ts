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

/** Attempts to learn whether an ambiguous write took effect. */
const RESOLVE_ATTEMPTS = 5;

/** A change to accept. */
export interface ConfigChange {
  readonly resources: ResourceSet;
  readonly author: string;
  readonly note: string;
  /** Unique for this attempt; tells an own write from another operator's. */
  readonly acceptanceId: string;
  readonly acceptedAtMs: number;
  /** Head that the change was prepared on; absent for the first version. */
  readonly expectedHead: StoredHead | undefined;
  /** Lowest version to accept, above all that the fleet holds. */
  readonly minVersion?: number;
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

function conflict(reason: string): StepError {
  return new StepError(
    FailureKind.Conflict,
    "accept-change",
    `Cannot accept the change: ${reason}`,
    { peer: "store" },
  );
}
