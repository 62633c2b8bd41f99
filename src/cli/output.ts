import process from "node:process";

/** Where a command writes its result. */
export interface Output {
  /** Whether the result is JSON instead of text. */
  readonly isJson: boolean;
  /** Writes a line of text, unless the result is JSON. */
  line(text: string): void;
  /** Writes the result, if it is JSON. */
  json(value: unknown): void;
  /** Writes a message to standard error. */
  error(text: string): void;
}

/**
 * Opens the output of a command.
 *
 * @param isJson Whether the result is JSON.
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
