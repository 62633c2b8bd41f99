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
  #chunks: Buffer[] = [];
  #sizeBytes = 0;
  /** Bytes needed for the next frame; its prefix until its length is known. */
  #neededBytes = PREFIX_BYTES;

  /**
   * Adds received bytes.
   *
   * @param chunk The bytes.
   * @returns The frames that are complete now.
   * @throws {RangeError} If a frame is malformed or too large.
   */
  push(chunk: Buffer): Frame[] {
    this.#chunks.push(chunk);
    this.#sizeBytes += chunk.length;
    if (this.#sizeBytes < this.#neededBytes) return [];
    let rest = this.#chunks.length === 1 ? chunk : Buffer.concat(this.#chunks);
    const frames: Frame[] = [];
    while (rest.length >= PREFIX_BYTES) {
      const endOffset = readFrameSize(rest);
      if (rest.length < endOffset) break;
      frames.push(decodeFrame(rest.subarray(0, endOffset)));
      rest = rest.subarray(endOffset);
    }
    this.#chunks = rest.length === 0 ? [] : [rest];
    this.#sizeBytes = rest.length;
    this.#neededBytes = rest.length < PREFIX_BYTES
      ? PREFIX_BYTES
      : readFrameSize(rest);
    return frames;
  }
}

/** Returns the size of the first frame; the bytes must contain its prefix. */
function readFrameSize(bytes: Buffer): number {
  const sizeBytes = bytes.readUInt32BE(0) + LENGTH_BYTES;
  if (sizeBytes < PREFIX_BYTES || sizeBytes > MAX_FRAME_BYTES) {
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
