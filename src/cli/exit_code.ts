import { FailureKind } from "../protocol/step_error.ts";

/** Exit codes of the command line. */
export enum ExitCode {
  Ok = 0,
  /** The input was refused. */
  Invalid = 1,
  /** The command was used wrongly. */
  Usage = 2,
  /** Another operator came first. */
  Conflict = 3,
  /** The store or the fleet did not answer in time. */
  Unavailable = 4,
}

/**
 * Returns the exit code for a failure.
 *
 * @param kind Class of the failure.
 * @returns The code.
 *
 * @example
 * ```ts
 * exitCodeOf(FailureKind.Conflict); // ExitCode.Conflict
 * ```
 */
export function exitCodeOf(kind: FailureKind): ExitCode {
  switch (kind) {
    case FailureKind.Invalid:
      return ExitCode.Invalid;
    case FailureKind.Conflict:
      return ExitCode.Conflict;
    case FailureKind.Unavailable:
    case FailureKind.Ambiguous:
      return ExitCode.Unavailable;
  }
}
