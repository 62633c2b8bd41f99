/** Factor by which the limit shrinks when the backend server sheds load. */
const DECREASE_FACTOR = 0.7;
/** Shortest time between two decreases, in ms. */
const DECREASE_PERIOD_MS = 100;

/**
 * Limits the running requests of a backend server below its slots.
 *
 * The limit grows by one for each round of requests served at the limit, and
 * shrinks when the backend server sheds load or lets deadlines pass.
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
   * Starts at the number of slots.
   *
   * @param slots Slots that the backend server announced.
   */
  constructor(slots: number) {
    this.#slots = slots;
    this.#limit = slots;
  }

  /** Requests that may run now. */
  get current(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  /**
   * Takes in a new number of slots. More slots are used at once, as nothing
   * speaks against them yet; repeats leave the limit as it is.
   */
  set slots(slots: number) {
    this.#limit = slots > this.#slots ? slots : Math.min(this.#limit, slots);
    this.#slots = slots;
  }

  /**
   * Records a served request.
   *
   * @param running Requests that ran at the time.
   */
  recordSuccess(running: number): void {
    if (running < this.current) return;
    this.#limit = Math.min(this.#slots, this.#limit + 1 / this.#limit);
  }

  /**
   * Records that the backend server had too much to do.
   *
   * @param nowMs Monotonic time.
   */
  recordOverload(nowMs: number): void {
    if (nowMs - this.#decreasedAtMs < DECREASE_PERIOD_MS) return;
    this.#decreasedAtMs = nowMs;
    this.#limit = Math.max(1, this.#limit * DECREASE_FACTOR);
  }
}
