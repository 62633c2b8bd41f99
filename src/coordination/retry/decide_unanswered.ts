import { RequestKind } from "../../protocol/mesh.ts";
import { MeshReason } from "../../protocol/mesh_call.ts";
import { CallStatus } from "../../protocol/peer_call.ts";

/** Consecutive equal results that make an idempotent request suspected lost. */
const MIN_REPEATED_RESULTS = 2;

/** Decision about a request without a response. */
export type UnansweredDecision =
  /** Keep waiting for the response. */
  | { readonly kind: "wait" }
  /** The request did not arrive and never will. */
  | { readonly kind: "not-run" }
  /** Another destination may be tried too; the response may still arrive. */
  | { readonly kind: "doubted"; readonly reason: MeshReason };

/**
 * Decides about a request without a response from the status that its
 * destination reports.
 *
 * A status query without a response never ends a request: a destination that is
 * starved of CPU, or behind a saturated link, looks like one that has crashed,
 * and its backend server may still run the request. An idempotent request is
 * suspected lost instead: it may also be sent to another destination while its
 * response is awaited.
 *
 * @param status Reported status; `undefined` if it did not respond.
 * @param repeated Number of consecutive queries with this result.
 * @param kind Kind of the request.
 * @returns The decision.
 *
 * @example
 * ```ts
 * decideUnanswered(CallStatus.Open, 5, RequestKind.Idempotent); // { kind: "wait" }
 * ```
 */
export function decideUnanswered(
  status: CallStatus | undefined,
  repeated: number,
  kind: RequestKind,
): UnansweredDecision {
  const isSuspectedLost = kind === RequestKind.Idempotent &&
    repeated >= MIN_REPEATED_RESULTS;
  switch (status) {
    case CallStatus.Unknown:
      return { kind: "not-run" };
    case CallStatus.Open:
      return { kind: "wait" };
    case CallStatus.Ended:
      return isSuspectedLost
        ? { kind: "doubted", reason: MeshReason.Broken }
        : { kind: "wait" };
    case undefined:
      return isSuspectedLost
        ? { kind: "doubted", reason: MeshReason.Unreachable }
        : { kind: "wait" };
  }
}
