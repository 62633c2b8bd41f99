import { readFileSync } from "node:fs";
import {
  findNodeAtLocation,
  getLocation,
  getNodePath,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { getNodeValue } from "jsonc-parser";
import type * as z from "zod";
import type { Json } from "./canonical_json.ts";
import { FailureKind, messageOf, StepError } from "./step_error.ts";

/** Path to a value inside a document. */
export type JsonPath = (string | number)[];

/** Position of a value in a source file. */
export interface SourcePosition {
  readonly file: string;
  /** Line, from 1. */
  readonly line: number;
  /** Column, from 1. */
  readonly column: number;
  /** Path to the value, which may be absent; empty for the whole file. */
  readonly path: JsonPath;
}

/** A problem in a source file, with its position. */
export interface Problem extends SourcePosition {
  readonly message: string;
}

/** An error that names the source file or folder that cannot be used. */
export class SourceError extends StepError {
  readonly file: string;

  /**
   * Creates an error.
   *
   * @param file Path of the file or folder.
   * @param step The step that failed, in kebab case.
   * @param message Message of the form "Cannot do X: reason".
   * @param options The error that caused this one.
   */
  constructor(
    file: string,
    step: string,
    message: string,
    options: { cause?: unknown } = {},
  ) {
    super(FailureKind.Invalid, step, message, options);
    this.name = "SourceError";
    this.file = file;
  }
}

/** Largest source file that is read, in bytes. */
export const MAX_SOURCE_BYTES = 8 * 1024 * 1024;

/**
 * A JSON file with comments that knows the position of each value.
 *
 * @example
 * ```ts
 * const document = SourceDocument.parse("a.jsonc", '{ "a": 1 }');
 * document.value; // { a: 1 }
 * ```
 */
export class SourceDocument {
  readonly file: string;
  readonly value: Json;
  readonly problems: readonly Problem[];
  /** Offset of the first character of each line. */
  readonly #lineOffsets: readonly number[];
  readonly #tree: Node | undefined;

  private constructor(file: string, text: string) {
    const errors: ParseError[] = [];
    this.file = file;
    this.#lineOffsets = findLineOffsets(text);
    this.#tree = parseTree(text, errors, { allowTrailingComma: true });
    this.value = this.#tree === undefined ? null : getNodeValue(this.#tree);
    this.problems = [
      ...errors.map((error) =>
        this.#problemAtOffset(
          error.offset,
          // The last step is empty where a key is expected.
          getLocation(text, error.offset).path.filter((step) => step !== ""),
          `Cannot parse ${file}: ${printParseErrorCode(error.error)}`,
        )
      ),
      ...this.#findDuplicateKeys(this.#tree),
    ];
  }

  /**
   * Parses JSON with comments.
   *
   * @param file File name used in messages.
   * @param text JSON with comments.
   * @returns The document; {@linkcode problems} lists syntax errors.
   */
  static parse(file: string, text: string): SourceDocument {
    return new SourceDocument(file, text);
  }

  /**
   * Reads and parses a file.
   *
   * @param file Path of the file.
   * @returns The document.
   * @throws {SourceError} If the file cannot be read or is too large.
   */
  static read(file: string): SourceDocument {
    const text = readSource(file);
    if (text.length > MAX_SOURCE_BYTES) {
      throw new SourceError(
        file,
        "read-source",
        `Cannot read ${file}: ${text.length} bytes are over the limit of ${MAX_SOURCE_BYTES}`,
      );
    }
    return new SourceDocument(file, text);
  }

  /**
   * Creates a problem at a value, or at its closest parent that exists.
   *
   * @param path Path to the value.
   * @param message What is wrong.
   * @returns The problem with line and column.
   */
  problemAt(path: JsonPath, message: string): Problem {
    for (let length = path.length; length >= 0; length--) {
      const node = this.#tree &&
        findNodeAtLocation(this.#tree, path.slice(0, length));
      if (node !== undefined) {
        return this.#problemAtOffset(keyOffset(node), path, message);
      }
    }
    return this.#problemAtOffset(0, path, message);
  }

  /**
   * Returns whether the document contains a value at a path; `null` is one.
   *
   * @param path Path to the value.
   * @returns Whether the value is present.
   */
  has(path: JsonPath): boolean {
    return this.#tree !== undefined &&
      findNodeAtLocation(this.#tree, path) !== undefined;
  }

  /**
   * Checks the document against a schema.
   *
   * @param schema A schema that rejects unknown fields.
   * @returns A problem for each mismatch, with the position of the field.
   */
  check(schema: z.ZodType): Problem[] {
    const result = schema.safeParse(this.value);
    if (result.success) return [];
    return result.error.issues.flatMap((issue) => {
      const path = issue.path as JsonPath;
      if (issue.code !== "unrecognized_keys") {
        return [this.problemAt(path, describe(path, issue.message))];
      }
      return issue.keys.map((key) =>
        this.problemAt(
          [...path, key],
          describe([...path, key], "unknown field"),
        )
      );
    });
  }

  #problemAtOffset(
    offset: number,
    path: JsonPath,
    message: string,
  ): Problem {
    const line = this.#lineAt(offset);
    return {
      file: this.file,
      line,
      column: offset - this.#lineOffsets[line - 1]! + 1,
      path,
      message,
    };
  }

  /** Returns the line of an offset, from 1, by binary search. */
  #lineAt(offset: number): number {
    let low = 0;
    let high = this.#lineOffsets.length - 1;
    while (low < high) {
      const middle = Math.ceil((low + high) / 2);
      if (this.#lineOffsets[middle]! <= offset) low = middle;
      else high = middle - 1;
    }
    return low + 1;
  }

  #findDuplicateKeys(node: Node | undefined): Problem[] {
    if (node?.children === undefined) return [];
    const problems = node.children.flatMap((child) =>
      this.#findDuplicateKeys(child)
    );
    if (node.type !== "object") return problems;
    const seen = new Set<string>();
    for (const property of node.children) {
      const keyNode = property.children![0]!;
      const key = keyNode.value as string;
      if (seen.has(key)) {
        problems.push(
          this.#problemAtOffset(
            property.offset,
            getNodePath(keyNode),
            `duplicate key "${key}"`,
          ),
        );
      }
      seen.add(key);
    }
    return problems;
  }
}

function findLineOffsets(text: string): number[] {
  const offsets = [0];
  for (
    let index = text.indexOf("\n");
    index >= 0;
    index = text.indexOf("\n", index + 1)
  ) {
    offsets.push(index + 1);
  }
  return offsets;
}

function readSource(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    throw new SourceError(
      file,
      "read-source",
      `Cannot read ${file}: ${messageOf(error)}`,
      { cause: error },
    );
  }
}

function keyOffset(node: Node): number {
  return node.parent?.type === "property" ? node.parent.offset : node.offset;
}

function describe(path: JsonPath, message: string): string {
  return path.length === 0 ? message : `${path.join(".")}: ${message}`;
}

/**
 * Formats a problem as "file:line:column: message".
 *
 * @param problem The problem.
 * @returns One line.
 *
 * @example
 * ```ts
 * formatProblem({ file: "a", line: 1, column: 2, path: [], message: "m" }); // "a:1:2: m"
 * ```
 */
export function formatProblem(problem: Problem): string {
  return `${problem.file}:${problem.line}:${problem.column}: ${problem.message}`;
}
