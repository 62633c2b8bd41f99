import type { ResultAsync } from "neverthrow";
import type { StepError } from "./step_error.ts";

/** A value in the platform's store. */
export interface StoreEntry {
  readonly key: string;
  readonly value: Uint8Array;
  /** Store revision of the last write to the key. */
  readonly modRevision: number;
  /** Lease to which the key is attached, or "0". */
  readonly leaseId: string;
}

/** A condition of a transaction. */
export type StoreCondition =
  | { readonly kind: "absent"; readonly key: string }
  | { readonly kind: "present"; readonly key: string }
  | {
    readonly kind: "unchanged";
    readonly key: string;
    readonly modRevision: number;
  };

/** A write of a transaction. */
export type StoreWrite =
  | {
    readonly kind: "put";
    readonly key: string;
    readonly value: Uint8Array | string;
    readonly leaseId?: string;
  }
  | { readonly kind: "delete"; readonly key: string }
  | { readonly kind: "delete-prefix"; readonly prefix: string };

/** An atomic compare-and-swap over several keys. */
export interface StoreTransaction {
  readonly conditions: readonly StoreCondition[];
  readonly writes: readonly StoreWrite[];
  /** Ranges to read, at one revision, if a condition fails. */
  readonly otherwise?: readonly StoreRange[];
}

/** A key, or all keys with a prefix, to read. */
export type StoreRange =
  | { readonly kind: "key"; readonly key: string }
  | { readonly kind: "prefix"; readonly prefix: string };

/** Result of a transaction. */
export interface TransactionResult {
  /** Whether all conditions held and the writes were made. */
  readonly succeeded: boolean;
  readonly revision: number;
  /** Entries read after a condition failed. */
  readonly entries: readonly StoreEntry[];
  /** Era of the store; absent if it names none. */
  readonly era?: number | undefined;
}

/** Entries of a range and the revision at which they were read. */
export interface RangeResult {
  readonly entries: readonly StoreEntry[];
  readonly revision: number;
  /** Era of the store; absent if it names none. */
  readonly era?: number | undefined;
}

/** Change of one key, as a watch reports it. */
export interface WatchEvent {
  readonly key: string;
  /** Absent where the key was deleted. */
  readonly entry?: StoreEntry;
  readonly revision: number;
}

/** Where a watch starts and how it ends. */
export interface WatchOptions {
  /** First revision to report; by default the next one. */
  fromRevision?: number;
  /** Ends the watch. */
  signal: AbortSignal;
}

/** The platform's key-value store. */
export interface Store {
  /** Reads one key. */
  get(key: string): ResultAsync<StoreEntry | undefined, StepError>;
  /** Reads all keys that start with a prefix. */
  list(prefix: string): ResultAsync<RangeResult, StepError>;
  /** Writes if every condition holds. */
  commit(
    transaction: StoreTransaction,
  ): ResultAsync<TransactionResult, StepError>;
  /** Creates a lease and returns its id. */
  grantLease(ttlS: number): ResultAsync<string, StepError>;
  /** Renews a lease; returns its remaining TTL in s, 0 if expired. */
  renewLease(leaseId: string): ResultAsync<number, StepError>;
  /** Revokes a lease and deletes the keys attached to it. */
  revokeLease(leaseId: string): ResultAsync<void, StepError>;
  /** Reports changes of a key until the signal aborts or the watch fails. */
  watch(key: string, options: WatchOptions): AsyncIterable<WatchEvent>;
}
