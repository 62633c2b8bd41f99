import type { BackendRecord } from "../../protocol/mesh.ts";
import { rankMembers } from "./choose_readers.ts";

/** Best daemons of a failure domain, which probe a lost store most often. */
const FIRST_SCOUTS = 2;
/** Daemons that probe for the whole domain; the others ask them. */
const SCOUTS = 4;
/** Time between two probes of one of the first scouts, in ms. */
const FIRST_SCOUT_PERIOD_MS = 1_000;
/** The same of the other scouts, and of all other daemons together, in ms. */
const SLOW_PERIOD_MS = 2_000;
/** Shortest and longest time for which a source may hold a poll, in ms. */
const MIN_HOLD_MS = 600;
const MAX_HOLD_MS = 5_000;
/** Bounds the polls that a source answers, however large the domain, in ms. */
const HOLD_PER_MEMBER_MS = 20;

/** What a daemon does until the store answers again. */
export interface RecoveryPlan {
  /** Daemons to poll for changes. */
  readonly sources: readonly BackendRecord[];
  /** Time for which a source may hold a poll, in ms. */
  readonly holdMs: number;
  /** Time until the first probe of the store, in ms. */
  readonly firstProbeMs: number;
  /** Time between two probes, in ms. */
  readonly probePeriodMs: number;
}

/**
 * Plans how a daemon finds out that a store which it has lost answers again.
 * The rate of all probes of a failure domain does not depend on its size.
 *
 * @param records Records of the fleet.
 * @param instance The daemon.
 * @param domain Its failure domain.
 * @returns The plan.
 *
 * @example
 * ```ts ignore
 * const { probePeriodMs } = planRecovery(records, "a-1", "a");
 * ```
 */
export function planRecovery(
  records: Iterable<BackendRecord>,
  instance: string,
  domain: string,
): RecoveryPlan {
  const members = rankMembers(records, domain);
  const rankOf = members.findIndex((member) => member.instance === instance);
  const rank = rankOf >= 0 ? rankOf : members.length;
  return {
    sources: members.slice(0, SCOUTS).filter((member) =>
      member.instance !== instance
    ),
    holdMs: Math.min(
      MAX_HOLD_MS,
      Math.max(MIN_HOLD_MS, members.length * HOLD_PER_MEMBER_MS),
    ),
    ...planProbes(rank, Math.max(members.length, rank + 1)),
  };
}

function planProbes(
  rank: number,
  size: number,
): Pick<RecoveryPlan, "firstProbeMs" | "probePeriodMs"> {
  if (rank < FIRST_SCOUTS) {
    return {
      firstProbeMs: rank * FIRST_SCOUT_PERIOD_MS / FIRST_SCOUTS,
      probePeriodMs: FIRST_SCOUT_PERIOD_MS,
    };
  }
  if (rank < SCOUTS) {
    const slowScouts = SCOUTS - FIRST_SCOUTS;
    return {
      firstProbeMs: (rank - FIRST_SCOUTS) * SLOW_PERIOD_MS / slowScouts,
      probePeriodMs: SLOW_PERIOD_MS,
    };
  }
  return {
    firstProbeMs: (rank - SCOUTS + 1) * SLOW_PERIOD_MS,
    probePeriodMs: (size - SCOUTS) * SLOW_PERIOD_MS,
  };
}
