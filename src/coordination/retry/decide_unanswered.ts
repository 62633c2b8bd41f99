import { RequestKind } from "../../protocol/mesh.ts";
import { MeshReason } from "../../protocol/mesh_call.ts";
import { CallStatus } from "../../protocol/peer_call.ts";

/** Equal findings in a row that put a request in doubt. */
const DECIDING_FINDINGS = 2;

/** What follows from a question about a request without an answer. */
export type UnansweredDecision =
  /** Its answer is waited for. */
  | { readonly kind: "wait" }
  /** It never arrived and never will. */
  | { readonly kind: "not-run" }
  /** It may be sent elsewhere besides; its answer may still come. */
  | { readonly kind: "doubted"; readonly reason: MeshReason };

/**
 * Decides about a request without an answer by what its destination says of it.
 *
 * Silence never ends a request: a destination without processor time, or behind
 * a full link, is as silent as one that is gone, and its backend server may be
 * at work. What may be repeated is put in doubt, and may be sent to another
 * destination while its answer is waited for.
 *
 * @param status What the destination says; `undefined` where it says nothing.
 * @param repeated How often in a row it has said so.
 * @param kind Kind of the request.
 * @returns What follows.
 *
 * @example
 * ```ts
 * silenceVerdict(CallStatus.Open, 5, RequestKind.Idempotent); // { kind: "wait" }
 * ```
 */
export function decideUnanswered(
  status: CallStatus | undefined,
  repeated: number,
  kind: RequestKind,
): UnansweredDecision {
  const isDoubted = kind === RequestKind.Idempotent &&
    repeated >= DECIDING_FINDINGS;
  switch (status) {
    case CallStatus.Unknown:
      return { kind: "not-run" };
    case CallStatus.Open:
      return { kind: "wait" };
    case CallStatus.Ended:
      return isDoubted
        ? { kind: "doubted", reason: MeshReason.Broken }
        : { kind: "wait" };
    case undefined:
      return isDoubted
        ? { kind: "doubted", reason: MeshReason.Unreachable }
        : { kind: "wait" };
  }
}
