import process from "node:process";

/** Receives the result of a command. */
export interface Output {
  /** Whether the result is written as JSON instead of text. */
  readonly isJson: boolean;
  /** Writes a line of text, unless the output is JSON. */
  line(text: string): void;
  /** Writes the result, if the output is JSON. */
  json(value: unknown): void;
  /** Writes a message to standard error. */
  error(text: string): void;
}

/**
 * Opens the output of a command.
 *
 * @param isJson Whether the result is written as JSON instead of text.
 * @returns The output.
 *
 * @example
 * ```ts
 * openOutput(false).isJson; // false
 * ```
 */
export function openOutput(isJson: boolean): Output {
  return {
    isJson,
    line: (text) => {
      if (!isJson) process.stdout.write(`${text}\n`);
    },
    json: (value) => {
      if (isJson) process.stdout.write(`${JSON.stringify(value)}\n`);
    },
    error: (text) => void process.stderr.write(`${text}\n`),
  };
}
