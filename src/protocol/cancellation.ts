/** Tells when work has been cancelled; an `AbortSignal` is one. */
export interface CancelSignal {
  readonly aborted: boolean;
  addEventListener(
    type: "abort",
    listener: () => void,
    options?: { readonly once?: boolean },
  ): void;
  removeEventListener(type: "abort", listener: () => void): void;
}

/** Cancels work; an `AbortController` is one. */
export interface CancelController {
  readonly signal: CancelSignal;
  abort(): void;
}

/**
 * Cancels the work on one request. It is its own signal.
 *
 * It replaces `AbortController` on the path of each request, where the signals
 * and their events took three in a hundred of a daemon's processor time.
 *
 * @example
 * ```ts
 * const cancel = new Cancellation();
 * cancel.signal.addEventListener("abort", () => {});
 * cancel.abort();
 * cancel.signal.aborted; // true
 * ```
 */
export class Cancellation implements CancelController, CancelSignal {
  readonly #listeners = new Set<() => void>();
  #isAborted = false;

  /** Tells when the work has been cancelled. */
  get signal(): CancelSignal {
    return this;
  }

  /** Whether the work has been cancelled. */
  get aborted(): boolean {
    return this.#isAborted;
  }

  /**
   * Cancels the work, and calls all listeners. Does nothing if it has been
   * cancelled before.
   */
  abort(): void {
    if (this.#isAborted) return;
    this.#isAborted = true;
    for (const listener of this.#listeners) listener();
    this.#listeners.clear();
  }

  /**
   * Adds a listener, which is never called if the work has been cancelled.
   *
   * @param _type The event.
   * @param listener Called at most once, as the work is cancelled.
   */
  addEventListener(_type: "abort", listener: () => void): void {
    if (!this.#isAborted) this.#listeners.add(listener);
  }

  /**
   * Removes a listener.
   *
   * @param _type The event.
   * @param listener The listener.
   */
  removeEventListener(_type: "abort", listener: () => void): void {
    this.#listeners.delete(listener);
  }
}
