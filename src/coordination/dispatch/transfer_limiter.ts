/** Time after which a permit that was not released expires, in ms. */
const PERMIT_TTL_MS = 1_000;
/** Most concurrent body transfers to a destination with a slow link. */
const MAX_TRANSFERS = 2;
/** Shortest transfer time for which a body needs a permit, in ms. */
const LONG_TRANSFER_MS = 20;
/** Assumed hold time of a permit before the first release, in ms. */
const INITIAL_HOLD_MS = 100;
/** Weight of the newest sample in the average hold time of a permit. */
const HOLD_WEIGHT = 0.2;
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
  | { readonly kind: "wait" }
  /** The expected wait is longer than the sender's maximum wait. */
  | { readonly kind: "refuse"; readonly waitMs: number };

interface WaitingRequest {
  readonly id: string;
  /** Monotonic time until which the sender waits for a permit. */
  readonly deadlineMs: number;
}

/** A request for a transfer permit. */
export interface PermitRequest {
  /** Id of the request whose body is to be sent. */
  readonly id: string;
  /** Longest time that the sender waits for a permit, in ms. */
  readonly maxWaitMs: number;
}

/**
 * Limits the concurrent transfers of large bodies to a destination with a slow
 * link, first come, first served. Many concurrent senders would fill the link's
 * queue, and every short request would wait behind whole bodies.
 *
 * @example
 * ```ts
 * const limiter = new TransferLimiter();
 * limiter.requestPermit({ id: "a", maxWaitMs: 1_000 }, 0); // { kind: "admit" }
 * limiter.release("a", 70); // []
 * ```
 */
export class TransferLimiter {
  /** Monotonic expiry times of the granted permits, by request id. */
  readonly #expiresAtMs = new Map<string, number>();
  #waiting: WaitingRequest[] = [];
  #averageHoldMs = INITIAL_HOLD_MS;

  /** Number of requests that wait for a permit. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /**
   * Requests a permit.
   *
   * @param request The request.
   * @param nowMs Monotonic time, in ms.
   * @returns Whether the permit is granted, queued or refused.
   */
  requestPermit(request: PermitRequest, nowMs: number): PermitDecision {
    const rounds = Math.ceil((this.#waiting.length + 1) / MAX_TRANSFERS);
    const waitMs = rounds * this.#averageHoldMs;
    const deadlineMs = nowMs + request.maxWaitMs;
    this.#waiting.push({ id: request.id, deadlineMs });
    if (this.grantFree(nowMs).includes(request.id)) return { kind: "admit" };
    if (waitMs <= request.maxWaitMs) return { kind: "wait" };
    this.#waiting.pop();
    return { kind: "refuse", waitMs };
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
    const expiresAtMs = this.#expiresAtMs.get(id);
    if (expiresAtMs !== undefined) {
      const heldMs = nowMs - (expiresAtMs - PERMIT_TTL_MS);
      this.#averageHoldMs += (heldMs - this.#averageHoldMs) * HOLD_WEIGHT;
    }
    this.#expiresAtMs.delete(id);
    this.#waiting = this.#waiting.filter((waiting) => waiting.id !== id);
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
    const expired = this.#waiting.filter((waiting) =>
      waiting.deadlineMs <= nowMs
    );
    this.#waiting = this.#waiting.filter((waiting) =>
      waiting.deadlineMs > nowMs
    );
    return expired.map(({ id }) => id);
  }

  /**
   * Grants free and expired permits to waiting requests.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns Ids of the requests that are granted a permit now.
   */
  grantFree(nowMs: number): readonly string[] {
    for (const [id, expiresAtMs] of this.#expiresAtMs) {
      if (expiresAtMs <= nowMs) this.#expiresAtMs.delete(id);
    }
    const granted = this.#waiting
      .splice(0, MAX_TRANSFERS - this.#expiresAtMs.size)
      .map(({ id }) => id);
    for (const id of granted) this.#expiresAtMs.set(id, nowMs + PERMIT_TTL_MS);
    return granted;
  }
}
