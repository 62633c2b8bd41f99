import { Buffer } from "node:buffer";
import { create, toBinary } from "@bufbuild/protobuf";
import {
  type ClaimEntry,
  ClaimEntrySchema,
  type ClaimRequest,
  type ClaimResponse,
  ClaimResponseSchema,
  ClaimState,
  type CompleteClaimRequest,
} from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";

import { Reason } from "../../protocol/outcome.ts";
import { isKeyExpired } from "./idempotency_key.ts";

/** Maximum number of entries in one group commit. */
export const MAX_BATCH_ENTRIES = 2_000;
/** Maximum size of a group commit, in bytes. */
export const MAX_BATCH_BYTES = 512 * 1024;
/** Maximum number of claims in a partition. */
export const MAX_CLAIMS = 50_000;

/** Response to a claim, sent at once or after the next commit. */
export type ClaimDecision =
  | { readonly kind: "answer"; readonly response: ClaimResponse }
  | { readonly kind: "await-commit"; readonly response: ClaimResponse };

/**
 * In-memory state of one claim partition at a holder.
 *
 * A claim is granted only once it is durable. Entries that arrive during a
 * commit are written together by the next one. Entries that another holder
 * committed first take precedence; conflicting local entries are dropped.
 *
 * @example
 * ```ts
 * const partition = new ClaimPartition(900_000);
 * partition.size; // 0
 * ```
 */
export class ClaimPartition {
  readonly #windowMs: number;
  readonly #entries = new Map<string, ClaimEntry>();
  #pending: ClaimEntry[] = [];
  #pendingBytes = 0;

  /**
   * Creates an empty partition.
   *
   * @param windowMs Time for which a claim is kept, in ms.
   */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Number of claims in the partition. */
  get size(): number {
    return this.#entries.size;
  }

  /** All claims in the partition, oldest first. */
  get entries(): ClaimEntry[] {
    return [...this.#entries.values()];
  }

  /**
   * Loads durable entries, which a new holder read from the log.
   *
   * @param entries Entries in commit order.
   */
  restore(entries: readonly ClaimEntry[]): void {
    for (const entry of entries) this.#put(entry);
  }

  /**
   * Decides on a claim.
   *
   * @param request The claim.
   * @param nowMs Unix time in ms.
   * @returns The response, and whether it must wait for the next commit.
   */
  claim(request: ClaimRequest, nowMs: number): ClaimDecision {
    this.#removeExpired(nowMs);
    const known = this.#entries.get(toMapKey(request.key));
    if (known !== undefined) return answerFromEntry(known, request);
    if (isKeyExpired(request.issuedAtMs, this.#windowMs, nowMs)) {
      return answer(ClaimState.REFUSED, { reason: Reason.KeyExpired });
    }
    if (this.#entries.size >= MAX_CLAIMS) {
      return answer(ClaimState.REFUSED, { reason: Reason.ClaimUnavailable });
    }
    const entry = create(ClaimEntrySchema, {
      key: request.key,
      requestId: request.requestId,
      content: request.content,
      expiresAtMs: nowMs + this.#windowMs,
    });
    this.#append(entry);
    return {
      kind: "await-commit",
      response: create(ClaimResponseSchema, { state: ClaimState.GRANTED }),
    };
  }

  /**
   * Records the end of a claimed request.
   *
   * @param request Response or release by the claim's owner.
   * @returns Whether the claim belongs to the request.
   */
  complete(request: CompleteClaimRequest): boolean {
    const known = this.#entries.get(toMapKey(request.key));
    if (known?.requestId !== request.requestId) return false;
    const entry = create(ClaimEntrySchema, {
      key: known.key,
      requestId: known.requestId,
      content: known.content,
      expiresAtMs: known.expiresAtMs,
      answer: request.answer,
      released: request.released,
    });
    this.#append(entry);
    return true;
  }

  /**
   * Removes and returns the entries of the next group commit.
   *
   * @returns The entries.
   */
  takeBatch(): ClaimEntry[] {
    const entries = this.#pending;
    this.#pending = [];
    this.#pendingBytes = 0;
    return entries;
  }

  /**
   * Applies entries that another holder committed before a local batch.
   *
   * @param committed Entries of the other holder, in commit order.
   * @param batch The local batch, which is not durable.
   * @returns The entries of the local batch that are still valid.
   */
  rebase(
    committed: readonly ClaimEntry[],
    batch: readonly ClaimEntry[],
  ): ClaimEntry[] {
    const committedKeys = new Set(
      committed.map((entry) => toMapKey(entry.key)),
    );
    // Known entries are kept, because the store may have been restored from an
    // old backup that lacks them.
    for (const entry of committed) this.#put(entry);
    const reapply = (entry: ClaimEntry) =>
      !committedKeys.has(toMapKey(entry.key)) || this.#reapply(entry);
    const remaining = batch.filter(reapply);
    const pending = this.#pending.filter(reapply);
    this.#pending = [];
    this.#pendingBytes = 0;
    for (const entry of pending) this.#enqueue(entry);
    return remaining;
  }

  /**
   * Returns the response to a claim after its commit.
   *
   * @param request The claim.
   * @returns A grant, unless another holder committed an entry first.
   */
  answerAfterCommit(request: ClaimRequest): ClaimResponse {
    const known = this.#entries.get(toMapKey(request.key));
    return known === undefined
      ? create(ClaimResponseSchema, { state: ClaimState.UNKNOWN })
      : answerFromEntry(known, request).response;
  }

  /** Whether the next batch is full. */
  get isBatchFull(): boolean {
    return this.#pending.length >= MAX_BATCH_ENTRIES ||
      this.#pendingBytes >= MAX_BATCH_BYTES;
  }

  #append(entry: ClaimEntry): void {
    this.#put(entry);
    this.#enqueue(entry);
  }

  #enqueue(entry: ClaimEntry): void {
    this.#pending.push(entry);
    this.#pendingBytes += toBinary(ClaimEntrySchema, entry).length;
  }

