import { RequestKind } from "../../protocol/mesh.ts";
import {
  type CallOutcome,
  MeshReason,
  notRunOutcome,
} from "../../protocol/mesh_call.ts";
import { CallStatus } from "../../protocol/peer_call.ts";

/** Equal findings in a row that decide about a request without an answer. */
const DECIDING_FINDINGS = 2;

/**
 * Decides about a request without an answer by what its destination says of it.
 *
 * A request that may run once is waited for as long as it may have run: it
 * cannot be sent again, and through a full link its answer, or the answer to
 * the question, may just be slow.
 *
 * @param status What the destination says; `undefined` where it says nothing.
 * @param repeated How often in a row it has said so.
 * @param kind Kind of the request.
 * @returns The outcome; `undefined` where the answer is waited for.
 *
 * @example
 * ```ts
 * silenceVerdict(CallStatus.Open, 5, RequestKind.Idempotent); // undefined
 * ```
 */
export function silenceVerdict(
  status: CallStatus | undefined,
  repeated: number,
  kind: RequestKind,
): CallOutcome | undefined {
  const isRepeatable = kind === RequestKind.Idempotent;
  const isDecided = isRepeatable && repeated >= DECIDING_FINDINGS;
  switch (status) {
    case CallStatus.Unknown:
      return notRunOutcome(MeshReason.Unreachable);
    case CallStatus.Open:
      return undefined;
    case CallStatus.Ended:
      return isDecided
        ? { kind: "unknown", reason: MeshReason.Broken }
        : undefined;
    case undefined:
      return isDecided
        ? { kind: "unknown", reason: MeshReason.Unreachable }
        : undefined;
  }
}
