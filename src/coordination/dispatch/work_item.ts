import type { FairRequest } from "./fair_share.ts";

/** A request for a slot, with monotonic times. */
export interface WorkItem extends FairRequest {
  readonly route: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly objectiveAtMs: number;
  readonly deadlineMs: number;
  readonly arrivedAtMs: number;
  /** Whether a running request probably waits for it. */
  readonly isSubcall?: boolean | undefined;
  /** Expected work, relative to the usual one of its route; above 0. */
  readonly costFactor?: number | undefined;
}

/**
 * Returns the class of a request, of which each has a share of the slots: the
 * requests of one priority, or the calls of one priority for themselves.
 *
 * @param item The request.
 * @returns The class.
 *
 * @example
 * ```ts ignore
 * classOf({ ...item, priority: 2 }); // 2
 * ```
 */
export function classOf({ priority, isSubcall }: WorkItem): number {
  return isSubcall === true ? -1 - priority : priority;
}

/**
 * Whether a waiting request goes before another one. A call that a running
 * request waits for goes before work that is not more urgent; other requests go
 * by their sort keys.
 *
 * @param item The request.
 * @param key Its sort key.
 * @param other The other request.
 * @param otherKey The sort key of the other request.
 * @returns Whether it goes first; true if both are equal.
 *
 * @example
 * ```ts ignore
 * precedes({ ...item, isSubcall: true }, 900, item, 100); // true
 * ```
 */
export function precedes(
  item: WorkItem,
  key: number,
  other: WorkItem,
  otherKey: number,
): boolean {
  const isCall = item.isSubcall === true;
  if (isCall !== (other.isSubcall === true)) {
    const [call, work] = isCall ? [item, other] : [other, item];
    if (work.priority >= call.priority) return isCall;
  }
  return key <= otherKey;
}
