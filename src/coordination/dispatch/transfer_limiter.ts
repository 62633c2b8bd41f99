import type { TransferMessage } from "../../protocol/transfer_permit.ts";
import {
  type AcceptedRequest,
  type FairPosition,
  FairShares,
} from "./fair_share.ts";
import {
  type QueuedTransfer,
  type TransferPlace,
  TransferQueue,
} from "./transfer_queue.ts";
import { VirtualProgress } from "./virtual_progress.ts";

/** Time after which a permit that was not released expires, in ms. */
const PERMIT_TTL_MS = 1_000;
/** Most concurrent body transfers to a destination with a slow link. */
const MAX_TRANSFERS = 2;
/** Shortest transfer time for which a body needs a permit, in ms. */
const LONG_TRANSFER_MS = 20;
/** Assumed hold time of a permit before the first release, in ms. */
const INITIAL_HOLD_MS = 100;
/** Assumed size of a body before the first one of a stated size, in bytes. */
const INITIAL_BYTES = 64 * 1024;
/** Weight of the newest sample in the averages of hold times and sizes. */
const SAMPLE_WEIGHT = 0.2;
/** Waiting requests beyond which those of organisations are refused. */
const MAX_WAITING = 512;
const BITS_PER_BYTE = 8;
const BITS_PER_MBPS_MS = 1_000;

/**
 * Returns whether a body occupies a link for so long that its sender needs a
 * permit.
 *
 * @param bodyBytes Size of the body, in bytes.
 * @param linkMbps Bandwidth of the destination's link, in Mbit/s; 0 if unknown.
 * @returns Whether a permit is needed.
 *
 * @example
 * ```ts
 * needsTransferPermit(60_000, 7); // true
 * needsTransferPermit(60_000, 1_000); // false
 * ```
 */
export function needsTransferPermit(
  bodyBytes: number,
  linkMbps: number,
): boolean {
  const transferMs = bodyBytes * BITS_PER_BYTE / (linkMbps * BITS_PER_MBPS_MS);
  return linkMbps > 0 && transferMs >= LONG_TRANSFER_MS;
}

/** Decision on a request for a transfer permit. */
export type PermitDecision =
  | { readonly kind: "admit" }
  | {
    readonly kind: "wait";
    /** Waiting requests that are refused, as they would now wait too long. */
    readonly displaced: readonly DisplacedRequest[];
  }
  /** The expected wait is longer than the sender's maximum wait. */
  | { readonly kind: "refuse"; readonly waitMs: number };

/** A waiting request that is refused in favour of another one. */
export interface DisplacedRequest {
  readonly id: string;
  /** Expected wait, in ms. */
  readonly waitMs: number;
}

/** A request for a transfer permit. */
export interface PermitRequest extends TransferMessage {
  /** Id of the request whose body is to be sent. */
  readonly id: string;
  /** Longest time that the sender waits for a permit, in ms. */
  readonly maxWaitMs: number;
}

interface WaitingRequest extends QueuedTransfer {
  readonly id: string;
  readonly bytes: number | undefined;
  /** Monotonic time until which the sender waits for a permit. */
  readonly deadlineMs: number;
  /** What its organisation was charged, if it has one. */
  readonly accepted: AcceptedRequest | undefined;
}

interface Permit {
  readonly expiresAtMs: number;
  readonly bytes: number | undefined;
}

/**
 * Limits the concurrent transfers of large bodies to a destination with a slow
 * link. Many concurrent senders would fill the link's queue, and every short
 * request would wait behind whole bodies.
 *
 * Organisations with a backlog get equal numbers of bytes, a fourth for each
 * step of rank, but each is served at least a quarter as often as all. Calls of
 * running requests go ahead of the backlogs. Without organisations, the order is
 * that of arrival.
 *
 * @example
 * ```ts
 * const limiter = new TransferLimiter();
 * limiter.requestPermit({ id: "a", maxWaitMs: 1_000 }, 0); // { kind: "admit" }
 * limiter.release("a", 70); // []
 * ```
 */
