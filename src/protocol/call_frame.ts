import { Buffer } from "node:buffer";

/** Largest frame that is accepted, in bytes. */
const MAX_FRAME_BYTES = 32 * 1024 * 1024;
/** Size of length, kind, call and length of the head, in bytes. */
const PREFIX_BYTES = 13;
const LENGTH_BYTES = 4;
const KIND_OFFSET = 4;
const CALL_OFFSET = 5;
const HEAD_LENGTH_OFFSET = 9;
const EMPTY_BODY = Buffer.alloc(0);

/** Type of a frame between two daemons. */
export enum FrameKind {
  /** A request to execute. */
  Call = 1,
  /** The result of a request. */
  Result = 2,
  /** The sender no longer waits for a request. */
  Cancel = 3,
  /** Checks that the peer still reads and answers. */
  Ping = 4,
  /** Answers a ping: everything sent before the ping has been read. */
  Pong = 5,
}

/** One message on a connection that multiplexes requests. */
export interface Frame {
  readonly kind: FrameKind;
  /** Number of the request or ping, unique on its connection. */
  readonly call: number;
  readonly head: string;
  readonly body: Buffer;
}

/**
 * Encodes a frame.
 *
 * @param kind Type of the frame.
 * @param call Number of the request or ping on the connection.
 * @param content Head and body; both are empty by default.
 * @returns The encoded frame.
 *
 * @example
 * ```ts
 * encodeFrame(FrameKind.Ping, 7).length; // 13
 * ```
 */
export function encodeFrame(
  kind: FrameKind,
  call: number,
  content: { readonly head?: string; readonly body?: Buffer | undefined } = {},
): Buffer {
  const { head = "", body = EMPTY_BODY } = content;
  const headBytes = Buffer.byteLength(head);
  const frame = Buffer.allocUnsafe(PREFIX_BYTES + headBytes + body.length);
  frame.writeUInt32BE(frame.length - LENGTH_BYTES, 0);
  frame.writeUInt8(kind, KIND_OFFSET);
  frame.writeUInt32BE(call, CALL_OFFSET);
  frame.writeUInt32BE(headBytes, HEAD_LENGTH_OFFSET);
  frame.write(head, PREFIX_BYTES);
  body.copy(frame, PREFIX_BYTES + headBytes);
  return frame;
}

/**
 * Splits the byte stream of a connection into frames.
 *
 * @example
 * ```ts ignore
 * for (const frame of reader.push(chunk)) handle(frame);
 * ```
 */
export class FrameReader {
  readonly #maxBytes: number;
  /** The incomplete frame, or its prefix until its length is known. */
  #pending: Buffer | undefined;
  #filledBytes = 0;

  /**
   * Creates a reader at the start of a stream.
   *
   * @param maxBytes Largest frame that is accepted, in bytes.
   */
  constructor(maxBytes = MAX_FRAME_BYTES) {
    this.#maxBytes = maxBytes;
  }

  /**
   * Adds received bytes.
   *
   * @param chunk The bytes.
   * @returns The frames that are complete now.
   * @throws {RangeError} If a frame is malformed or too large.
   */
  push(chunk: Buffer): Frame[] {
    const frames: Frame[] = [];
    let rest = chunk;
    while (rest.length > 0) {
      const sizeBytes = this.#pending?.length ?? this.#sizeOf(rest);
      if (this.#pending === undefined && rest.length >= sizeBytes) {
        frames.push(decodeFrame(rest.subarray(0, sizeBytes)));
        rest = rest.subarray(sizeBytes);
        continue;
      }
      this.#pending ??= Buffer.allocUnsafe(sizeBytes);
      const usedBytes = rest.copy(this.#pending, this.#filledBytes);
      this.#filledBytes += usedBytes;
      rest = rest.subarray(usedBytes);
      const frame = this.#completePending();
      if (frame !== undefined) frames.push(frame);
    }
    return frames;
  }

  /** Returns the frame if all of it has come, else makes room for the rest. */
  #completePending(): Frame | undefined {
    const pending = this.#pending!;
    if (this.#filledBytes < pending.length) return undefined;
    const sizeBytes = this.#sizeOf(pending);
    if (pending.length < sizeBytes) {
      this.#pending = Buffer.allocUnsafe(sizeBytes);
      pending.copy(this.#pending);
      return undefined;
    }
    this.#pending = undefined;
    this.#filledBytes = 0;
    return decodeFrame(pending);
  }

  /** Size of the first frame; that of a prefix if the bytes contain less. */
  #sizeOf(bytes: Buffer): number {
    if (bytes.length < PREFIX_BYTES) return PREFIX_BYTES;
    return readFrameSize(bytes, this.#maxBytes);
  }
}

/** Returns the size of the first frame; the bytes must contain its prefix. */
function readFrameSize(bytes: Buffer, maxBytes: number): number {
  const sizeBytes = bytes.readUInt32BE(0) + LENGTH_BYTES;
  if (sizeBytes < PREFIX_BYTES || sizeBytes > maxBytes) {
    throw new RangeError(
      `Cannot read frame: ${sizeBytes} bytes is not a valid size`,
    );
  }
  return sizeBytes;
}

function decodeFrame(bytes: Buffer): Frame {
  const kind = bytes.readUInt8(KIND_OFFSET);
  if (kind < FrameKind.Call || kind > FrameKind.Pong) {
    throw new RangeError(`Cannot read frame: kind ${kind} is unknown`);
  }
  const bodyOffset = PREFIX_BYTES + bytes.readUInt32BE(HEAD_LENGTH_OFFSET);
  if (bodyOffset > bytes.length) {
    throw new RangeError(
      "Cannot read frame: the head extends past the end of the frame",
    );
  }
  return {
    kind,
    call: bytes.readUInt32BE(CALL_OFFSET),
    head: bytes.toString("utf8", PREFIX_BYTES, bodyOffset),
    // Copied, so that a small body does not keep a large chunk in memory.
    body: bodyOffset === bytes.length
      ? EMPTY_BODY
      : Buffer.from(bytes.subarray(bodyOffset)),
  };
}
