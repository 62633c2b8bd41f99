import { Buffer } from "node:buffer";
import { gunzipSync, gzipSync } from "node:zlib";
import * as z from "zod";
import { sha256Hex } from "../../protocol/canonical_json.ts";
import {
  FailureKind,
  messageOf,
  StepError,
} from "../../protocol/step_error.ts";
import { ResourceSet } from "../../state/resource_set.ts";

/** Key of the head record in the store. */
export const HEAD_KEY = "config/head";
/** Prefix of the content-addressed chunks in the store. */
export const CHUNK_PREFIX = "config/chunk/";
/** Prefix of the records of accepted versions in the store. */
export const HISTORY_PREFIX = "config/history/";
/** Maximum size of a chunk, in bytes; the store limits a value to 1 MB. */
export const MAX_CHUNK_BYTES = 700 * 1024;
/** Maximum size of a decompressed configuration, in bytes. */
export const MAX_CONFIG_BYTES = 64 * 1024 * 1024;

const HEAD_SCHEMA = z.strictObject({
  version: z.number().int().min(1),
  digest: z.string().regex(/^[0-9a-f]{64}$/),
  chunks: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1).max(64),
  author: z.string(),
  acceptanceId: z.string(),
  acceptedAtMs: z.number(),
  note: z.string(),
});

/** Record of an accepted version with the digests of its chunks. */
export type HeadRecord = z.infer<typeof HEAD_SCHEMA>;

/** A chunk of a compressed configuration. */
export interface Chunk {
  readonly digest: string;
  readonly bytes: Uint8Array;
}

/**
 * Parses a head record.
 *
 * @param text JSON text from the store.
 * @returns The record.
 * @throws {StepError} If the record is malformed.
 *
 * @example
 * ```ts ignore
 * const head = parseHead(entry.value.toString());
 * ```
 */
export function parseHead(text: string): HeadRecord {
  try {
    return HEAD_SCHEMA.parse(JSON.parse(text));
  } catch (error) {
    throw new StepError(
      FailureKind.Invalid,
      "parse-head",
      `Cannot read the head record: ${messageOf(error).slice(0, 200)}`,
    );
  }
}

/**
 * Compresses a configuration into chunks.
 *
 * @param resources The configuration.
 * @param maxChunkBytes Maximum size of a chunk, in bytes.
 * @returns The chunks in order, with their digests.
 *
 * @example
 * ```ts
 * encodeChunks(ResourceSet.empty()).length; // 1
 * ```
 */
export function encodeChunks(
  resources: ResourceSet,
  maxChunkBytes = MAX_CHUNK_BYTES,
): Chunk[] {
  const body = gzipSync(JSON.stringify(resources.entries()));
  const chunks: Chunk[] = [];
  for (let start = 0; start < body.length; start += maxChunkBytes) {
    const bytes = body.subarray(start, start + maxChunkBytes);
    chunks.push({ digest: sha256Hex(bytes), bytes });
  }
  return chunks;
}

/**
 * Decodes a configuration from its chunks and checks its digest.
 *
 * @param head The head record.
 * @param chunks The chunks, in the order of the head record.
 * @returns The configuration.
 * @throws {StepError} If the chunks are corrupted.
 *
 * @example
 * ```ts ignore
 * const resources = decodeChunks(head, chunks);
 * ```
 */
export function decodeChunks(
  head: HeadRecord,
  chunks: readonly Uint8Array[],
): ResourceSet {
  try {
    const text = gunzipSync(Buffer.concat(chunks), {
      maxOutputLength: MAX_CONFIG_BYTES,
    }).toString();
    const resources = ResourceSet.fromEntries(JSON.parse(text));
    if (resources.digest === head.digest) return resources;
    throw new Error(`digest is ${resources.digest}, expected ${head.digest}`);
  } catch (error) {
    throw new StepError(
      FailureKind.Invalid,
      "decode-config",
      `Cannot decode configuration ${head.version}: ${messageOf(error)}`,
    );
  }
}
