import { ExitCode } from "./exit_code.ts";
import { type LogLine, readLogs } from "./log_lines.ts";
import type { Output } from "./output.ts";

/** Number of requests with the same result. */
export interface ResultCount {
  readonly route: string;
  readonly result: string;
  readonly reason: string;
  readonly instance: string;
  readonly count: number;
}

/**
 * Counts the logged requests by route, result, reason and instance.
 *
 * @param lines Events of the logs.
 * @returns The counts, largest first.
 *
 * @example
 * ```ts ignore
 * countResults(readLogs(["east-1.log"]))[0]?.reason;
 * ```
 */
export function countResults(lines: readonly LogLine[]): ResultCount[] {
  const counts = new Map<string, ResultCount>();
  for (const { event, fields } of lines) {
    if (event !== "request-ended") continue;
    const { route = "", result = "", instance = "" } = fields;
    const reason = fields.reason ?? fields.status ?? "";
    const key = [route, result, reason, instance].join("\n");
    const count = (counts.get(key)?.count ?? 0) + 1;
    counts.set(key, { route, result, reason, instance, count });
  }
  return [...counts.values()].sort((a, b) => b.count - a.count);
}

/**
 * Writes the results of the logged requests with their counts.
 *
 * @param files Paths of the logs; standard input if empty.
 * @param output Receives the counts.
 * @returns The exit code.
 *
 * @example
 * ```ts ignore
 * summarizeLogs(["east-1.log"], output);
 * ```
 */
export function summarizeLogs(
  files: readonly string[],
  output: Output,
): ExitCode {
  const counts = countResults(readLogs(files));
  output.json(counts);
  for (const { count, result, reason, route, instance } of counts) {
    output.line(`${count} ${result} ${reason} route=${route} ${instance}`);
  }
  return ExitCode.Ok;
}
