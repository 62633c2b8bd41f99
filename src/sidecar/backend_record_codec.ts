import { Buffer } from "node:buffer";
import { type BackendRecord, BackendState } from "../protocol/mesh.ts";

/** Prefix of the store keys of backend records. */
export const RECORD_PREFIX = "sesamepond/backends/";

const STATES = new Set<string>(Object.values(BackendState));

/**
 * Encodes a record for the store.
 *
 * @param record The record.
 * @returns Its bytes.
 *
 * @example
 * ```ts ignore
 * const bytes = encodeRecord(record);
 * ```
 */
export function encodeRecord(record: BackendRecord): Uint8Array {
  return Buffer.from(JSON.stringify(record));
}

/**
 * Decodes a record from the store.
 *
 * @param bytes Its bytes.
 * @returns The record; `undefined` if it is malformed.
 *
 * @example
 * ```ts
 * decodeRecord(new Uint8Array()); // undefined
 * ```
 */
export function decodeRecord(bytes: Uint8Array): BackendRecord | undefined {
  try {
    const record = JSON.parse(Buffer.from(bytes).toString());
    if (!isRecord(record)) return undefined;
    // Records of earlier versions have no link bandwidth.
    return { ...record, linkMbps: record.linkMbps ?? 0 };
  } catch {
    // Invalid JSON: the caller logs it with its key.
    return undefined;
  }
}

function isRecord(value: unknown): value is BackendRecord {
  if (typeof value !== "object" || value === null) return false;
  const record = value as Partial<Record<keyof BackendRecord, unknown>>;
  const texts = [
    record.id,
    record.instance,
    record.service,
    record.domain,
    record.peerAddress,
  ];
  return texts.every((text) => typeof text === "string" && text !== "") &&
    typeof record.slots === "number" && record.slots > 0 &&
    typeof record.bornAtUnixMs === "number" &&
    STATES.has(String(record.state));
}