export class TransferLimiter {
  readonly #permits = new Map<string, Permit>();
  readonly #queue = new TransferQueue<WaitingRequest>();
  readonly #shares = new FairShares();
  readonly #progress = new VirtualProgress();
  #averageHoldMs = INITIAL_HOLD_MS;
  /** Average size of the bodies whose sizes were stated, in bytes. */
  #averageBytes: number | undefined;

  /** Number of requests that wait for a permit. */
  get waiting(): number {
    return this.#queue.size;
  }

  /**
   * Requests a permit. Permits that have expired have to be granted before, by
   * {@linkcode grantFree}.
   *
   * @param request The request.
   * @param nowMs Monotonic time, in ms.
   * @returns Whether the permit is granted, queued or refused.
   */
  requestPermit(request: PermitRequest, nowMs: number): PermitDecision {
    this.#recordProgress(nowMs);
    const entry = this.#toWaiting(request, nowMs);
    this.#queue.add(entry);
    const place = this.#queue.placeOf(entry);
    const waitMs = this.#expectedWaitMs(entry, place);
    if (this.grantFree(nowMs).includes(request.id)) {
      this.#recordAccepted(entry);
      return { kind: "admit" };
    }
    const hasRoom = request.organisation === undefined ||
      this.#queue.size <= MAX_WAITING || place.behind.length > 0;
    if (waitMs > request.maxWaitMs || !hasRoom) {
      this.#queue.removeWhere((other) => other === entry);
      return { kind: "refuse", waitMs };
    }
    this.#recordAccepted(entry);
    return { kind: "wait", displaced: this.#displaceBehind(place, nowMs) };
  }

  /**
   * Releases the permit of a request whose body has arrived or which was
   * abandoned, or removes the request from the queue.
   *
   * @param id Id of the request.
   * @param nowMs Monotonic time, in ms.
   * @returns Ids of the requests that are granted a permit now.
   */
  release(id: string, nowMs: number): readonly string[] {
    this.#recordProgress(nowMs);
    const permit = this.#permits.get(id);
    if (permit !== undefined) this.#recordHold(permit, nowMs);
    this.#permits.delete(id);
    this.#withdraw((waiting) => waiting.id === id);
    return this.grantFree(nowMs);
  }

  /**
   * Removes the requests whose senders no longer wait. A sender whose
   * connection went silent never says so.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Their ids.
   */
  removeExpired(nowMs: number): readonly string[] {
    return this.#withdraw(({ deadlineMs }) => deadlineMs <= nowMs);
  }

  /**
   * Grants free and expired permits to waiting requests.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Ids of the requests that are granted a permit now.
   */
  grantFree(nowMs: number): readonly string[] {
    for (const [id, { expiresAtMs }] of this.#permits) {
      if (expiresAtMs <= nowMs) this.#permits.delete(id);
    }
    const granted: string[] = [];
    while (this.#permits.size < MAX_TRANSFERS) {
      const next = this.#queue.takeNext();
      if (next === undefined) break;
      const { id, bytes } = next;
      this.#permits.set(id, { expiresAtMs: nowMs + PERMIT_TTL_MS, bytes });
      granted.push(id);
    }
    return granted;
  }

  #recordProgress(nowMs: number): void {
    const { virtualBytes, size } = this.#queue;
    this.#progress.record(virtualBytes, size > 0, nowMs);
  }

