import {
  readHead,
  readHistory,
} from "../coordination/config/version_records.ts";
import { MemberState } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { findMissing } from "./apply.ts";
import { ExitCode } from "./exit_code.ts";
import type { OperatorSession } from "./operator_session.ts";
import type { Output } from "./output.ts";

/**
 * Shows the accepted version and the version of each member.
 *
 * @param session The operator's connections.
 * @param output Receives the report.
 * @returns The exit code; `Unavailable` if a member lacks the version.
 *
 * @example
 * ```ts ignore
 * await status(session, output);
 * ```
 */
export async function status(
  session: OperatorSession,
  output: Output,
): Promise<ExitCode> {
  const stored = await readHead(session.store);
  if (stored.isErr()) throw stored.error;
  const version = stored.value?.head.version ?? 0;
  const survey = await session.survey();
  const missing = findMissing(survey, version);
  output.json({
    version,
    missing,
    members: survey.members.map((member) => ({
      id: member.id,
      instance: member.instance,
      domain: member.domain,
      version: member.version,
      reached: member.reached,
      state: MemberState[member.state].toLowerCase(),
      service: member.service,
      backendReady: member.backendReady,
      adoptedAtMs: member.adoptedAtMs,
    })),
  });
  output.line(`accepted version: ${version}`);
  for (const member of survey.members) {
    output.line([
      member.domain.padEnd(12),
      member.instance.padEnd(24),
      (member.reached ? `version ${member.version}` : "not reached").padEnd(14),
      MemberState[member.state].toLowerCase().padEnd(9),
      member.service || "-",
      member.backendReady ? "ready" : "not ready",
    ].join(" "));
  }
  for (const name of [...missing.members, ...missing.domains]) {
    output.line(`missing: ${name}`);
  }
  const isComplete = missing.members.length + missing.domains.length === 0;
  return isComplete ? ExitCode.Ok : ExitCode.Unavailable;
}

/**
 * Lists the accepted versions.
 *
 * @param session The operator's connections.
 * @param output Receives the list.
 * @returns The exit code.
 *
 * @example
 * ```ts ignore
 * await history(session, output);
 * ```
 */
export async function history(
  session: OperatorSession,
  output: Output,
): Promise<ExitCode> {
  const records = await readHistory(session.store);
  if (records.isErr()) throw records.error;
  output.json(records.value);
  for (const record of records.value) {
    const time = new Date(record.acceptedAtMs).toISOString();
    const digest = record.digest.slice(0, 12);
    output.line(
      `${record.version} ${time} ${digest} ${record.author} ${record.note}`,
    );
  }
  return ExitCode.Ok;
}
