/** What is known about a request's execution when it is answered. */
export enum Outcome {
  /** The request did not run and never will. */
  NotRun = "not-run",
  /** The request may have run. */
  Unknown = "unknown",
  /** The request ran; the response is the backend server's. */
  Ran = "ran",
}

/** Why the system answered a request instead of a backend server. */
export enum Reason {
  NoRoute = "no-route",
  UnknownCaller = "unknown-caller",
  NotApproved = "caller-not-approved",
  NotReady = "not-ready",
  NoBackend = "no-backend",
  Draining = "draining",
  Overloaded = "overloaded",
  /** No slot is free, but another destination may have one. */
  Busy = "busy",
  CallerLimit = "caller-limit",
  DeadlineTooShort = "deadline-too-short",
  DeadlineExceeded = "deadline-exceeded",
  BodyTooLarge = "body-too-large",
  BodyCutShort = "body-cut-short",
  HeaderInvalid = "header-invalid",
  KeyRequired = "idempotency-key-required",
  KeyExpired = "idempotency-key-expired",
  KeyHeld = "idempotency-key-held",
  KeyReused = "idempotency-key-reused",
  ClaimUnavailable = "claim-unavailable",
  Quarantined = "quarantined",
  PeerUnauthorized = "peer-unauthorized",
  BackendFailed = "backend-failed",
  BackendCrashed = "backend-crashed",
  ServerError = "server-error",
  PeerFailed = "peer-failed",
  Cancelled = "cancelled",
  AnswerMismatch = "answer-mismatch",
}

const STATUS_BY_REASON: Readonly<Record<Reason, number>> = {
  [Reason.NoRoute]: 404,
  [Reason.UnknownCaller]: 401,
  [Reason.NotApproved]: 403,
  [Reason.NotReady]: 503,
  [Reason.NoBackend]: 503,
  [Reason.Draining]: 503,
  [Reason.Overloaded]: 503,
  [Reason.Busy]: 503,
  [Reason.CallerLimit]: 429,
  [Reason.DeadlineTooShort]: 503,
  [Reason.DeadlineExceeded]: 504,
  [Reason.BodyTooLarge]: 413,
  [Reason.BodyCutShort]: 400,
  [Reason.HeaderInvalid]: 400,
  [Reason.KeyRequired]: 400,
  [Reason.KeyExpired]: 409,
  [Reason.KeyHeld]: 409,
  [Reason.KeyReused]: 422,
  [Reason.ClaimUnavailable]: 503,
  [Reason.Quarantined]: 422,
  [Reason.PeerUnauthorized]: 403,
  [Reason.BackendFailed]: 502,
  [Reason.BackendCrashed]: 502,
  [Reason.ServerError]: 502,
  [Reason.PeerFailed]: 502,
  [Reason.Cancelled]: 499,
  [Reason.AnswerMismatch]: 502,
};

/**
 * Returns the HTTP status of a response that the system generates.
 *
 * @param reason Why the system responds.
 * @returns The status code.
 *
 * @example
 * ```ts
 * statusOf(Reason.NoRoute); // 404
 * ```
 */
export function statusOf(reason: Reason): number {
  return STATUS_BY_REASON[reason];
}

/** A response that the system generates instead of a backend server. */
export interface Refusal {
  readonly outcome: Outcome;
  readonly reason: Reason;
  /** Whether the sender may retry at another destination. */
  readonly isRetryable: boolean;
}

/**
 * Builds the refusal of a request that did not run.
 *
 * @param reason Why the request was refused.
 * @param isRetryable Whether another destination may accept it.
 * @returns The refusal.
 *
 * @example
 * ```ts
 * notRun(Reason.Draining, true).outcome; // Outcome.NotRun
 * ```
 */
export function notRun(reason: Reason, isRetryable = false): Refusal {
  return { outcome: Outcome.NotRun, reason, isRetryable };
}

/**
 * Builds the refusal of a request that may have run.
 *
 * @param reason Why the outcome is unknown.
 * @returns The refusal, which is never retryable.
 *
 * @example
 * ```ts
 * unknownOutcome(Reason.BackendCrashed).isRetryable; // false
 * ```
 */
export function unknownOutcome(reason: Reason): Refusal {
  return { outcome: Outcome.Unknown, reason, isRetryable: false };
}
