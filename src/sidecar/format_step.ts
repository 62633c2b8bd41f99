import type { DestinationChoice } from "../coordination/dispatch/mod.ts";
import type { CallOutcome } from "../protocol/mesh_call.ts";

/**
 * Formats a step of a request for the log: backend server, outcome, status or
 * reason, expected wait, time taken, expected service time and, for a response,
 * the service time, all times in ms.
 *
 * @param choice The destination with its estimates.
 * @param result What came of it, and the time taken, in ms.
 * @returns The step.
 *
 * @example
 * ```ts ignore
 * formatStep(choice, { text: "answered:200", tookMs: 31, serviceMs: 28 });
 * // "i-1:answered:200:0:31:30:28"
 * ```
 */
export function formatStep(
  choice: DestinationChoice,
  result: {
    readonly text: string;
    readonly tookMs: number;
    readonly serviceMs?: number | undefined;
  },
): string {
  const { record, waitMs, serviceMs } = choice;
  const expected = `${record.id}:${result.text}:${Math.round(waitMs)}:${
    Math.round(result.tookMs)
  }:${Math.round(serviceMs)}`;
  return result.serviceMs === undefined
    ? expected
    : `${expected}:${Math.round(result.serviceMs)}`;
}

/**
 * Formats an outcome as the text of a step.
 *
 * @param outcome The outcome.
 * @returns Its kind, and its status or reason.
 *
 * @example
 * ```ts
 * formatOutcome(notRunOutcome(MeshReason.Leaving)); // "not-run:leaving"
 * ```
 */
export function formatOutcome(outcome: CallOutcome): string {
  const detail = outcome.kind === "answered"
    ? outcome.answer.status
    : outcome.reason;
  return `${outcome.kind}:${detail}`;
}
