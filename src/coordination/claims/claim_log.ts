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

/** Batches after which they are merged into segments. */
const BATCHES_PER_COMPACTION = 64;
/** Largest segment in bytes; the store's values may take 1 MB. */
const MAX_SEGMENT_BYTES = 600 * 1024;

/** What became of a batch. */
export type AppendOutcome =
  | { readonly kind: "durable" }
  /** Another writer committed first; its entries are in commit order. */
  | { readonly kind: "conflict"; readonly committed: readonly ClaimEntry[] };

/** Whose log a {@linkcode ClaimLog} is. */
export interface ClaimLogOptions {
  readonly partition: number;
  /** Names this process; no two have the same name. */
  readonly writer: string;
}

/**
 * The durable log of a claim partition in the platform's store.
 *
 * Every write moves the log's head by compare-and-swap, so a writer that does
 * not know of another's batch cannot commit. Any number of writers may share a
 * log: the lease of a partition only keeps their number small.
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
   * Creates a log that has read nothing yet.
   *
   * @param store The platform's store.
   * @param options Partition and writer.
   */
  constructor(store: Store, options: ClaimLogOptions) {
    this.#store = store;
    this.#options = options;
  }

  /** Number of the last batch that is known. */
  get sequence(): number {
    return this.#head.sequence;
  }

  /** Whether enough batches gathered to merge them. */
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
      this.#follow(head);
      return entries
        .filter((entry) => entry !== head)
        .map(toBatch)
        .sort((a, b) => a.sequence - b.sequence)
        .flatMap((batch) => batch.entries);
    });
  }

  /**
   * Reads what other writers committed since the last look.
   *
   * @returns Their entries in commit order; all of the partition where some
   * were merged into segments meanwhile.
   */
  catchUp(): ResultAsync<readonly ClaimEntry[], StepError> {
    return this.#store.get(this.#headKey()).andThen((head) => {
      const isSame = (head?.modRevision ?? 0) === this.#headRevision;
      if (isSame) return okAsync([]);
      return this.#store.list(this.#logPrefix())
        .andThen(({ entries }) => this.#takeIn(head, entries));
    });
  }

  /**
   * Makes entries durable as one batch.
   *
   * Where the answer is lost the same batch is written once more: the head
   * tells whether it was written before.
   *
   * @param entries The entries.
   * @returns What became of it; after an error the same entries have to be
   * given again.
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
   * Merges all batches into segments and drops what expired.
   *
   * @param entries All entries that are to be kept.
   * @returns Nothing; a conflict where another writer committed first.
   */
  compact(entries: readonly ClaimEntry[]): ResultAsync<void, StepError> {
    const { sequence, segmentKeys } = this.#head;
    const puts = splitBySize(entries)
      .map((segment, index) => this.#putSegment(segment, index));
    const next = create(ClaimHeadSchema, {
      sequence,
      compactedSequence: sequence,
      segmentKeys: puts.map((put) => put.key),
    });
    return this.#commit(next, [
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
    const next = create(ClaimHeadSchema, { ...this.#head, sequence });
    const value = toBinary(ClaimBatchSchema, batch);
    return this.#commit(next, [{ kind: "put", key, value }])
      .andThen((read) => {
        if (read === undefined) return okAsync(DURABLE);
        const own = read.find((entry) => entry.key === key);
        if (own !== undefined && this.#isOwn(own)) {
          this.#move(next, own.modRevision);
          return okAsync(DURABLE);
        }
        const head = read.find((entry) => entry.key === this.#headKey());
        return this.#takeIn(head, read.filter((entry) => entry !== head))
          .map((committed) => ({ kind: "conflict", committed }) as const);
      });
  }

  #isOwn(entry: StoreEntry): boolean {
    return toBatch(entry).writer === this.#options.writer;
  }

  /** Takes in the batches after the last known one, up to a head. */
  #takeIn(
    head: StoreEntry | undefined,
    entries: readonly StoreEntry[],
  ): ResultAsync<readonly ClaimEntry[], StepError> {
    if (head === undefined) return this.load();
    const { sequence } = fromBinary(ClaimHeadSchema, head.value);
    const batches = entries.map(toBatch).filter((one) =>
      one.sequence > this.sequence && one.sequence <= sequence
    );
    // Another writer merged some of them into segments.
    if (batches.length !== sequence - this.sequence) return this.load();
    this.#follow(head);
    return okAsync(batches.flatMap((batch) => batch.entries));
  }

  #follow(head: StoreEntry | undefined): void {
    const next = head === undefined
      ? create(ClaimHeadSchema)
      : fromBinary(ClaimHeadSchema, head.value);
    this.#move(next, head?.modRevision ?? 0);
  }

  #putSegment(entries: ClaimEntry[], index: number) {
    const batch = create(ClaimBatchSchema, {
      writer: this.#options.writer,
      sequence: this.sequence,
      entries,
    });
    const name = `${pad(this.sequence)}-${pad(index)}`;
    return {
      kind: "put",
      key: `${this.#prefix()}seg/${name}`,
      value: toBinary(ClaimBatchSchema, batch),
    } as const;
  }

  /**
   * Writes where nobody moved the head since it was read.
   *
   * @returns What is in the log instead, where somebody did.
   */
  #commit(
    next: ClaimHead,
    writes: readonly StoreWrite[],
  ): ResultAsync<readonly StoreEntry[] | undefined, StepError> {
    const key = this.#headKey();
    const condition: StoreCondition = this.#headRevision === 0
      ? { kind: "absent", key }
      : { kind: "unchanged", key, modRevision: this.#headRevision };
    const value = toBinary(ClaimHeadSchema, next);
    return this.#store.commit({
      conditions: [condition],
      writes: [{ kind: "put", key, value }, ...writes],
      otherwise: [
        { kind: "key", key },
        { kind: "prefix", prefix: this.#logPrefix() },
      ],
    }).map(({ succeeded, revision, entries }) => {
      if (!succeeded) return entries;
      this.#move(next, revision);
      return undefined;
    });
  }

  #move(head: ClaimHead, revision: number): void {
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
    return `${this.#logPrefix()}${pad(sequence)}`;
  }
}

const DURABLE = { kind: "durable" } as const;

function toBatch(entry: StoreEntry): ClaimBatch {
  return fromBinary(ClaimBatchSchema, entry.value);
}

function pad(number: number): string {
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
