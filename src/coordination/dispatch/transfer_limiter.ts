/** Time after which a body that was let in no longer holds its place, in ms. */
const PLACE_MS = 1_000;
/** Bodies that are on their way over a slow link at a time. */
const MAX_ON_WAY = 2;
/** Transfer time from which on a body asks for a place, in ms. */
const LONG_TRANSFER_MS = 20;
/** Time that a body is taken to hold a place before any has come, in ms. */
const FIRST_TURN_MS = 100;
/** Weight of the newest body in the time that bodies hold a place. */
const TURN_WEIGHT = 0.2;
const BITS_PER_BYTE = 8;
const BITS_PER_MBPS_MS = 1_000;

/**
 * Says whether a body keeps a link busy for long enough to ask for a place.
 *
 * @param bodyBytes Size of the body.
 * @param linkMbps Bandwidth of the destination's link; 0 where it is not known.
 * @returns Whether it does.
 *
 * @example
 * ```ts
 * needsPlace(60_000, 7); // true
 * needsPlace(60_000, 1_000); // false
 * ```
 */
export function needsTransferPermit(
  bodyBytes: number,
  linkMbps: number,
): boolean {
  const transferMs = bodyBytes * BITS_PER_BYTE / (linkMbps * BITS_PER_MBPS_MS);
  return linkMbps > 0 && transferMs >= LONG_TRANSFER_MS;
}

/** Answer to a request for a place. */
export type PermitDecision =
  | { readonly kind: "admit" }
  | { readonly kind: "wait" }
  /** The wait for a place is longer than a place has use. */
  | { readonly kind: "refuse"; readonly waitMs: number };

/** A request for a place. */
export interface PermitRequest {
  /** Id of the request whose body is to come. */
  readonly id: string;
  /** Time for which a place has use, in ms. */
  readonly maxWaitMs: number;
}

/**
 * Lets few long bodies at a time onto the way to a destination with a slow
 * link, first come, first served. Many senders at once would fill the link's
 * queue, and every short request would wait behind whole bodies.
 *
 * @example
 * ```ts
 * const gate = new BodyGate();
 * gate.ask({ id: "a", usefulMs: 1_000 }, 0); // { kind: "admit" }
 * gate.arrived("a", 70); // []
 * ```
 */
export class TransferLimiter {
  /** Times at which places lapse, by the id of the request. */
  readonly #lapseAtMs = new Map<string, number>();
  #waiting: string[] = [];
  #turnMs = FIRST_TURN_MS;

  /** Requests that wait for a place. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /**
   * Asks for a place.
   *
   * @param request The request.
   * @param nowMs Monotonic time.
   * @returns Whether the body may come at once, waits, or has no chance.
   */
  requestPermit(request: PermitRequest, nowMs: number): PermitDecision {
    const turns = Math.ceil((this.#waiting.length + 1) / MAX_ON_WAY);
    const waitMs = turns * this.#turnMs;
    this.#waiting.push(request.id);
    if (this.grantFree(nowMs).includes(request.id)) return { kind: "admit" };
    if (waitMs <= request.maxWaitMs) return { kind: "wait" };
    this.#waiting.pop();
    return { kind: "refuse", waitMs };
  }

  /**
   * Notes that a body is there, or that its request has been given up.
   *
   * @param id Id of the request.
   * @param nowMs Monotonic time.
   * @returns Ids of the requests whose bodies may come now.
   */
  release(id: string, nowMs: number): readonly string[] {
    const lapseAtMs = this.#lapseAtMs.get(id);
    if (lapseAtMs !== undefined) {
      const turnMs = nowMs - (lapseAtMs - PLACE_MS);
      this.#turnMs += (turnMs - this.#turnMs) * TURN_WEIGHT;
    }
    this.#lapseAtMs.delete(id);
    this.#waiting = this.#waiting.filter((one) => one !== id);
    return this.grantFree(nowMs);
  }

  /**
   * Gives free and lapsed places to those that wait.
   *
   * @param nowMs Monotonic time.
   * @returns Ids of the requests whose bodies may come now.
   */
  grantFree(nowMs: number): readonly string[] {
    for (const [id, lapseAtMs] of this.#lapseAtMs) {
      if (lapseAtMs <= nowMs) this.#lapseAtMs.delete(id);
    }
    const admitted = this.#waiting.splice(0, MAX_ON_WAY - this.#lapseAtMs.size);
    for (const id of admitted) this.#lapseAtMs.set(id, nowMs + PLACE_MS);
    return admitted;
  }
}
