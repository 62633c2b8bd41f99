/** Most open calls of one running request that take precedence. */
const MAX_CALLS_PER_REQUEST = 4;

/**
 * Decides which requests count as calls of the requests that run on the local
 * backend server.
 *
 * Where callers have keys, a request without one on a public route is mostly
 * such a call, but anyone can send one. More of them than the running requests
 * account for are ordinary requests: otherwise, a flood without keys would go
 * before the requests of all organisations.
 *
 * @example
 * ```ts
 * const classifier = new SubcallClassifier();
 * classifier.tryOpen(1); // true
 * classifier.close();
 * classifier.tryOpen(0); // false
 * ```
 */
export class SubcallClassifier {
  #open = 0;

  /** Number of requests that count as calls now. */
  get open(): number {
    return this.#open;
  }

  /**
   * Counts a request as a call if the running requests may have made it.
   *
   * @param running Requests that run on the local backend server.
   * @returns Whether it counts; {@linkcode close} has to be called at its end.
   */
  tryOpen(running: number): boolean {
    if (this.#open >= running * MAX_CALLS_PER_REQUEST) return false;
    this.#open++;
    return true;
  }

  /** Ends a request that counted as a call. */
  close(): void {
    this.#open--;
  }
}
