import { Buffer } from "node:buffer";
import { gunzipSync, gzipSync } from "node:zlib";
import type { StoreEntry } from "./store.ts";

/** Path at which a daemon serves the changes that it reads from the store. */
export const FEED_PATH = "/.sesamepond/feed";
/**
 * Header of a response with the age of the responding daemon's view, in ms. It
 * is not part of the body, which serves several polls.
 */
export const HEADER_VIEW_AGE = "x-sesamepond-view-age";
/** Header of a refusal by a daemon that reads the store and has lost it. */
export const HEADER_STORE_AWAY = "x-sesamepond-store-away";
/** The gzip level that uses the least CPU time. */
export const COMPRESSION_LEVEL = 1;

/** Longest wait that a poll may ask for, in ms. */
const MAX_WAIT_MS = 10_000;
/** Largest decompressed batch, in bytes. */
const MAX_FEED_BYTES = 32 * 1024 * 1024;

/** A change of one key in the store. */
export interface StoreChange {
  readonly key: string;
  /** Absent where the key was deleted. */
  readonly entry?: StoreEntry;
}

/** Store changes after a revision, in order. */
export interface ChangeBatch {
  readonly events: readonly StoreChange[];
  /** Whether the events are all entries of the store; others are deleted. */
  readonly isComplete: boolean;
  /** Revision after which the next batch starts. */
  readonly revision: number;
  /** Era of the store; absent if it names none. */
  readonly era?: number | undefined;
}

/** What a daemon that reads the store answers to a poll. */
export type FeedAnswer =
  | { readonly kind: "changes"; readonly batch: ChangeBatch }
  | { readonly kind: "away" }
  | { readonly kind: "refused" };

/** Result of polling a daemon for store changes. */
export type FeedPollResult =
  | {
    readonly kind: "changes";
    readonly batch: ChangeBatch;
    /** Age of the daemon's view when it responded, in ms. */
    readonly viewAgeMs: number;
  }
  /** The daemon reads the store, and its view is too old. */
  | { readonly kind: "away" }
  /** The daemon does not read the store. */
  | { readonly kind: "refused" }
  /** The daemon did not respond. */
  | { readonly kind: "failed" };

interface WireChange {
  readonly key: string;
  readonly value?: string;
  readonly modRevision?: number;
  readonly leaseId?: string;
}

/** A long poll for store changes. */
export interface FeedPoll {
  /** Newest revision that the polling daemon has seen. */
  readonly afterRevision: number;
  /** Longest time that the polled daemon waits for a change, in ms. */
  readonly waitMs: number;
  /**
   * Whether a daemon that has lost the store holds the poll too, until it has
   * regained it.
   */
  readonly waitsForStore: boolean;
  /** Era of that revision; absent if the store names none. */
  readonly era?: number | undefined;
}

/**
 * Formats the target of a long poll for store changes.
 *
 * @param poll The poll.
 * @returns Path and query.
 *
 * @example
 * ```ts
 * formatFeedTarget({ afterRevision: 7, waitMs: 700, waitsForStore: false });
 * // "/.sesamepond/feed?after=7&waitMs=700"
 * ```
 */
export function formatFeedTarget(poll: FeedPoll): string {
  const { afterRevision, waitMs, waitsForStore, era } = poll;
  const target = `${FEED_PATH}?after=${afterRevision}&waitMs=${waitMs}` +
    (waitsForStore ? "&waitsForStore=1" : "");
  return era === undefined ? target : `${target}&era=${era}`;
}

/**
 * Parses the target of a long poll for store changes.
 *
 * @param target Path and query.
 * @returns The poll; `undefined` where a part is missing or malformed.
 *
 * @example
 * ```ts
 * parseFeedTarget("/.sesamepond/feed?after=7&waitMs=700");
 * ```
 */
