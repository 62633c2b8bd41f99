import {
  type RolloutOrder,
  RolloutPhase,
  type RolloutRecord,
} from "../../protocol/rollout.ts";
import type { RolloutObservations } from "./rollout_observations.ts";
import type { RolloutFigures, RolloutSituation } from "./rollout_types.ts";

/** What a daemon knows as it takes up an order. */
interface OrderStart {
  readonly sequence: number;
  /** Versions of the service that are in use. */
  readonly inUse: readonly string[];
  readonly decider: string;
  readonly startedAtUnixMs: number;
}

/**
 * Builds the first record of an order.
 *
 * @param order The order.
 * @param start What the daemon knows that takes it up.
 * @returns The record; finished if no other version is in use.
 *
 * @example
 * ```ts ignore
 * const record = orderedRecord(order, start);
 * ```
 */
export function orderedRecord(
  order: RolloutOrder,
  start: OrderStart,
): RolloutRecord {
  const { sequence, decider, startedAtUnixMs } = start;
  const { service, targetVersion, durationMs } = order;
  const formers = start.inUse.filter((version) => version !== targetVersion);
  const isMoved = formers.length === 0;
  return {
    service,
    sequence,
    phase: isMoved ? RolloutPhase.Finished : RolloutPhase.Running,
    inUse: isMoved ? [targetVersion] : formers,
    decider,
    targetVersion,
    share: isMoved ? 1 : 0,
    startedAtUnixMs,
    endsAtUnixMs: startedAtUnixMs + durationMs,
  };
}

/**
 * Builds the record of a daemon that takes the decisions over.
 *
 * @param record The record of the daemon before.
 * @param decider Instance of the daemon.
 * @returns The record.
 *
 * @example
 * ```ts ignore
 * const next = takenOverRecord(record, "a-1");
 * ```
 */
export function takenOverRecord(
  record: RolloutRecord,
  decider: string,
): RolloutRecord {
  return {
    ...record,
    sequence: record.sequence + 1,
    decider,
    // Nobody has looked at the results since the last decider ended.
    share: record.phase === RolloutPhase.Running ? 0 : record.share,
  };
}

/**
 * Builds a record of the versions in use before the first order.
 *
 * @param service Name of the service.
 * @param inUse The versions.
 * @param decider Instance of the daemon that writes it.
 * @returns The record.
 *
 * @example
 * ```ts ignore
 * const record = baselineRecord("orders", ["v1"], "a-1");
 * ```
 */
export function baselineRecord(
  service: string,
  inUse: readonly string[],
  decider: string,
): RolloutRecord {
  return {
    service,
    sequence: 1,
    phase: RolloutPhase.Idle,
    inUse: [...inUse],
    decider,
    targetVersion: "",
    share: 0,
    startedAtUnixMs: 0,
    endsAtUnixMs: 0,
  };
}

/**
 * Lists the figures behind a decision.
 *
 * @param situation What the daemon knows.
 * @param record The record that it writes.
 * @param observations The reports; `undefined` if it does not decide.
 * @param reportedWithinMs Time within which a daemon must have reported, in ms.
 * @returns The figures.
 *
 * @example
 * ```ts ignore
 * const figures = figuresOf(situation, record, observations, 2_000);
 * ```
 */
export function figuresOf(
  { nowMs, nowUnixMs, viewAgeMs, daemons }: RolloutSituation,
  { startedAtUnixMs }: RolloutRecord,
  observations: RolloutObservations | undefined,
  reportedWithinMs: number,
): RolloutFigures {
  return {
    elapsedMs: startedAtUnixMs === 0 ? 0 : nowUnixMs - startedAtUnixMs,
    viewAgeMs: Math.round(viewAgeMs),
    reporters: observations?.countReporters(nowMs - reportedWithinMs) ?? 0,
    daemons,
    requests: observations?.requests ?? 0,
    targetRequests: observations?.targetRequests ?? 0,
  };
}
