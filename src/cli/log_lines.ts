import { readFileSync } from "node:fs";

/** Standard input, as a file descriptor. */
const STANDARD_INPUT = 0;
/** Matches a key and its value, quoted if it has special characters. */
const PAIR = /([A-Za-z][\w-]*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** One event of a daemon's log. */
export interface LogLine {
  readonly event: string;
  readonly fields: Readonly<Record<string, string>>;
}

/**
 * Parses the lines of a log; lines without an event are skipped.
 *
 * @param text Text of one log, or of several concatenated.
 * @returns The events in the order of the text.
 *
 * @example
 * ```ts
 * parseLog('time=1 event=refused reason="a b"')[0]!.fields.reason; // "a b"
 * ```
 */
export function parseLog(text: string): LogLine[] {
  return text.split("\n").flatMap((line) => {
    const fields: Record<string, string> = {};
    for (const [, name, value] of line.matchAll(PAIR)) {
      fields[name!] = unquote(value!);
    }
    const { event } = fields;
    return event === undefined ? [] : [{ event, fields }];
  });
}

/**
 * Reads logs.
 *
 * @param files Paths of the logs; standard input if empty.
 * @returns The events of all logs, ordered by time.
 *
 * @example
 * ```ts ignore
 * const lines = readLogs(["east-1.log", "east-2.log"]);
 * ```
 */
export function readLogs(files: readonly string[]): LogLine[] {
  const texts = files.length === 0
    ? [readFileSync(STANDARD_INPUT, "utf8")]
    : files.map((file) => readFileSync(file, "utf8"));
  return texts.flatMap(parseLog).sort((a, b) =>
    (a.fields.time ?? "").localeCompare(b.fields.time ?? "")
  );
}

function unquote(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return String(JSON.parse(value));
  } catch {
    // Not quoted by the daemon: returned unchanged.
    return value;
  }
}
