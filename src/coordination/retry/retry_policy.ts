import { Delivery } from "../../protocol/config_schema.ts";
import { Outcome, type Refusal } from "../../protocol/outcome.ts";
import type { Random } from "../../protocol/random.ts";

/** Longest pause before the first retry, in ms; it doubles with each. */
const BASE_BACKOFF_MS = 4;
/** Longest pause before any retry, in ms. */
const MAX_BACKOFF_MS = 100;

/** A failed attempt with what a retry depends on. */
export interface FailedAttempt {
  readonly refusal: Refusal;
  readonly delivery: Delivery;
  /** Attempts that were made, this one included. */
  readonly attempts: number;
  /** Retries left to the whole call tree. */
  readonly retriesLeft: number;
  /** Whether the body can be sent again. */
  readonly replayable: boolean;
  /** Time left until the deadline, in ms. */
  readonly remainingMs: number;
}

/** What to do after a failed attempt. */
export type RetryDecision =
  | { readonly kind: "retry"; readonly pauseMs: number }
  | { readonly kind: "answer" };

/**
 * Decides whether a failed attempt may be made again elsewhere.
 *
 * Only what did not run, or may run twice, is tried again.
 *
 * @param failed The attempt.
 * @param random Source of the jitter.
 * @returns The decision; the local budget has to agree to a retry.
 *
 * @example
 * ```ts ignore
 * const decision = decideRetry(failed, random);
 * ```
 */
export function decideRetry(
  failed: FailedAttempt,
  random: Random,
): RetryDecision {
  if (!mayRunAgain(failed) || !failed.replayable || failed.retriesLeft <= 0) {
    return { kind: "answer" };
  }
  const ceilingMs = Math.min(
    MAX_BACKOFF_MS,
    BASE_BACKOFF_MS * 2 ** (failed.attempts - 1),
  );
  const pauseMs = Math.floor(random.fraction() * ceilingMs);
  if (pauseMs >= failed.remainingMs) return { kind: "answer" };
  return { kind: "retry", pauseMs };
}

function mayRunAgain({ refusal, delivery }: FailedAttempt): boolean {
  switch (refusal.outcome) {
    case Outcome.NotRun:
      return refusal.isRetryable;
    case Outcome.Unknown:
      return refusal.isRetryable && delivery === Delivery.Idempotent;
    case Outcome.Ran:
      return false;
  }
}
