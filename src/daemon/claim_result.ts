import {
  type ClaimResponse,
  ClaimState,
  type StoredAnswer,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import {
  notRun,
  Reason,
  type Refusal,
  unknownOutcome,
} from "../protocol/outcome.ts";

/** What the answer to a claim means for its call. */
export type ClaimResult =
  | { readonly kind: "granted" }
  /** The request ran before; its answer is given again. */
  | { readonly kind: "replay"; readonly answer: StoredAnswer }
  | {
    readonly kind: "refused";
    readonly refusal: Refusal;
    /** Whether the claim may be held all the same, and has to be released. */
    readonly mayBeHeld: boolean;
  };

/**
 * Tells what the answer to a claim means for its call.
 *
 * @param response The answer.
 * @returns Whether the call may run, and what it is answered where it may not.
 *
 * @example
 * ```ts ignore
 * const verdict = verdictOf(await claims.claim(call));
 * ```
 */
export function interpretClaimResponse(response: ClaimResponse): ClaimResult {
  switch (response.state) {
    case ClaimState.GRANTED:
      return { kind: "granted" };
    case ClaimState.DONE:
      return { kind: "replay", answer: response.answer! };
    case ClaimState.HELD:
      return response.contentDiffers
        ? refused(notRun(Reason.KeyReused))
        : refused(unknownOutcome(Reason.KeyHeld));
    case ClaimState.REFUSED:
      return response.reason === Reason.KeyExpired
        ? refused(unknownOutcome(Reason.KeyExpired))
        : refused(notRun(Reason.ClaimUnavailable));
    case ClaimState.UNKNOWN:
    case ClaimState.UNSPECIFIED:
      // The claim may be held, but this daemon will not run the request.
      return refused(notRun(Reason.ClaimUnavailable), true);
  }
}

function refused(refusal: Refusal, mayBeHeld = false): ClaimResult {
  return { kind: "refused", refusal, mayBeHeld };
}
