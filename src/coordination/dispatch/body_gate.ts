/** Time after which a body that was let in no longer holds its place, in ms. */
const PLACE_MS = 1_000;
/** Bodies that are on their way over a slow link at a time. */
const MAX_ON_WAY = 2;
/** Transfer time from which on a body asks for a place, in ms. */
const LONG_TRANSFER_MS = 20;
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
export function needsPlace(bodyBytes: number, linkMbps: number): boolean {
  const transferMs = bodyBytes * BITS_PER_BYTE / (linkMbps * BITS_PER_MBPS_MS);
  return linkMbps > 0 && transferMs >= LONG_TRANSFER_MS;
}

/**
 * Lets few long bodies at a time onto the way to a destination with a slow
 * link, first come, first served. Many senders at once would fill the link's
 * queue, and every short request would wait behind whole bodies.
 *
 * @example
 * ```ts
 * const gate = new BodyGate();
 * gate.ask("a", 0); // true
 * gate.arrived("a", 70); // []
 * ```
 */
export class BodyGate {
  /** Times at which places lapse, by the id of the request. */
  readonly #lapseAtMs = new Map<string, number>();
  #waiting: string[] = [];

  /** Requests that wait for a place. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /**
   * Asks for a place.
   *
   * @param id Id of the request.
   * @param nowMs Monotonic time.
   * @returns Whether the body may come at once; else it waits.
   */
  ask(id: string, nowMs: number): boolean {
    this.#waiting.push(id);
    return this.advance(nowMs).includes(id);
  }

  /**
   * Notes that a body is there, or that its request has been given up.
   *
   * @param id Id of the request.
   * @param nowMs Monotonic time.
   * @returns Ids of the requests whose bodies may come now.
   */
  arrived(id: string, nowMs: number): readonly string[] {
    this.#lapseAtMs.delete(id);
    this.#waiting = this.#waiting.filter((one) => one !== id);
    return this.advance(nowMs);
  }

  /**
   * Gives free and lapsed places to those that wait.
   *
   * @param nowMs Monotonic time.
   * @returns Ids of the requests whose bodies may come now.
   */
  advance(nowMs: number): readonly string[] {
    for (const [id, lapseAtMs] of this.#lapseAtMs) {
      if (lapseAtMs <= nowMs) this.#lapseAtMs.delete(id);
    }
    const admitted = this.#waiting.splice(0, MAX_ON_WAY - this.#lapseAtMs.size);
    for (const id of admitted) this.#lapseAtMs.set(id, nowMs + PLACE_MS);
    return admitted;
  }
}
