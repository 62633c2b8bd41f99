import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import {
  type ClaimBatch,
  ClaimBatchSchema,
  type ClaimEntry,
  type ClaimHead,
  ClaimHeadSchema,
} from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { FailureKind, StepError } from "../../protocol/step_error.ts";
import type {
  Store,
  StoreCondition,
  StoreEntry,
  StoreWrite,
} from "../../protocol/store.ts";

/** Number of batches that trigger a compaction into segments. */
const BATCHES_PER_COMPACTION = 64;
/** Maximum size of a segment, in bytes; the store limits a value to 1 MB. */
const MAX_SEGMENT_BYTES = 600 * 1024;

/** Outcome of an append. */
export type AppendOutcome =
  | { readonly kind: "durable" }
  /** Another writer committed first; its entries are in commit order. */
  | { readonly kind: "conflict"; readonly committed: readonly ClaimEntry[] };

/** Options of a {@linkcode ClaimLog}. */
export interface ClaimLogOptions {
  readonly partition: number;
  /** Unique name of this writer. */
  readonly writer: string;
}

/**
 * Durable log of a claim partition in the platform's store.
 *
 * Every write updates the log's head by compare-and-swap, so a writer that has
 * not read another writer's batch cannot commit. Any number of writers may
 * share a log: the lease of a partition only keeps their number small.
 *
 * @example
 * ```ts ignore
 * const log = new ClaimLog(store, { partition: 3, writer: selfId });
 * const entries = await log.load();
 * ```
 */
export class ClaimLog {
  readonly #store: Store;
  readonly #options: ClaimLogOptions;
  #head: ClaimHead = create(ClaimHeadSchema);
  /** Store revision of the head; 0 before the first commit. */
  #headRevision = 0;

  /**
   * Creates a log without reading it.
   *
   * @param store The platform's store.
   * @param options Partition and writer.
   */
  constructor(store: Store, options: ClaimLogOptions) {
    this.#store = store;
    this.#options = options;
  }

  /** Sequence number of the last known batch. */
  get sequence(): number {
    return this.#head.sequence;
  }

  /** Whether there are enough batches for a compaction. */
  get shouldCompact(): boolean {
    const { sequence, compactedSequence } = this.#head;
    return sequence - compactedSequence >= BATCHES_PER_COMPACTION;
  }

