import { Buffer } from "node:buffer";
import type {
  StoreCondition,
  StoreEntry,
  StoreRange,
  StoreTransaction,
  StoreWrite,
} from "../../protocol/store.ts";

/** A key-value pair as the etcd v3 JSON gateway encodes it. */
export interface EtcdKeyValue {
  key: string;
  value?: string;
  mod_revision?: string;
  lease?: string;
}

/** The header of each response. */
export interface EtcdHeader {
  revision?: string;
}

/** Response to a range request. */
export interface EtcdRangeResponse {
  header?: EtcdHeader;
  kvs?: EtcdKeyValue[];
}

/** Response to a transaction. */
export interface EtcdTxnResponse {
  header?: EtcdHeader;
  succeeded?: boolean;
  responses?: { response_range?: EtcdRangeResponse }[];
}

/** One message of a watch stream. */
export interface EtcdWatchMessage {
  result?: {
    header?: EtcdHeader;
    created?: boolean;
    canceled?: boolean;
    compact_revision?: string;
    events?: { type?: "PUT" | "DELETE"; kv: EtcdKeyValue }[];
  };
  error?: { message?: string };
}

/**
 * Encodes a text or bytes for the gateway.
 *
 * @param value The text or bytes.
 * @returns Base64.
 *
 * @example
 * ```ts
 * toBase64("a"); // "YQ=="
 * ```
 */
export function toBase64(value: string | Uint8Array): string {
  return Buffer.from(value as Uint8Array).toString("base64");
}

/**
 * Returns the end of the range of all keys with a prefix.
 *
 * @param prefix The prefix, which must not end in the highest byte.
 * @returns The first key after the range.
 *
 * @example
 * ```ts
 * prefixEnd("a/"); // "a0"
 * ```
 */
export function prefixEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}

/**
 * Decodes a key-value pair.
 *
 * @param pair The encoded pair.
 * @returns The entry.
 *
 * @example
 * ```ts
 * toEntry({ key: "YQ==" }).key; // "a"
 * ```
 */
export function toEntry(pair: EtcdKeyValue): StoreEntry {
  return {
    key: Buffer.from(pair.key, "base64").toString(),
    value: Buffer.from(pair.value ?? "", "base64"),
    modRevision: Number(pair.mod_revision ?? 0),
    leaseId: pair.lease ?? "0",
  };
}

/**
 * Encodes a transaction.
 *
 * @param transaction Conditions and writes.
 * @returns The request body.
 *
 * @example
 * ```ts
 * encodeTransaction({ conditions: [], writes: [] }); // { compare: [], success: [], failure: [] }
 * ```
 */
export function encodeTransaction(transaction: StoreTransaction): unknown {
  return {
    compare: transaction.conditions.map(encodeCondition),
    success: transaction.writes.map(encodeWrite),
    failure: (transaction.otherwise ?? []).map((range) => ({
      request_range: encodeRange(range),
    })),
  };
}

/**
 * Encodes the keys of a range request.
 *
 * @param range One key, or all with a prefix.
 * @returns The request body.
 *
 * @example
 * ```ts
 * encodeRange({ kind: "key", key: "a" }); // { key: "YQ==" }
 * ```
 */
export function encodeRange(range: StoreRange): unknown {
  switch (range.kind) {
    case "key":
      return { key: toBase64(range.key) };
    case "prefix":
      return {
        key: toBase64(range.prefix),
        range_end: toBase64(prefixEnd(range.prefix)),
      };
  }
}

function encodeCondition(condition: StoreCondition): unknown {
  const key = toBase64(condition.key);
  switch (condition.kind) {
    case "absent":
      return { key, target: "CREATE", result: "EQUAL", create_revision: "0" };
    case "present":
      return { key, target: "CREATE", result: "GREATER", create_revision: "0" };
    case "unchanged":
      return {
        key,
        target: "MOD",
        result: "EQUAL",
        mod_revision: String(condition.modRevision),
      };
  }
}

function encodeWrite(write: StoreWrite): unknown {
  switch (write.kind) {
    case "put":
      return {
        request_put: {
          key: toBase64(write.key),
          value: toBase64(write.value),
          ...(write.leaseId === undefined ? {} : { lease: write.leaseId }),
        },
      };
    case "delete":
      return { request_delete_range: { key: toBase64(write.key) } };
    case "delete-prefix":
      return {
        request_delete_range: {
          key: toBase64(write.prefix),
          range_end: toBase64(prefixEnd(write.prefix)),
        },
      };
  }
}
