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

/** Most entries of one group commit. */
export const MAX_BATCH_ENTRIES = 2_000;
/** Largest group commit in bytes. */
export const MAX_BATCH_BYTES = 512 * 1024;
/** Most claims that a partition keeps. */
export const MAX_CLAIMS = 50_000;

/** Answer to a claim, now or once a batch is durable. */
export type ClaimDecision =
  | { readonly kind: "answer"; readonly response: ClaimResponse }
  | { readonly kind: "await-commit"; readonly response: ClaimResponse };

/**
 * The claims of one partition, as a holder keeps them.
 *
 * A claim is granted only once it is durable. Entries gather while a commit is
 * under way and go out together in the next one. What another holder committed
 * first counts, and own entries that contradict it are dropped.
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
   * @param windowMs Time for which a claim is kept.
   */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Number of claims that are kept. */
  get size(): number {
    return this.#entries.size;
  }

  /** All claims that have not expired, oldest first. */
  get entries(): ClaimEntry[] {
    return [...this.#entries.values()];
  }

  /**
   * Takes in durable entries, as a new holder reads them.
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
   * @param nowMs Unix time.
   * @returns An answer, or one to give once the next batch is durable.
   */
  claim(request: ClaimRequest, nowMs: number): ClaimDecision {
    this.#expire(nowMs);
    const known = this.#entries.get(keyOf(request.key));
    if (known !== undefined) return answerKnown(known, request);
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
   * @param request Answer or release, by the claim's owner.
   * @returns Whether the claim belongs to the request.
   */
  complete(request: CompleteClaimRequest): boolean {
    const known = this.#entries.get(keyOf(request.key));
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
   * Takes the entries of the next group commit.
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
   * Takes in what another holder committed before an own batch.
   *
   * @param foreign The other's entries in commit order.
   * @param batch The own batch, which is not durable.
   * @returns What is left of the own batch.
   */
  rebase(
    foreign: readonly ClaimEntry[],
    batch: readonly ClaimEntry[],
  ): ClaimEntry[] {
    const touched = new Set(foreign.map((entry) => keyOf(entry.key)));
    // What is known already stays: a store that was restored from an old backup
    // must not make this holder forget.
    for (const entry of foreign) this.#put(entry);
    const reapply = (entry: ClaimEntry) =>
      !touched.has(keyOf(entry.key)) || this.#reapply(entry);
    const left = batch.filter(reapply);
    const pending = this.#pending.filter(reapply);
    this.#pending = [];
    this.#pendingBytes = 0;
    for (const entry of pending) this.#enqueue(entry);
    return left;
  }

  /**
   * Answers a claim whose batch has been settled.
   *
   * @param request The claim.
   * @returns A grant, unless another holder's entry came first.
   */
  answerAfterCommit(request: ClaimRequest): ClaimResponse {
    const known = this.#entries.get(keyOf(request.key));
    return known === undefined
      ? create(ClaimResponseSchema, { state: ClaimState.UNKNOWN })
      : answerKnown(known, request).response;
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

  /** Returns whether an own entry still stands, and puts it on top again. */
  #reapply(entry: ClaimEntry): boolean {
    const known = this.#entries.get(keyOf(entry.key));
    const isClaim = entry.answer === undefined && !entry.released;
    const stands = isClaim
      ? known === undefined
      : known?.requestId === entry.requestId;
    if (stands) this.#put(entry);
    return stands;
  }

  #put(entry: ClaimEntry): void {
    const key = keyOf(entry.key);
    if (entry.released) this.#entries.delete(key);
    else this.#entries.set(key, entry);
  }

  /** Entries stand in the order of their claims, so the oldest come first. */
  #expire(nowMs: number): void {
    for (const [key, entry] of this.#entries) {
      if (entry.expiresAtMs > nowMs) return;
      this.#entries.delete(key);
    }
  }
}

function answerKnown(known: ClaimEntry, request: ClaimRequest): ClaimDecision {
  if (!sameBytes(known.content, request.content)) {
    return answer(ClaimState.HELD, { contentDiffers: true });
  }
  if (known.answer !== undefined) {
    return answer(ClaimState.DONE, { answer: known.answer });
  }
  // The owner asks again where the answer to its claim was lost.
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

function keyOf(key: Uint8Array): string {
  return Buffer.from(key).toString("base64");
}

function sameBytes(a: Uint8Array, b: Uint8Array): boolean {
  return Buffer.compare(a, b) === 0;
}
