import { LRUCache } from "lru-cache";

/** Maximum number of requests whose decisions are kept. */
const MAX_REQUESTS = 2_000;
/** Maximum number of decisions kept per request. */
const MAX_DECISIONS = 16;

/** A decision about a request. */
export interface Decision {
  /** Unix time in ms. */
  readonly atMs: number;
  readonly event: string;
  readonly fields: Readonly<
    Record<string, string | number | boolean | undefined>
  >;
}

/**
 * Keeps the decisions about recent requests, so that they can be explained.
 *
 * @example
 * ```ts
 * const log = new DecisionLog();
 * log.add("r1", { atMs: 0, event: "route", fields: {} });
 * log.get("r1").length; // 1
 * ```
 */
export class DecisionLog {
  readonly #decisions = new LRUCache<string, Decision[]>({ max: MAX_REQUESTS });

  /**
   * Adds a decision.
   *
   * @param requestId Id of the request.
   * @param decision The decision.
   */
  add(requestId: string, decision: Decision): void {
    const known = this.#decisions.get(requestId);
    if (known === undefined) this.#decisions.set(requestId, [decision]);
    else if (known.length < MAX_DECISIONS) known.push(decision);
  }

  /**
   * Returns the decisions about a request.
   *
   * @param requestId Id of the request.
   * @returns The decisions in order; empty if the request is unknown.
   */
  get(requestId: string): readonly Decision[] {
    return this.#decisions.get(requestId) ?? [];
  }
}
