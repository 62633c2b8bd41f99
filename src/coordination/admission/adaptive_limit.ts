/** Factor by which the limit shrinks when the backend server sheds load. */
const DECREASE_FACTOR = 0.7;
/** Shortest time between two decreases, in ms. */
const DECREASE_PERIOD_MS = 100;

/**
 * Adaptive concurrency limit of a backend server, at most its slots.
 *
 * The limit grows by one for each round of requests served at the limit, and
 * shrinks when the backend server sheds load or misses deadlines.
 *
 * @example
 * ```ts
 * new AdaptiveLimit(20).current; // 20
 * ```
 */
export class AdaptiveLimit {
  #slots: number;
  #limit: number;
  #decreasedAtMs = -Infinity;

  /**
   * Creates a limit equal to the number of slots.
   *
   * @param slots Slots that the backend server announced.
   */
  constructor(slots: number) {
    this.#slots = slots;
    this.#limit = slots;
  }

  /** Number of requests that may run concurrently now. */
  get current(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  /**
   * Sets the number of slots. An increase raises the limit at once, as there is
   * no sign of overload yet; setting the same number keeps the limit.
   */
  set slots(slots: number) {
    this.#limit = slots > this.#slots ? slots : Math.min(this.#limit, slots);
    this.#slots = slots;
  }

  /**
   * Records a served request.
   *
   * @param running Number of requests that ran when it ended.
   */
  recordSuccess(running: number): void {
    if (running < this.current) return;
    this.#limit = Math.min(this.#slots, this.#limit + 1 / this.#limit);
  }

  /**
   * Records that the backend server was overloaded.
   *
   * @param nowMs Monotonic time, in ms.
   */
  recordOverload(nowMs: number): void {
    if (nowMs - this.#decreasedAtMs < DECREASE_PERIOD_MS) return;
    this.#decreasedAtMs = nowMs;
    this.#limit = Math.max(1, this.#limit * DECREASE_FACTOR);
  }
}
