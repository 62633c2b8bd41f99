import { FailureKind } from "../protocol/step_error.ts";

/** Exit codes of the command line. */
export enum ExitCode {
  Ok = 0,
  /** The input is invalid. */
  Invalid = 1,
  /** The command line is invalid. */
  Usage = 2,
  /** Another change was accepted first. */
  Conflict = 3,
  /** The store or the fleet did not respond in time. */
  Unavailable = 4,
}

/** Exit codes of `sesamepond check`. */
export enum CheckExitCode {
  Clean = 0,
  Findings = 1,
  /** The files, or the version in force, cannot be read. */
  Unreadable = 2,
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
