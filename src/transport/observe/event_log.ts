import { DescriptorWriter } from "./descriptor_writer.ts";

/** Longest time for which a line is buffered, in ms. */
const FLUSH_PERIOD_MS = 100;
/** Buffer size from which lines are written immediately, in characters. */
const FLUSH_SIZE = 32 * 1024;

/** A value of a log field. */
export type LogValue = string | number | boolean | undefined;
/** Fields of a log line. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Receives batches of whole lines. */
export interface LineSink {
  write(lines: string): void;
  close(): void;
}

/** Optional settings of an {@linkcode EventLog}. */
export interface EventLogOptions {
  /** File to append to; standard output if omitted. */
  file?: string | undefined;
  /** Lowest level that is written. @default {"info"} */
  level?: string;
  /** Fields of every line. */
  fields?: LogFields;
  /** Receives the lines instead of a file or standard output. */
  sink?: LineSink;
}

/**
 * Writes one line of key=value pairs for each event.
 *
 * @example
 * ```ts ignore
 * const log = new EventLog({ fields: { instance: "east-1" } });
 * log.info("config-adopted", { version: 3 });
 * ```
 */
export class EventLog {
  readonly #sink: LineSink;
  readonly #fields: string;
  readonly #minSeverity: number;
  #batch = "";
  #timer: NodeJS.Timeout | undefined;

  /**
   * Opens a log.
   *
   * @param options File, level and common fields.
   */
  constructor(options: EventLogOptions = {}) {
    this.#fields = formatFields(options.fields ?? {});
    this.#minSeverity = SEVERITIES.indexOf(options.level ?? "info");
    this.#sink = options.sink ?? new DescriptorWriter(options.file);
  }

  /**
   * Logs an ordinary event.
   *
   * @param event Name of the event, in kebab case.
   * @param fields Its fields.
   */
  info(event: string, fields: LogFields = {}): void {
    this.#write("info", event, fields);
  }

  /**
   * Logs an event that an operator should look at.
   *
   * @param event Name of the event, in kebab case.
   * @param fields Its fields.
   */
  warn(event: string, fields: LogFields = {}): void {
    this.#write("warn", event, fields);
  }

  /**
   * Logs an event that interrupts the daemon's service.
   *
   * @param event Name of the event, in kebab case.
   * @param fields Its fields.
   */
  error(event: string, fields: LogFields = {}): void {
    this.#write("error", event, fields);
  }

  /** Writes what is buffered. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#batch === "") return;
    this.#sink.write(this.#batch);
    this.#batch = "";
  }

  /** Writes what is buffered and closes the log. */
  close(): void {
    this.flush();
    this.#sink.close();
  }

  /** Buffers lines, so that each write to the sink holds many of them. */
  #write(level: string, event: string, fields: LogFields): void {
    if (SEVERITIES.indexOf(level) > this.#minSeverity) return;
    const time = new Date().toISOString();
    this.#batch += `time=${time} level=${level} event=${event}${this.#fields}${
      formatFields(fields)
    }\n`;
    if (this.#batch.length >= FLUSH_SIZE) this.flush();
    else this.#timer ??= setTimeout(() => this.flush(), FLUSH_PERIOD_MS);
  }
}

/** Levels, most severe first. */
const SEVERITIES: readonly string[] = ["error", "warn", "info", "debug"];

/**
 * Formats fields as key=value pairs, each after a space.
 *
 * @param fields The fields; those without a value are omitted.
 * @returns The pairs; values with spaces, quotes or line breaks are quoted.
 *
 * @example
 * ```ts
 * formatFields({ a: 1, b: "x y" }); // ' a=1 b="x y"'
 * ```
 */
export function formatFields(fields: LogFields): string {
  let line = "";
  for (const name in fields) {
    const value = fields[name];
    if (value === undefined) continue;
    line += ` ${name}=${formatValue(value)}`;
  }
  return line;
}

const NEEDS_QUOTES = /[\s"=\\\p{Cc}]/u;

function formatValue(value: string | number | boolean): string {
  const text = String(value);
  return text === "" || NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
}