  /** Puts a local entry again if it is still valid; returns whether it is. */
  #reapply(entry: ClaimEntry): boolean {
    const known = this.#entries.get(toMapKey(entry.key));
    const isClaim = entry.answer === undefined && !entry.released;
    const isValid = isClaim
      ? known === undefined
      : known?.requestId === entry.requestId;
    if (isValid) this.#put(entry);
    return isValid;
  }

  #put(entry: ClaimEntry): void {
    const key = toMapKey(entry.key);
    if (entry.released) this.#entries.delete(key);
    else this.#entries.set(key, entry);
  }

  /** Removes expired entries, which come first: the map is in claim order. */
  #removeExpired(nowMs: number): void {
    for (const [key, entry] of this.#entries) {
      if (entry.expiresAtMs > nowMs) return;
      this.#entries.delete(key);
    }
  }
}

function answerFromEntry(
  known: ClaimEntry,
  request: ClaimRequest,
): ClaimDecision {
  if (!equalBytes(known.content, request.content)) {
    return answer(ClaimState.HELD, { contentDiffers: true });
  }
  if (known.answer !== undefined) {
    return answer(ClaimState.DONE, { answer: known.answer });
  }
  // The owner claims again if the response to its first claim was lost.
  return known.requestId === request.requestId
    ? {
      kind: "await-commit",
      response: create(ClaimResponseSchema, { state: ClaimState.GRANTED }),
    }
    : answer(ClaimState.HELD, {});
}

function answer(
  state: ClaimState,
  fields: Partial<Pick<ClaimResponse, "answer" | "contentDiffers" | "reason">>,
): ClaimDecision {
  return {
    kind: "answer",
    response: create(ClaimResponseSchema, { state, ...fields }),
  };
}

function toMapKey(key: Uint8Array): string {
  return Buffer.from(key).toString("base64");
}

function equalBytes(a: Uint8Array, b: Uint8Array): boolean {
  return Buffer.compare(a, b) === 0;
}
