import { RolloutPhase, type RolloutRecord } from "../../protocol/rollout.ts";

/**
 * Returns whether a record that a restored store has lost still holds in place
 * of the one that the store has.
 *
 * @param known The record that this daemon knows, if any.
 * @param found The record in the store.
 * @returns Whether the known one holds: it is newer, or the end of the same
 * order, which is not decided again by a daemon that has not seen it.
 *
 * @example
 * ```ts ignore
 * if (keepsRecord(known, found)) writeAgain(known);
 * ```
 */
export function keepsRecord(
  known: RolloutRecord | undefined,
  found: RolloutRecord,
): boolean {
  if (known === undefined) return false;
  const isSameOrder = known.targetVersion === found.targetVersion &&
    known.startedAtUnixMs === found.startedAtUnixMs &&
    known.endsAtUnixMs === found.endsAtUnixMs;
  if (isSameOrder && isEnd(known.phase) && known.phase !== found.phase) {
    return true;
  }
  return known.sequence > found.sequence;
}

function isEnd(phase: RolloutPhase): boolean {
  switch (phase) {
    case RolloutPhase.Finished:
    case RolloutPhase.RolledBack:
      return true;
    case RolloutPhase.Idle:
    case RolloutPhase.Running:
    case RolloutPhase.Draining:
      return false;
  }
}