  /**
   * Reads all durable entries of the partition.
   *
   * @returns Entries in commit order.
   */
  load(): ResultAsync<ClaimEntry[], StepError> {
    return this.#store.list(this.#prefix()).map(({ entries }) => {
      const head = entries.find((entry) => entry.key === this.#headKey());
      this.#readHead(head);
      return entries
        .filter((entry) => entry !== head)
        .map(decodeBatch)
        .sort((a, b) => a.sequence - b.sequence)
        .flatMap((batch) => batch.entries);
    });
  }

  /**
   * Reads the entries that other writers committed since the last read.
   *
   * @returns The new entries in commit order; all entries of the partition if
   * the log was compacted in the meantime.
   */
  catchUp(): ResultAsync<readonly ClaimEntry[], StepError> {
    return this.#store.get(this.#headKey()).andThen((head) => {
      const isUnchanged = (head?.modRevision ?? 0) === this.#headRevision;
      if (isUnchanged) return okAsync([]);
      return this.#store.list(this.#logPrefix())
        .andThen(({ entries }) => this.#applyBatches(head, entries));
    });
  }

  /**
   * Appends entries as one batch.
   *
   * If the store's response is lost, the batch is written a second time. The
   * compare-and-swap of the head fails if the first write succeeded.
   *
   * @param entries The entries.
   * @returns The outcome. After an error, the caller must append the same
   * entries again.
   */
  append(
    entries: readonly ClaimEntry[],
  ): ResultAsync<AppendOutcome, StepError> {
    return this.#appendOnce(entries).orElse((error) =>
      error.kind === FailureKind.Ambiguous
        ? this.#appendOnce(entries)
        : errAsync(error)
    );
  }

  /**
   * Merges all batches into segments, which hold only the given entries.
   *
   * @param entries All entries that have not expired.
   * @returns Nothing, or a conflict if another writer committed first.
   */
  compact(entries: readonly ClaimEntry[]): ResultAsync<void, StepError> {
    const { sequence, segmentKeys } = this.#head;
    const puts = splitBySize(entries)
      .map((segment, index) => this.#putSegment(segment, index));
    const nextHead = create(ClaimHeadSchema, {
      sequence,
      compactedSequence: sequence,
      segmentKeys: puts.map((put) => put.key),
    });
    return this.#commit(nextHead, [
      { kind: "delete-prefix", prefix: this.#logPrefix() },
      ...segmentKeys.map((key) => ({ kind: "delete", key }) as const),
      ...puts,
    ]).andThen((read) =>
      read === undefined ? okAsync(undefined) : errAsync(this.#conflict())
    );
  }

  #appendOnce(
    entries: readonly ClaimEntry[],
  ): ResultAsync<AppendOutcome, StepError> {
    const sequence = this.sequence + 1;
    const key = this.#batchKey(sequence);
    const batch = create(ClaimBatchSchema, {
      writer: this.#options.writer,
      sequence,
      entries: [...entries],
    });
    const nextHead = create(ClaimHeadSchema, { ...this.#head, sequence });
    const value = toBinary(ClaimBatchSchema, batch);
    return this.#commit(nextHead, [{ kind: "put", key, value }])
      .andThen((read) => {
        if (read === undefined) return okAsync(DURABLE);
        const written = read.find((entry) => entry.key === key);
        if (written !== undefined && this.#isOwnBatch(written)) {
          this.#setHead(nextHead, written.modRevision);
          return okAsync(DURABLE);
        }
        const head = read.find((entry) => entry.key === this.#headKey());
        return this.#applyBatches(head, read.filter((entry) => entry !== head))
          .map((committed) => ({ kind: "conflict", committed }) as const);
      });
  }

  #isOwnBatch(entry: StoreEntry): boolean {
    return decodeBatch(entry).writer === this.#options.writer;
  }

  /** Reads the batches from the last known one up to the given head. */
  #applyBatches(
    head: StoreEntry | undefined,
    entries: readonly StoreEntry[],
  ): ResultAsync<readonly ClaimEntry[], StepError> {
    if (head === undefined) return this.load();
    const { sequence } = fromBinary(ClaimHeadSchema, head.value);
    const batches = entries.map(decodeBatch).filter((batch) =>
      batch.sequence > this.sequence && batch.sequence <= sequence
    );
    // A batch is missing: another writer compacted the log.
    if (batches.length !== sequence - this.sequence) return this.load();
    this.#readHead(head);
    return okAsync(batches.flatMap((batch) => batch.entries));
  }

  #readHead(head: StoreEntry | undefined): void {
    const nextHead = head === undefined
      ? create(ClaimHeadSchema)
      : fromBinary(ClaimHeadSchema, head.value);
    this.#setHead(nextHead, head?.modRevision ?? 0);
  }

  #putSegment(entries: ClaimEntry[], index: number) {
    const batch = create(ClaimBatchSchema, {
      writer: this.#options.writer,
      sequence: this.sequence,
      entries,
    });
    const name = `${padNumber(this.sequence)}-${padNumber(index)}`;
    return {
      kind: "put",
      key: `${this.#prefix()}seg/${name}`,
      value: toBinary(ClaimBatchSchema, batch),
    } as const;
  }

  /**
   * Commits writes together with a new head, if the head is unchanged.
   *
   * @returns `undefined` once committed; the log's entries if the head changed.
   */
  #commit(
    nextHead: ClaimHead,
    writes: readonly StoreWrite[],
  ): ResultAsync<readonly StoreEntry[] | undefined, StepError> {
    const key = this.#headKey();
    const condition: StoreCondition = this.#headRevision === 0
      ? { kind: "absent", key }
      : { kind: "unchanged", key, modRevision: this.#headRevision };
    const value = toBinary(ClaimHeadSchema, nextHead);
    return this.#store.commit({
      conditions: [condition],
      writes: [{ kind: "put", key, value }, ...writes],
      otherwise: [
        { kind: "key", key },
        { kind: "prefix", prefix: this.#logPrefix() },
      ],
    }).map(({ succeeded, revision, entries }) => {
      if (!succeeded) return entries;
      this.#setHead(nextHead, revision);
      return undefined;
    });
  }

  #setHead(head: ClaimHead, revision: number): void {
    this.#head = head;
    this.#headRevision = revision;
  }

  #conflict(): StepError {
    return new StepError(
      FailureKind.Conflict,
      "compact-claims",
      `Cannot compact claims of partition ${this.#options.partition}: another writer committed first`,
      { peer: "store" },
    );
  }

  #prefix(): string {
    return `claims/${this.#options.partition}/`;
  }

  #headKey(): string {
    return `${this.#prefix()}head`;
  }

  #logPrefix(): string {
    return `${this.#prefix()}log/`;
  }

  #batchKey(sequence: number): string {
    return `${this.#logPrefix()}${padNumber(sequence)}`;
  }
}

const DURABLE = { kind: "durable" } as const;

function decodeBatch(entry: StoreEntry): ClaimBatch {
  return fromBinary(ClaimBatchSchema, entry.value);
}

function padNumber(number: number): string {
  return String(number).padStart(10, "0");
}

function splitBySize(entries: readonly ClaimEntry[]): ClaimEntry[][] {
  const segments: ClaimEntry[][] = [];
  let sizeBytes = Infinity;
  for (const entry of entries) {
    const entryBytes = 96 + (entry.answer?.body.length ?? 0);
    if (sizeBytes + entryBytes > MAX_SEGMENT_BYTES) {
      segments.push([]);
      sizeBytes = 0;
    }
    segments.at(-1)!.push(entry);
    sizeBytes += entryBytes;
  }
  return segments;
}
