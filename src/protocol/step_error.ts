/** Classes of failure, by how the caller may react. */
export enum FailureKind {
  /** The input is wrong; a retry cannot succeed. */
  Invalid = "invalid",
  /** The peer did not accept the request, which had no effect. */
  Unavailable = "unavailable",
  /** The request may have taken effect. */
  Ambiguous = "ambiguous",
  /** The request conflicts with the current state of the peer. */
  Conflict = "conflict",
}

/** Optional fields of a {@linkcode StepError}. */
export interface StepErrorOptions {
  /** Address or name of the peer at which the step failed. */
  peer?: string;
  /** The error that caused this one. */
  cause?: unknown;
}

/**
 * An error that names the step that failed and the peer at which it failed.
 *
 * @example
 * ```ts
 * const error = new StepError(FailureKind.Invalid, "parse-settings", "Cannot parse settings: empty file");
 * error.step; // "parse-settings"
 * ```
 */
export class StepError extends Error {
  readonly kind: FailureKind;
  readonly step: string;
  readonly peer: string;

  /**
   * Creates an error.
   *
   * @param kind Class of the failure.
   * @param step The step that failed, in kebab case.
   * @param message Message of the form "Cannot do X: reason".
   * @param options Peer and cause.
   */
  constructor(
    kind: FailureKind,
    step: string,
    message: string,
    options: StepErrorOptions = {},
  ) {
    super(message, { cause: options.cause });
    this.name = "StepError";
    this.kind = kind;
    this.step = step;
    this.peer = options.peer ?? "local";
  }
}

/**
 * Returns the message of a thrown value.
 *
 * @param error Anything that was thrown.
 * @returns Its message.
 *
 * @example
 * ```ts
 * messageOf(new Error("no")); // "no"
 * ```
 */
export function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
