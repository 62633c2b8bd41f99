import { LRUCache } from "lru-cache";

/** Requests whose decisions are remembered. */
const MAX_REQUESTS = 2_000;
/** Most decisions that are kept of one request. */
const MAX_DECISIONS = 16;

/** One thing that was decided about a request. */
export interface Decision {
  /** Unix time. */
  readonly atMs: number;
  readonly event: string;
  readonly fields: Readonly<
    Record<string, string | number | boolean | undefined>
  >;
}

/**
 * Remembers the latest decisions, so that they can be explained.
 *
 * @example
 * ```ts
 * const log = new DecisionLog();
 * log.add("r1", { atMs: 0, event: "route", fields: {} });
 * log.of("r1").length; // 1
 * ```
 */
export class DecisionLog {
  readonly #decisions = new LRUCache<string, Decision[]>({ max: MAX_REQUESTS });

  /**
   * Adds a decision.
   *
   * @param requestId The request.
   * @param decision What was decided.
   */
  add(requestId: string, decision: Decision): void {
    const known = this.#decisions.get(requestId);
    if (known === undefined) this.#decisions.set(requestId, [decision]);
    else if (known.length < MAX_DECISIONS) known.push(decision);
  }

  /**
   * Returns what was decided about a request.
   *
   * @param requestId The request.
   * @returns Decisions in order; none where it is not remembered.
   */
  get(requestId: string): readonly Decision[] {
    return this.#decisions.get(requestId) ?? [];
  }
}
