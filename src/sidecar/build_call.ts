import type { MeshCall } from "../protocol/mesh_call.ts";
import type { CallDescription } from "../protocol/peer_call.ts";

/**
 * Builds a call from the request of another daemon. Deadlines count from the
 * arrival of the head, not of the whole body.
 *
 * @param parts The parts of the request, and when its head arrived.
 * @returns The call.
 *
 * @example
 * ```ts ignore
 * const call = buildCall({ ...parts, description, arrivedAtMs });
 * ```
 */
export function buildCall(
  parts: Pick<MeshCall, "method" | "path" | "headers" | "body"> & {
    readonly description: CallDescription;
    readonly arrivedAtMs: number;
  },
): MeshCall {
  const { description, arrivedAtMs } = parts;
  // Fields are listed one by one, since an object spread is far slower.
  return {
    id: description.id,
    method: parts.method,
    path: parts.path,
    headers: parts.headers,
    body: parts.body,
    route: description.route,
    kind: description.kind,
    priority: description.priority,
    callerService: description.callerService,
    service: description.service,
    backendId: description.backendId,
    deadlineMs: arrivedAtMs + description.remainingMs,
    objectiveAtMs: arrivedAtMs + description.objectiveInMs,
    namedLimitPerS: description.namedLimitPerS,
    evidence: description.evidence,
    organisation: description.organisation,
    organisationPriority: description.organisationPriority,
    isSubcall: description.isSubcall,
  };
}
