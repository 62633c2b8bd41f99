import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import { setImmediate as nextIteration } from "node:timers/promises";

/** How a {@linkcode BodySender} sends its body. */
export enum BodyForm {
  /** Declared length, all bytes. */
  Whole = "whole",
  /** Declared length, one byte short, connection left open. */
  OneByteShort = "one byte short",
  /** The same in writes of 1 kB. */
  Pieces = "piece by piece",
  /** Chunks of 64 KiB without an end, connection left open. */
  LargeChunks = "large chunks without an end",
  /** Chunks of one byte without an end, connection left open. */
  TinyChunks = "chunks of one byte without an end",
  /** Declared length beyond the limit. */
  AnnouncedBeyondLimit = "beyond the limit, announced",
  /** Chunks far beyond the limit. */
  UnannouncedBeyondLimit = "beyond the limit, not announced",
}

/** Body that is at the limit, in bytes. */
export const LIMIT_BYTES = 16 * 1024 * 1024;
/** Body beyond the limit, in bytes. */
const BEYOND_LIMIT_BYTES = 4 * LIMIT_BYTES;
/** Bytes of a body that comes in chunks of one byte. */
const TINY_CHUNKS = 4 * 1024 * 1024;
const WRITE_BYTES = 64 * 1024;
const PIECE_BYTES = 1024;
const WRITE = Buffer.alloc(WRITE_BYTES, "x");
const PIECE = Buffer.alloc(PIECE_BYTES, "x");
const LARGE_CHUNK = Buffer.concat([
  Buffer.from(`${WRITE_BYTES.toString(16)}\r\n`),
  WRITE,
  Buffer.from("\r\n"),
]);
const TINY_CHUNKS_PER_WRITE = 8 * 1024;
const TINY_CHUNK_BLOCK = Buffer.from(
  "1\r\nx\r\n".repeat(TINY_CHUNKS_PER_WRITE),
);

/**
 * A client that sends one large request over a connection of its own, and
 * leaves the connection open.
 *
 * @example
 * ```ts ignore
 * const sender = new BodySender(port, "127.0.0.1");
 * await sender.send("POST / HTTP/1.1\r\nhost: a\r\n", BodyForm.Whole);
 * sender.close();
 * ```
 */
export class BodySender {
  readonly #socket: Socket;

  /** Opens a connection. */
  constructor(port: number, host: string) {
    this.#socket = connect(port, host);
    this.#socket.setNoDelay(true);
    this.#socket.on("error", () => {
      // The server may reset the connection, which ends the sending.
    });
    this.#socket.resume();
  }

  /**
   * Sends a request.
   *
   * @param head Request line and headers without the framing.
   * @param form How the body is sent.
   * @returns A promise that resolves once all is written or the server has
   * closed the connection.
   */
  async send(head: string, form: BodyForm): Promise<void> {
    await this.write(Buffer.from(head + formatFraming(form) + "\r\n"));
    switch (form) {
      case BodyForm.Whole:
        return await this.repeat(WRITE, LIMIT_BYTES);
      case BodyForm.OneByteShort:
        return await this.repeat(WRITE, LIMIT_BYTES - 1);
      case BodyForm.Pieces:
        return await this.repeat(PIECE, LIMIT_BYTES - 1, true);
      case BodyForm.LargeChunks:
        return await this.#writeTimes(LARGE_CHUNK, LIMIT_BYTES / WRITE_BYTES);
      case BodyForm.TinyChunks:
        return await this.#writeTimes(
          TINY_CHUNK_BLOCK,
          TINY_CHUNKS / TINY_CHUNKS_PER_WRITE,
        );
      case BodyForm.AnnouncedBeyondLimit:
        return await this.repeat(WRITE, BEYOND_LIMIT_BYTES);
      case BodyForm.UnannouncedBeyondLimit:
        return await this.#writeTimes(
          LARGE_CHUNK,
          BEYOND_LIMIT_BYTES / WRITE_BYTES,
        );
    }
  }

  /** Writes a number of bytes in pieces, the last of which may be shorter. */
  async repeat(piece: Buffer, bytes: number, isSlow = false): Promise<void> {
    for (let left = bytes; left > 0 && this.isOpen; left -= piece.length) {
      await this.write(piece.subarray(0, Math.min(left, piece.length)));
      if (isSlow && left % WRITE_BYTES < piece.length) await nextIteration();
    }
  }

  /** Writes bytes and waits while the connection takes no more. */
  async write(bytes: Buffer): Promise<void> {
    if (!this.isOpen || this.#socket.write(bytes)) return;
    await new Promise<void>((resolve) => {
      const settle = () => {
        this.#socket.off("drain", settle);
        this.#socket.off("close", settle);
        resolve();
      };
      this.#socket.on("drain", settle);
      this.#socket.on("close", settle);
    });
  }

  /** Whether the connection is not closed. */
  get isOpen(): boolean {
    return !this.#socket.destroyed && this.#socket.writable;
  }

  /** Closes the connection. */
  close(): void {
    this.#socket.destroy();
  }

  async #writeTimes(bytes: Buffer, times: number): Promise<void> {
    for (let index = 0; index < times && this.isOpen; index++) {
      await this.write(bytes);
    }
  }
}

function formatFraming(form: BodyForm): string {
  switch (form) {
    case BodyForm.Whole:
    case BodyForm.OneByteShort:
    case BodyForm.Pieces:
      return `content-length: ${LIMIT_BYTES}\r\n`;
    case BodyForm.AnnouncedBeyondLimit:
      return `content-length: ${BEYOND_LIMIT_BYTES}\r\n`;
    case BodyForm.LargeChunks:
    case BodyForm.TinyChunks:
    case BodyForm.UnannouncedBeyondLimit:
      return "transfer-encoding: chunked\r\n";
  }
}
