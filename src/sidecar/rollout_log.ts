import {
  RolloutReason,
  type RolloutWrite,
} from "../coordination/rollout/mod.ts";
import type { RolloutRecord } from "../protocol/rollout.ts";
import type { EventLog } from "../transport/observe/event_log.ts";

/**
 * Returns whether a record is another decision, and not only a renewal.
 *
 * @param before The record before, if any.
 * @param after The record.
 * @returns Whether the decision differs.
 *
 * @example
 * ```ts ignore
 * if (isRolloutDecision(before, after)) log.info("rollout-followed", {});
 * ```
 */
export function isRolloutDecision(
  before: RolloutRecord | undefined,
  after: RolloutRecord,
): boolean {
  return before?.phase !== after.phase || before.share !== after.share ||
    before.targetVersion !== after.targetVersion ||
    before.decider !== after.decider;
}

/**
 * Logs a decision of this daemon with the figures that it is based on.
 *
 * @param log The log.
 * @param write The decision.
 * @param result Whether it was written.
 *
 * @example
 * ```ts ignore
 * logWrite(log, write, "written");
 * ```
 */
export function logWrite(
  log: EventLog,
  write: RolloutWrite,
  result: "written" | "conflict" | "failed",
): void {
  const { record, judgement, reason, figures } = write;
  if (reason === RolloutReason.Renewed && result === "written") return;
  log.info("rollout-decided", {
    service: record.service,
    version: record.targetVersion,
    reason,
    result,
    phase: record.phase,
    share: record.share,
    sequence: record.sequence,
    inUse: record.inUse.join(","),
    verdict: judgement.verdict,
    ...(judgement.fault === undefined ? {} : {
      fault: judgement.fault,
      route: judgement.route,
      target: judgement.target?.join("/"),
      former: judgement.former?.join("/"),
    }),
    ...figures,
  });
}
