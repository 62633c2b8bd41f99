import { request } from "undici";
import { readVersion } from "../coordination/config/version_records.ts";
import { compileSite } from "../coordination/config/compile_site.ts";
import { formatProblem } from "../protocol/source_document.ts";
import { FailureKind, StepError } from "../protocol/step_error.ts";
import { ConfigSnapshot } from "../state/config_snapshot.ts";
import { formatFields } from "../transport/observe/event_log.ts";
import { readConfigDirectory, toResources } from "./config_directory.ts";
import { ExitCode } from "./exit_code.ts";
import type { OperatorSession } from "./operator_session.ts";
import type { Output } from "./output.ts";

/** A call to explain. */
export interface ExplainedCall {
  readonly site: string;
  readonly caller: string;
  readonly method: string;
  readonly path: string;
  /** Admin address of a daemon whose backend servers are listed. */
  readonly daemon?: string | undefined;
}

/**
 * Explains to which route, service and backend servers a call would go.
 *
 * @param directory Configuration directory.
 * @param call The call.
 * @param output Receives the explanation.
 * @returns The exit code; `Invalid` if the call would be refused.
 *
 * @example
 * ```ts ignore
 * await explainCall("examples/association", call, output);
 * ```
 */
export async function explainCall(
  directory: string,
  call: ExplainedCall,
  output: Output,
): Promise<ExitCode> {
  const { documents, problems } = readConfigDirectory(directory);
  for (const problem of problems) output.error(formatProblem(problem));
  if (problems.length > 0) return ExitCode.Invalid;
  const config = compileSite(toResources(documents).toSource(), call.site);
  if (config.isErr()) throw config.error;
  const snapshot = new ConfigSnapshot(1, config.value);
  const route = snapshot.findRoute(call.method, call.path.split("?", 1)[0]!);
  const isApproved = route !== undefined &&
    snapshot.isApproved(call.caller, route.serviceName);
  const backends = route === undefined || call.daemon === undefined
    ? undefined
    : await readBackends(call.daemon, route.name);
  output.json({
    route: route?.name,
    service: route?.serviceName,
    rank: route?.rank,
    isApproved,
    backends,
  });
  if (route === undefined) {
    output.line(`no route matches ${call.method} ${call.path}: response 404`);
    return ExitCode.Invalid;
  }
  output.line(
    `route ${route.name}: longest matching prefix is ${route.pathPrefix}`,
  );
  output.line(
    `service ${route.serviceName}: rank ${route.rank}, ${route.service.delivery}, timeout ${route.service.timeoutMs} ms`,
  );
  output.line(
    isApproved
      ? `caller ${call.caller}: approved by ${route.service.owner}`
      : `caller ${call.caller}: not approved by ${route.service.owner}: response 403`,
  );
  for (const backend of backends ?? []) {
    output.line(`backend ${formatFields(backend).trim()}`);
  }
  return isApproved ? ExitCode.Ok : ExitCode.Invalid;
}

/**
 * Explains the decisions about a request.
 *
 * @param daemon Admin address of the daemon that the caller used.
 * @param requestId The request's id, which each response carries.
 * @param output Receives the explanation.
 * @returns The exit code; `Invalid` if the daemon has no record of the request.
 *
 * @example
 * ```ts ignore
 * await explainRequest("10.0.0.1:7004", "east-1-0a1b2c3d-4f", output);
 * ```
 */
export async function explainRequest(
  daemon: string,
  requestId: string,
  output: Output,
): Promise<ExitCode> {
  const trace = await readAdmin<{
    decisions: {
      atMs: number;
      event: string;
      fields: Record<string, string>;
    }[];
  }>(daemon, `/requests/${encodeURIComponent(requestId)}`);
  output.json(trace);
  if (trace.decisions.length === 0) {
    output.line(`${requestId}: no record on ${daemon}`);
    return ExitCode.Invalid;
  }
  for (const { atMs, event, fields } of trace.decisions) {
    const time = new Date(atMs).toISOString();
    output.line(`${time} ${event}${formatFields(fields)}`);
  }
  return ExitCode.Ok;
}

/**
 * Explains when a version was accepted and when each daemon adopted it.
 *
 * @param version The version.
 * @param session The operator's connections.
 * @param output Receives the explanation.
 * @returns The exit code.
 *
 * @example
 * ```ts ignore
 * await explainVersion(4, session, output);
 * ```
 */
export async function explainVersion(
  version: number,
  session: OperatorSession,
  output: Output,
): Promise<ExitCode> {
  const record = await readVersion(session.store, version);
  if (record.isErr()) throw record.error;
  const { members, silentDomains } = await session.survey();
  const adopted = members.map((member) => ({
    instance: member.instance,
    domain: member.domain,
    version: member.version,
    adoptedAtMs: member.version === version ? member.adoptedAtMs : undefined,
    delayMs: member.version === version
      ? member.adoptedAtMs - record.value.acceptedAtMs
      : undefined,
  }));
  output.json({ ...record.value, adopted, silentDomains });
  const time = new Date(record.value.acceptedAtMs).toISOString();
  output.line(
    `version ${version} accepted ${time} by ${record.value.author}: ${record.value.note}`,
  );
  for (const member of adopted) {
    output.line(
      member.delayMs === undefined
        ? `${member.instance}: now at version ${member.version}`
        : `${member.instance}: in force after ${member.delayMs} ms`,
    );
  }
  return ExitCode.Ok;
}

async function readBackends(
  daemon: string,
  route: string,
): Promise<Record<string, string>[]> {
  const response = await readAdmin<{
    routes: { name: string; backends: Record<string, string>[] }[];
  }>(daemon, "/routes");
  return response.routes.find((entry) => entry.name === route)
    ?.backends ?? [];
}

async function readAdmin<T>(daemon: string, path: string): Promise<T> {
  try {
    const response = await request(`http://${daemon}${path}`);
    return await response.body.json() as T;
  } catch (error) {
    throw new StepError(
      FailureKind.Unavailable,
      "read-admin",
      `Cannot query the daemon: ${String(error)}`,
      { peer: daemon, cause: error },
    );
  }
}
