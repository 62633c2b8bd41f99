import { Delivery } from "../../protocol/config_schema.ts";
import { Outcome, type Refusal } from "../../protocol/outcome.ts";
import type { Random } from "../../protocol/random.ts";

/** Longest backoff before the first retry, in ms; doubles with each retry. */
const BASE_BACKOFF_MS = 4;
/** Longest backoff before any retry, in ms. */
const MAX_BACKOFF_MS = 100;

/** A failed attempt and the state on which a retry depends. */
export interface FailedAttempt {
  readonly refusal: Refusal;
  readonly delivery: Delivery;
  /** Number of attempts so far, this one included. */
  readonly attempts: number;
  /** Retries left for the whole call tree. */
  readonly retriesLeft: number;
  /** Whether the body can be sent again. */
  readonly isReplayable: boolean;
  /** Time left until the deadline, in ms. */
  readonly remainingMs: number;
}

/** What to do after a failed attempt. */
export type RetryDecision =
  | { readonly kind: "retry"; readonly backoffMs: number }
  | { readonly kind: "answer" };

/**
 * Decides whether a failed attempt is retried elsewhere.
 *
 * Only requests that did not run, or may run twice, are retried.
 *
 * @param failed The attempt.
 * @param random Source of the jitter.
 * @returns The decision; a retry must also be allowed by the local budget.
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
  if (
    !isSafeToRetry(failed) || !failed.isReplayable || failed.retriesLeft <= 0
  ) {
    return { kind: "answer" };
  }
  const backoffCeilingMs = Math.min(
    MAX_BACKOFF_MS,
    BASE_BACKOFF_MS * 2 ** (failed.attempts - 1),
  );
  const pauseMs = Math.floor(random.fraction() * backoffCeilingMs);
  if (pauseMs >= failed.remainingMs) return { kind: "answer" };
  return { kind: "retry", backoffMs: pauseMs };
}

function isSafeToRetry({ refusal, delivery }: FailedAttempt): boolean {
  switch (refusal.outcome) {
    case Outcome.NotRun:
      return refusal.isRetryable;
    case Outcome.Unknown:
      return refusal.isRetryable && delivery === Delivery.Idempotent;
    case Outcome.Ran:
      return false;
  }
}
