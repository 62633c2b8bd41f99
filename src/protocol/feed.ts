import { Buffer } from "node:buffer";
import { gunzipSync, gzipSync } from "node:zlib";
import type { StoreEntry } from "./store.ts";

/** Path at which a daemon hands on what it reads from the store. */
export const FEED_PATH = "/.sesamepond/feed";
/** Compression that costs least processor time. */
const COMPRESSION_LEVEL = 1;

/** A change of one key; without an entry where the key was deleted. */
export interface StoreChange {
  readonly key: string;
  readonly entry?: StoreEntry;
}

/** What a follower of the store has not seen yet. */
export interface ChangeBatch {
  readonly events: readonly StoreChange[];
  /** Revision to continue from. */
  readonly revision: number;
}

interface WireChange {
  readonly key: string;
  readonly value?: string;
  readonly modRevision?: number;
  readonly leaseId?: string;
}

/**
 * Formats the path by which a daemon asks another one for news.
 *
 * @param afterRevision Newest revision that the asking daemon has seen.
 * @param waitMs Longest time that the other daemon may wait for news.
 * @returns Path and query.
 *
 * @example
 * ```ts
 * formatFeedTarget(7, 700); // "/.sesamepond/feed?after=7&waitMs=700"
 * ```
 */
export function formatFeedTarget(
  afterRevision: number,
  waitMs: number,
): string {
  return `${FEED_PATH}?after=${afterRevision}&waitMs=${waitMs}`;
}

/**
 * Reads what another daemon asks for.
 *
 * @param target Path and query.
 * @returns The revision and the time; `undefined` where they cannot be read.
 *
 * @example
 * ```ts
 * parseFeedTarget("/.sesamepond/feed?after=7&waitMs=700");
 * ```
 */
export function parseFeedTarget(
  target: string,
):
  | { readonly afterRevision: number; readonly waitMs: number }
  | undefined {
  const query = new URLSearchParams(target.slice(FEED_PATH.length + 1));
  const afterRevision = Number(query.get("after") ?? NaN);
  const waitMs = Number(query.get("waitMs") ?? NaN);
  const isReadable = Number.isSafeInteger(afterRevision) && waitMs >= 0;
  return isReadable ? { afterRevision, waitMs } : undefined;
}

/**
 * Encodes news, compressed, as configurations are long and repeat themselves.
 *
 * @param news The news.
 * @returns The bytes.
 *
 * @example
 * ```ts
 * decodeFeed(encodeFeed({ events: [], revision: 7 })); // { events: [], revision: 7 }
 * ```
 */
export function encodeFeed(news: ChangeBatch): Buffer {
  const changes = news.events.map(({ key, entry }): WireChange => {
    if (entry === undefined) return { key };
    const { value, modRevision, leaseId } = entry;
    // One character a byte keeps every value whole and compresses well.
    const text = Buffer.from(value).toString("latin1");
    return { key, value: text, modRevision, leaseId };
  });
  const message = JSON.stringify({ revision: news.revision, changes });
  return gzipSync(message, { level: COMPRESSION_LEVEL });
}

/**
 * Decodes news.
 *
 * @param bytes The bytes.
 * @returns The news; `undefined` where they cannot be read.
 *
 * @example
 * ```ts
 * decodeFeed(new Uint8Array()); // undefined
 * ```
 */
export function decodeFeed(bytes: Uint8Array): ChangeBatch | undefined {
  try {
    const { revision, changes } = JSON.parse(gunzipSync(bytes).toString()) as {
      readonly revision: number;
      readonly changes: readonly WireChange[];
    };
    return { revision, events: changes.map(decodeChange) };
  } catch {
    // Cut short or not a feed: the caller logs it with its peer.
    return undefined;
  }
}

function decodeChange(change: WireChange): StoreChange {
  const { key, value, modRevision, leaseId } = change;
  if (value === undefined) return { key };
  return {
    key,
    entry: {
      key,
      value: Buffer.from(value, "latin1"),
      modRevision: modRevision ?? 0,
      leaseId: leaseId ?? "",
    },
  };
}
