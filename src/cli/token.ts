import { randomBytes } from "node:crypto";
import { sha256Hex } from "../protocol/canonical_json.ts";
import { ExitCode } from "./exit_code.ts";
import type { Output } from "./output.ts";

/** Number of random bytes in a caller's token. */
const TOKEN_BYTES = 32;

/**
 * Generates a caller's credential: a token for the caller, and its digest for
 * the base file.
 *
 * @param output Receives the token and the digest.
 * @returns The exit code.
 *
 * @example
 * ```ts ignore
 * makeToken(openOutput(true));
 * ```
 */
export function makeToken(output: Output): ExitCode {
  const token = randomBytes(TOKEN_BYTES).toString("base64url");
  const digest = sha256Hex(token);
  output.json({ token, digest });
  output.line(`token:  ${token}`);
  output.line(`digest: ${digest}`);
  return ExitCode.Ok;
}
