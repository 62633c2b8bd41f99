import { Buffer } from "node:buffer";
import { closeSync, openSync, writeSync } from "node:fs";

/** Text beyond this size is dropped, oldest first, in bytes. */
const MAX_UNWRITTEN_BYTES = 4 * 1024 * 1024;
const STANDARD_OUTPUT = 1;
const LAST_STANDARD_DESCRIPTOR = 2;

/**
 * Writes to a file descriptor; what does not fit now stays for later.
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
   * @param file File to append to; standard output where absent.
   */
  constructor(file?: string) {
    this.#descriptor = file === undefined
      ? STANDARD_OUTPUT
      : openSync(file, "a");
  }

  /**
   * Writes as much as the descriptor takes.
   *
   * @param text The text.
   */
  write(text: string): void {
    this.#unwritten = Buffer.concat([this.#unwritten, Buffer.from(text)])
      .subarray(-MAX_UNWRITTEN_BYTES);
    try {
      while (this.#unwritten.length > 0) this.#writeSome();
    } catch {
      // A full pipe: the text stays for the next write.
    }
  }

  /** Closes the file, if it is one. */
  close(): void {
    if (this.#descriptor > LAST_STANDARD_DESCRIPTOR) {
      closeSync(this.#descriptor);
    }
  }

  /** A pipe may take a part only. */
  #writeSome(): void {
    const sizeBytes = writeSync(this.#descriptor, this.#unwritten);
    this.#unwritten = this.#unwritten.subarray(sizeBytes);
  }
}