export function parseFeedTarget(target: string): FeedPoll | undefined {
  const query = new URLSearchParams(target.slice(FEED_PATH.length + 1));
  const afterRevision = Number(query.get("after") ?? NaN);
  const waitMs = Number(query.get("waitMs") ?? NaN);
  const isValid = Number.isSafeInteger(afterRevision) && waitMs >= 0 &&
    waitMs <= MAX_WAIT_MS;
  const waitsForStore = query.get("waitsForStore") === "1";
  if (!isValid) return undefined;
  const era = query.get("era");
  const poll = { afterRevision, waitMs, waitsForStore };
  return era === null ? poll : { ...poll, era: readEra(Number(era)) };
}

/**
 * Reads the age of the responding daemon's view.
 *
 * @param headers Alternating names and values.
 * @returns The age, in ms; 0 for a daemon of an earlier version, which does not
 * report it.
 *
 * @example
 * ```ts
 * readViewAgeMs(["x-sesamepond-view-age", "400"]); // 400
 * ```
 */
export function readViewAgeMs(headers: readonly string[]): number {
  const index = headers.findIndex((name, position) =>
    position % 2 === 0 && name.toLowerCase() === HEADER_VIEW_AGE
  );
  const ageMs = Number(headers[index + 1]);
  return index >= 0 && ageMs >= 0 ? ageMs : 0;
}

/**
 * Returns whether the refusing daemon has lost the store.
 *
 * @param headers Alternating names and values.
 * @returns Whether it says so.
 *
 * @example
 * ```ts
 * isStoreAway(["x-sesamepond-store-away", "1"]); // true
 * ```
 */
export function isStoreAway(headers: readonly string[]): boolean {
  return headers.some((name, position) =>
    position % 2 === 0 && name.toLowerCase() === HEADER_STORE_AWAY
  );
}

/**
 * Encodes a batch, compressed, as configurations are long and repetitive.
 *
 * @param batch The batch.
 * @returns The bytes.
 *
 * @example
 * ```ts
 * encodeFeed({ events: [], revision: 7, isComplete: false });
 * ```
 */
export function encodeFeed(batch: ChangeBatch): Buffer {
  const changes = batch.events.map(({ key, entry }): WireChange => {
    if (entry === undefined) return { key };
    const { value, modRevision, leaseId } = entry;
    // Latin-1 maps each byte to one character, which is lossless for any value
    // and compresses well.
    const text = Buffer.from(value).toString("latin1");
    return { key, value: text, modRevision, leaseId };
  });
  const { revision, isComplete, era } = batch;
  // Left out if undefined; daemons of earlier versions ignore it.
  const message = JSON.stringify({ revision, isComplete, changes, era });
  return gzipSync(message, { level: COMPRESSION_LEVEL });
}

/**
 * Decodes a batch.
 *
 * @param bytes The bytes.
 * @returns The batch; `undefined` where the bytes are truncated or malformed.
 *
 * @example
 * ```ts
 * decodeFeed(new Uint8Array()); // undefined
 * ```
 */
export function decodeFeed(bytes: Uint8Array): ChangeBatch | undefined {
  try {
    const text = gunzipSync(bytes, { maxOutputLength: MAX_FEED_BYTES })
      .toString();
    const { revision, changes, isComplete, era } = JSON.parse(text) as {
      readonly era?: unknown;
      readonly revision: number;
      readonly isComplete?: unknown;
      readonly changes: readonly WireChange[];
    };
    if (!Number.isSafeInteger(revision)) return undefined;
    return {
      revision,
      isComplete: isComplete === true,
      events: changes.map(decodeChange),
      ...(era === undefined ? {} : { era: readEra(era) }),
    };
  } catch {
    // Truncated or not a batch: the caller logs it with the peer's address.
    return undefined;
  }
}

/**
 * Reads the era of the store.
 *
 * @param value The value.
 * @returns The era; `undefined` if it is not a whole number.
 *
 * @example
 * ```ts
 * readEra(3); // 3
 * ```
 */
export function readEra(value: unknown): number | undefined {
  const isEra = typeof value === "number" && Number.isSafeInteger(value) &&
    value >= 0;
  return isEra ? value : undefined;
}

function decodeChange(change: WireChange): StoreChange {
  const { key, value, modRevision, leaseId } = change;
  if (typeof key !== "string") throw new TypeError("key is not a string");
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
