/** What is known when the store is regained. */
export interface StoreReturn {
  /** Time since the last answer before the store was lost, in ms. */
  readonly awayMs: number;
  /**
   * Time for which other calls had been answered meanwhile, in ms: how long
   * the daemon had gone on waiting for a store that was back.
   */
  readonly answeredForMs: number;
}

/**
 * Tracks when the store answered this daemon, whichever call it was.
 *
 * @example
 * ```ts
 * const contact = new StoreContact(0);
 * contact.lose();
 * contact.recordAnswer(900);
 * contact.regain(1_000); // { awayMs: 1_000, answeredForMs: 100 }
 * ```
 */
export class StoreContact {
  #answeredAtMs: number;
  #lostSinceMs: number | undefined;
  #firstAnswerAtMs: number | undefined;

  /**
   * Creates a contact that counts as lost until {@linkcode regain} is called.
   *
   * @param nowMs Monotonic time, in ms.
   */
  constructor(nowMs: number) {
    this.#answeredAtMs = nowMs;
    this.#lostSinceMs = nowMs;
  }

  /** Whether the store is taken to answer this daemon. */
  get isConnected(): boolean {
    return this.#lostSinceMs === undefined;
  }

  /**
   * Records an answer to a call.
   *
   * @param nowMs Monotonic time, in ms.
   */
  recordAnswer(nowMs: number): void {
    this.#answeredAtMs = nowMs;
    if (!this.isConnected) this.#firstAnswerAtMs ??= nowMs;
  }

  /** Records that the store no longer answers. */
  lose(): void {
    this.#lostSinceMs ??= this.#answeredAtMs;
  }

  /**
   * Records that the view of the store is complete again.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns How long the store was away; `undefined` if it was not lost.
   */
  regain(nowMs: number): StoreReturn | undefined {
    const lostSinceMs = this.#lostSinceMs;
    if (lostSinceMs === undefined) return undefined;
    const answeredForMs = nowMs - (this.#firstAnswerAtMs ?? nowMs);
    this.#lostSinceMs = undefined;
    this.#firstAnswerAtMs = undefined;
    return { awayMs: nowMs - lostSinceMs, answeredForMs };
  }

  /**
   * Returns how long the store has been lost.
   *
   * @param nowMs Monotonic time, in ms.
   * @returns The time, in ms; 0 if it is not lost.
   */
  awayMs(nowMs: number): number {
    return this.#lostSinceMs === undefined ? 0 : nowMs - this.#lostSinceMs;
  }
}
