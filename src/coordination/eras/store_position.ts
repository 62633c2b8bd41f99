import { compareEras, EraOrder } from "./compare_eras.ts";

/** A response of the store, or of a daemon that reads it. */
export interface StoreResponse {
  /** `undefined` if the store names no era. */
  readonly era?: number | undefined;
  readonly revision: number;
  /** Whether it holds the whole state, and not only changes. */
  readonly isComplete: boolean;
}

/** What is to be done with a response. */
export enum ResponseUse {
  /** Apply it to the state of the same era. */
  Apply = "apply",
  /** Replace the state: it is the first one of a later era. */
  Replace = "replace",
  /** Read the whole state: the changes are of a later era. */
  List = "list",
  /** Ignore it: it is of an earlier era. */
  Drop = "drop",
}

/**
 * The era of the store as far as this daemon knows it, and the revision with
 * which its view of that era began.
 *
 * Revisions of different eras are never compared: after a restore, a revision
 * may have been assigned again, so that changes since then are incomplete even
 * where the store answers with them.
 *
 * @example
 * ```ts
 * const position = new StorePosition();
 * position.use({ era: 1, revision: 9, isComplete: true }); // Apply
 * position.use({ era: 2, revision: 4, isComplete: false }); // List
 * position.use({ era: 2, revision: 4, isComplete: true }); // Replace
 * position.use({ era: 1, revision: 12, isComplete: false }); // Drop
 * ```
 */
export class StorePosition {
  #era: number | undefined;
  #hasState = false;
  /** Revision of the copy, as far as this daemon can tell. */
  #copyRevision = -1;

  /** The era; `undefined` if the store has not named one. */
  get era(): number | undefined {
    return this.#era;
  }

  /**
   * Decides about a response, and enters its era if it replaces the state.
   *
   * @param response The response.
   * @returns What is to be done with it.
   */
  use(response: StoreResponse): ResponseUse {
    const { era, revision, isComplete } = response;
    switch (compareEras(era, this.#era)) {
      case EraOrder.Earlier:
        return ResponseUse.Drop;
      case EraOrder.Same:
        if (isComplete) this.#hasState = true;
        return ResponseUse.Apply;
      case EraOrder.Later:
        if (!isComplete) return ResponseUse.List;
        this.#era = era;
        if (!this.#hasState) {
          this.#hasState = true;
          return ResponseUse.Apply;
        }
        this.#copyRevision = revision;
        return ResponseUse.Replace;
    }
  }

  /**
   * Returns whether an entry may come from the copy from which the store was
   * restored, and so be older than what this daemon has seen before.
   *
   * @param modRevision Revision of the entry's last write, in this era.
   * @returns Whether it may.
   */
  mayBeOutdated(modRevision: number): boolean {
    return modRevision <= this.#copyRevision;
  }
}
