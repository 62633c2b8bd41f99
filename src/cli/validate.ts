import { formatProblem } from "../protocol/source_document.ts";
import { readConfigDirectory } from "./config_directory.ts";
import { ExitCode } from "./exit_code.ts";
import type { Output } from "./output.ts";

/**
 * Checks a configuration directory without access to the store.
 *
 * @param directory Path of the directory.
 * @param output Receives the problems.
 * @returns The exit code.
 *
 * @example
 * ```ts ignore
 * validate("examples/association", openOutput(false)); // ExitCode.Ok
 * ```
 */
export function validate(directory: string, output: Output): ExitCode {
  const { documents, problems } = readConfigDirectory(directory);
  for (const problem of problems) output.error(formatProblem(problem));
  const sites = Object.keys(documents.overlays);
  output.json({ ok: problems.length === 0, problems, sites });
  if (problems.length > 0) return ExitCode.Invalid;
  output.line(`${directory}: valid for ${sites.length} sites`);
  return ExitCode.Ok;
}
