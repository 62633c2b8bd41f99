import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import {
  type ClaimBatch,
  ClaimBatchSchema,
  type ClaimEntry,
} from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { FailureKind, StepError } from "../../protocol/step_error.ts";
import type {
  Store,
  StoreCondition,
  StoreWrite,
} from "../../protocol/store.ts";

/** Batches after which they are merged into segments. */
const BATCHES_PER_COMPACTION = 64;
/** Largest segment in bytes; the store's values may take 1 MB. */
const MAX_SEGMENT_BYTES = 600 * 1024;

/** The holder's right to write a partition's log. */
export interface HolderEpoch {
  readonly partition: number;
  /** Key that is bound to the holder's lease. */
  readonly slotKey: string;
  /** Revision at which the holder took the slot: the fencing epoch. */
  readonly epoch: number;
}

/**
 * The durable log of a claim partition in the platform's store.
 *
 * Every write is conditional on the holder's slot being unchanged since it was
 * taken, so that a holder whose lease lapsed while it was paused can not write.
 *
 * @example
 * ```ts ignore
 * const log = new ClaimLog(store, { partition: 3, slotKey, epoch });
 * const entries = await log.load();
 * ```
 */
export class ClaimLog {
  readonly #store: Store;
  readonly #holder: HolderEpoch;
  #sequence = 0;
  #segmentKeys: string[] = [];

  /**
   * Creates a log for a holder.
   *
   * @param store The platform's store.
   * @param holder The holder's right.
   */
  constructor(store: Store, holder: HolderEpoch) {
    this.#store = store;
    this.#holder = holder;
  }

  /** Number of the next batch. */
  get nextSequence(): number {
    return this.#sequence + 1;
  }

  /** Whether enough batches gathered to merge them. */
  get wantsCompaction(): boolean {
    return this.#sequence > 0 && this.#sequence % BATCHES_PER_COMPACTION === 0;
  }

  /**
   * Reads all durable entries of the partition.
   *
   * @returns Entries in commit order.
   */
  load(): ResultAsync<ClaimEntry[], StepError> {
    return this.#store.list(this.#prefix()).map((range) => {
      const batches = range.entries.map((entry) =>
        fromBinary(ClaimBatchSchema, entry.value)
      );
      const sequences = batches.map((batch) => batch.sequence);
      this.#sequence = Math.max(0, ...sequences);
      this.#segmentKeys = range.entries.map((entry) => entry.key)
        .filter((key) => key.startsWith(`${this.#prefix()}seg/`));
      return batches
        .sort((a, b) => a.sequence - b.sequence)
        .flatMap((batch) => batch.entries);
    });
  }

  /**
   * Makes a batch durable.
   *
   * Where the answer is lost, the batch's key is read to learn whether it was
   * written.
   *
   * @param batch The batch, numbered {@linkcode nextSequence}.
   * @returns Nothing; a conflict where the holder's lease lapsed.
   */
  append(batch: ClaimBatch): ResultAsync<void, StepError> {
    const key = this.#batchKey(batch.sequence);
    return this.#commit([{ kind: "absent", key }], [{
      kind: "put",
      key,
      value: toBinary(ClaimBatchSchema, batch),
    }])
      .orElse((error) =>
        error.kind === FailureKind.Invalid
          ? errAsync(error)
          : this.#resolve(key, batch, error)
      )
      .map(() => {
        this.#sequence = batch.sequence;
      });
  }

  /**
   * Merges all batches into segments and drops what expired.
   *
   * @param entries All entries that are to be kept.
   * @returns Nothing; a conflict where the holder's lease lapsed.
   */
  compact(entries: readonly ClaimEntry[]): ResultAsync<void, StepError> {
    const puts = splitBySize(entries)
      .map((segment, index) => this.#putSegment(segment, index));
    const writes: StoreWrite[] = [
      { kind: "delete-prefix", prefix: `${this.#prefix()}log/` },
      ...this.#segmentKeys.map((key) => ({ kind: "delete", key }) as const),
      ...puts,
    ];
    return this.#commit([], writes).map(() => {
      this.#segmentKeys = puts.map((put) => put.key);
    });
  }

  #putSegment(entries: ClaimEntry[], index: number) {
    const batch = create(ClaimBatchSchema, {
      epoch: this.#holder.epoch,
      sequence: this.#sequence,
      entries,
    });
    const name = `${pad(this.#sequence)}-${pad(index)}`;
    return {
      kind: "put",
      key: `${this.#prefix()}seg/${name}`,
      value: toBinary(ClaimBatchSchema, batch),
    } as const;
  }

  #commit(
    conditions: readonly StoreCondition[],
    writes: readonly StoreWrite[],
  ): ResultAsync<void, StepError> {
    const fence: StoreCondition = {
      kind: "unchanged",
      key: this.#holder.slotKey,
      modRevision: this.#holder.epoch,
    };
    return this.#store.commit({ conditions: [fence, ...conditions], writes })
      .andThen(({ succeeded }) =>
        succeeded ? okAsync(undefined) : errAsync(this.#fenced())
      );
  }

  /** Learns whether a batch whose answer was lost is durable. */
  #resolve(
    key: string,
    batch: ClaimBatch,
    cause: StepError,
  ): ResultAsync<void, StepError> {
    return this.#store.get(key).andThen((entry) => {
      if (entry === undefined) return errAsync(cause);
      const stored = fromBinary(ClaimBatchSchema, entry.value);
      return stored.epoch === batch.epoch
        ? okAsync(undefined)
        : errAsync(this.#fenced());
    });
  }

  #fenced(): StepError {
    return new StepError(
      FailureKind.Conflict,
      "commit-claims",
      `Cannot commit claims of partition ${this.#holder.partition}: the lease lapsed`,
      { peer: "store" },
    );
  }

  #prefix(): string {
    return `claims/${this.#holder.partition}/`;
  }

  #batchKey(sequence: number): string {
    return `${this.#prefix()}log/${pad(sequence)}`;
  }
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
