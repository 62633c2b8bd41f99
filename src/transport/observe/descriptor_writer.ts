import { Buffer } from "node:buffer";
import { closeSync, openSync, writeSync } from "node:fs";

/** Limit on the unwritten text, in bytes; the oldest is dropped beyond it. */
const MAX_UNWRITTEN_BYTES = 4 * 1024 * 1024;
const STANDARD_OUTPUT = 1;
const LAST_STANDARD_DESCRIPTOR = 2;

/**
 * Writes text to a file descriptor and keeps what does not fit for later.
 *
 * @example
 * ```ts ignore
 * new DescriptorWriter().write("event=started\n");
 * ```
 */
export class DescriptorWriter {
  readonly #descriptor: number;
  #unwritten = Buffer.alloc(0);

  /**
   * Opens a writer.
   *
   * @param file File to append to; standard output if omitted.
   */
  constructor(file?: string) {
    this.#descriptor = file === undefined
      ? STANDARD_OUTPUT
      : openSync(file, "a");
  }

  /**
   * Writes as much text as the descriptor accepts.
   *
   * @param text The text.
   */
  write(text: string): void {
    this.#unwritten = Buffer.concat([this.#unwritten, Buffer.from(text)])
      .subarray(-MAX_UNWRITTEN_BYTES);
    try {
      while (this.#unwritten.length > 0) this.#writeSome();
    } catch {
      // The pipe is full: the next write() tries again.
    }
  }

  /** Closes the file, if it is one. */
  close(): void {
    if (this.#descriptor > LAST_STANDARD_DESCRIPTOR) {
      closeSync(this.#descriptor);
    }
  }

  /** A pipe may accept only a part of the text. */
  #writeSome(): void {
    const sizeBytes = writeSync(this.#descriptor, this.#unwritten);
    this.#unwritten = this.#unwritten.subarray(sizeBytes);
  }
}
