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

/** The result of a claim for its call. */
export type ClaimResult =
  | { readonly kind: "granted" }
  /** The request ran before; its stored response is sent again. */
  | { readonly kind: "replay"; readonly answer: StoredAnswer }
  | {
    readonly kind: "refused";
    readonly refusal: Refusal;
    /** Whether the claim may nevertheless be held and has to be released. */
    readonly mayBeHeld: boolean;
  };

/**
 * Interprets the response to a claim.
 *
 * @param response The response.
 * @returns Whether the call may run, and if not, how it is answered.
 *
 * @example
 * ```ts ignore
 * const result = interpretClaimResponse(await claims.claim(call));
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
        ? refuse(notRun(Reason.KeyReused))
        : refuse(unknownOutcome(Reason.KeyHeld));
    case ClaimState.REFUSED:
      return response.reason === Reason.KeyExpired
        ? refuse(unknownOutcome(Reason.KeyExpired))
        : refuse(notRun(Reason.ClaimUnavailable));
    case ClaimState.UNKNOWN:
    case ClaimState.UNSPECIFIED:
      // The claim may be held, but this daemon will not run the request.
      return refuse(notRun(Reason.ClaimUnavailable), true);
  }
}

function refuse(refusal: Refusal, mayBeHeld = false): ClaimResult {
  return { kind: "refused", refusal, mayBeHeld };
}
