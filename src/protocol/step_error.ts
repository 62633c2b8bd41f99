/** Classes of failure, by what the receiver of the error may do. */
export enum FailureKind {
  /** The input is wrong; trying again is of no use. */
  Invalid = "invalid",
  /** The peer did not take the request; nothing happened. */
  Unavailable = "unavailable",
  /** The request may have taken effect. */
  Ambiguous = "ambiguous",
  /** The peer's state ruled the request out. */
  Conflict = "conflict",
}

/** Optional fields of a {@linkcode StepError}. */
export interface StepErrorOptions {
  /** Address or name of the peer at which the failure arose. */
  peer?: string;
  /** The error that led to this one. */
  cause?: unknown;
}

/**
 * An error that carries the step and the peer at which it arose.
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
   * @param kind What the receiver may do.
   * @param step The step that failed, in kebab case.
   * @param message "Cannot do X: reason".
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
