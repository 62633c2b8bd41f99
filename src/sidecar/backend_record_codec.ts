import { Buffer } from "node:buffer";
import { isAddress } from "../protocol/address.ts";
import type { EndReport } from "../protocol/end_evidence.ts";
import { type BackendRecord, BackendState } from "../protocol/mesh.ts";

/** Prefix of the store keys of backend records. */
export const RECORD_PREFIX = "sesamepond/backends/";

/** Names go into headers and log lines. */
const NAME_PATTERN = /^[\x21-\x7e]{1,200}$/;
const MAX_SLOTS = 1_000_000;
const MAX_LINK_MBPS = 10_000_000;
/** Start of the year 2100. */
const MAX_UNIX_MS = 4_102_444_800_000;

/** Largest number of reported ends, and of suspects of each, that are read. */
const MAX_ENDS = 16;
const MAX_FINGERPRINTS = 64;
const FINGERPRINT_PATTERN = /^[\w-]{1,64}$/;

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
 * Decodes a record from the store. Another writer may have left anything under
 * the key; what names no backend server that can be used is malformed.
 *
 * @param bytes Its bytes.
 * @param key Key of the entry, which ends with the record's instance.
 * @returns The record; `undefined` if it is malformed.
 *
 * @example
 * ```ts
 * decodeRecord(new Uint8Array(), "sesamepond/backends/a-1"); // undefined
 * ```
 */
export function decodeRecord(
  bytes: Uint8Array,
  key: string,
): BackendRecord | undefined {
  try {
    const fields = JSON.parse(Buffer.from(bytes).toString());
    // Records of earlier versions have no link bandwidth.
    const record = { linkMbps: 0, ...fields };
    if (!isRecord(record) || key !== RECORD_PREFIX + record.instance) {
      return undefined;
    }
    const { id, instance, service, domain, peerAddress } = record;
    const { slots, state, bornAtUnixMs, linkMbps } = record;
    // Leaves out unknown fields, whose values may be deeply nested.
    const ends = readEnds(record.ends);
    return {
      id,
      instance,
      service,
      domain,
      peerAddress,
      slots,
      state,
      bornAtUnixMs,
      linkMbps,
      ...(ends.length === 0 ? {} : { ends }),
      ...readVersion(record),
    };
  } catch {
    // Invalid JSON: the caller logs it with its key.
    return undefined;
  }
}

function isRecord(
  record: Partial<Record<keyof BackendRecord, unknown>>,
): record is BackendRecord {
  const names = [record.id, record.instance, record.service, record.domain];
  return names.every((name) =>
    typeof name === "string" && NAME_PATTERN.test(name)
  ) &&
    typeof record.peerAddress === "string" && isAddress(record.peerAddress) &&
    isIntegerUpTo(record.slots, MAX_SLOTS) && record.slots > 0 &&
    isIntegerUpTo(record.bornAtUnixMs, MAX_UNIX_MS) &&
    typeof record.linkMbps === "number" && record.linkMbps >= 0 &&
    record.linkMbps <= MAX_LINK_MBPS && typeof record.state === "string" &&
    STATES.has(record.state);
}

function readVersion(
  { version, warmAtUnixMs, leaseEra }: BackendRecord,
): Pick<BackendRecord, "version" | "warmAtUnixMs" | "leaseEra"> {
  return {
    ...(typeof version === "string" && NAME_PATTERN.test(version)
      ? { version }
      : {}),
    ...(isIntegerUpTo(warmAtUnixMs, MAX_UNIX_MS) ? { warmAtUnixMs } : {}),
    ...(isIntegerUpTo(leaseEra, Number.MAX_SAFE_INTEGER) ? { leaseEra } : {}),
  };
}

/** Leaves out what cannot be read: the backend server can be used all the same. */
function readEnds(value: unknown): EndReport[] {
  if (!Array.isArray(value)) return [];
  return value.slice(-MAX_ENDS).flatMap((end: Partial<EndReport> | null) => {
    const { id, fingerprints, untilUnixMs } = end ?? {};
    const isReadable = typeof id === "string" && NAME_PATTERN.test(id) &&
      isIntegerUpTo(untilUnixMs, MAX_UNIX_MS) && Array.isArray(fingerprints) &&
      fingerprints.length <= MAX_FINGERPRINTS &&
      fingerprints.every((fingerprint) =>
        typeof fingerprint === "string" && FINGERPRINT_PATTERN.test(fingerprint)
      );
    return isReadable ? [{ id, fingerprints, untilUnixMs }] : [];
  });
}

function isIntegerUpTo(value: unknown, max: number): value is number {
  return typeof value === "number" && Number.isInteger(value) && value >= 0 &&
    value <= max;
}