  /** Bytes that the link carries per ms. */
  get #bytesPerMs(): number {
    const bytes = this.#averageBytes ?? INITIAL_BYTES;
    return MAX_TRANSFERS * bytes / this.#averageHoldMs;
  }

  #toWaiting(request: PermitRequest, nowMs: number): WaitingRequest {
    const { id, bytes, organisation, organisationPriority } = request;
    const known = bytes ?? this.#averageBytes ?? INITIAL_BYTES;
    const entry = {
      id,
      bytes,
      deadlineMs: nowMs + request.maxWaitMs,
      costBytes: known,
      organisation,
      organisationPriority,
      priority: request.priority,
      isSubcall: request.isSubcall,
      accepted: undefined,
    };
    if (organisation === undefined) return entry;
    this.#shares.recordOffer(organisation, nowMs);
    const position = this.#shares.positionOf(request, nowMs);
    return {
      ...entry,
      costBytes: known * position.factor,
      isOwed: isOwed(position),
      accepted: {
        organisation,
        serviceMs: this.#averageHoldMs * this.#relativeSize(bytes),
        acceptedAtMs: nowMs,
        position,
      },
    };
  }

  #recordAccepted({ accepted }: WaitingRequest): void {
    if (accepted !== undefined) this.#shares.accept(accepted);
  }

  #withdraw(
    isRemoved: (waiting: WaitingRequest) => boolean,
  ): readonly string[] {
    const removed = this.#queue.removeWhere(isRemoved);
    for (const { accepted } of removed) {
      if (accepted !== undefined) this.#shares.withdraw(accepted);
    }
    return removed.map(({ id }) => id);
  }

  /**
   * Other organisations overtake one with a backlog, so that the transfers ahead
   * of its newest one say too little about the wait.
   */
  #expectedWaitMs(
    { organisation }: WaitingRequest,
    { ahead, startsInBytes }: TransferPlace<WaitingRequest>,
  ): number {
    const rounds = Math.ceil((ahead.length + 1) / MAX_TRANSFERS);
    const inOrderMs = rounds * this.#expectedHoldMs(ahead);
    if (organisation === undefined) return inOrderMs;
    return Math.max(
      inOrderMs,
      this.#progress.expectedMs(startsInBytes, this.#bytesPerMs),
    );
  }

  /**
   * Removes the requests behind a new one that it delays beyond their maximum
   * wait, and those beyond the most that may wait. The permits in use may be
   * released at any moment, so their hold times are not counted.
   */
  #displaceBehind(
    { ahead, behind }: TransferPlace<WaitingRequest>,
    nowMs: number,
  ): readonly DisplacedRequest[] {
    if (behind.length === 0) return [];
    const holdMs = this.#expectedHoldMs([...ahead, ...behind]);
    const displaced = new Map<string, number>();
    for (const [index, { id, deadlineMs }] of behind.entries()) {
      const position = ahead.length + 1 + index - displaced.size;
      const waitMs = Math.floor(position / MAX_TRANSFERS) * holdMs;
      const isTooLate = nowMs + waitMs > deadlineMs;
      if (isTooLate || position >= MAX_WAITING) displaced.set(id, waitMs);
    }
    if (displaced.size > 0) this.#withdraw(({ id }) => displaced.has(id));
    return [...displaced].map(([id, waitMs]) => ({ id, waitMs }));
  }

  /** Expected hold time of the given requests and of the permits, in ms. */
  #expectedHoldMs(requests: readonly WaitingRequest[]): number {
    let total = 0;
    for (const { bytes } of requests) total += this.#relativeSize(bytes);
    for (const { bytes } of this.#permits.values()) {
      total += this.#relativeSize(bytes);
    }
    const mean = total / (requests.length + this.#permits.size);
    return this.#averageHoldMs * mean;
  }

  /** Size of a body relative to the average; 1 if it is not known. */
  #relativeSize(bytes: number | undefined): number {
    return bytes === undefined ? 1 : bytes / (this.#averageBytes ?? bytes);
  }

  #recordHold({ expiresAtMs, bytes }: Permit, nowMs: number): void {
    const heldMs = nowMs - (expiresAtMs - PERMIT_TTL_MS);
    this.#averageHoldMs += (heldMs - this.#averageHoldMs) * SAMPLE_WEIGHT;
    if (bytes === undefined) return;
    const current = this.#averageBytes ?? bytes;
    this.#averageBytes = current + (bytes - current) * SAMPLE_WEIGHT;
  }
}

function isOwed({ settles }: FairPosition): boolean {
  return settles >= 1;
}
