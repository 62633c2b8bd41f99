import { Buffer } from "node:buffer";

/** Largest frame that is taken, in bytes. */
const MAX_FRAME_BYTES = 32 * 1024 * 1024;
/** Length, kind, call and length of the head, in bytes. */
const PREFIX_BYTES = 13;
const LENGTH_BYTES = 4;
const KIND_AT = 4;
const CALL_AT = 5;
const HEAD_LENGTH_AT = 9;
const NO_BODY = Buffer.alloc(0);

/** What a frame between two daemons says. */
export enum FrameKind {
  /** A request to execute. */
  Call = 1,
  /** The result of a request. */
  Result = 2,
  /** The sender no longer waits for a request. */
  Cancel = 3,
  /** Asks for a sign of life. */
  Ping = 4,
  /** Answers a ping: all that was sent before it has been read. */
  Pong = 5,
}

/** One message of a connection that carries many requests at a time. */
export interface Frame {
  readonly kind: FrameKind;
  /** Number of the request or the ping on its connection. */
  readonly call: number;
  readonly head: string;
  readonly body: Buffer;
}

/**
 * Encodes a frame.
 *
 * @param kind What it says.
 * @param call Number of the request or the ping.
 * @param content Head and body, where it has them.
 * @returns Its bytes.
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
  const { head = "", body = NO_BODY } = content;
  const headBytes = Buffer.byteLength(head);
  const frame = Buffer.allocUnsafe(PREFIX_BYTES + headBytes + body.length);
  frame.writeUInt32BE(frame.length - LENGTH_BYTES, 0);
  frame.writeUInt8(kind, KIND_AT);
  frame.writeUInt32BE(call, CALL_AT);
  frame.writeUInt32BE(headBytes, HEAD_LENGTH_AT);
  frame.write(head, PREFIX_BYTES);
  body.copy(frame, PREFIX_BYTES + headBytes);
  return frame;
}

/**
 * Parts the bytes of a connection into frames.
 *
 * @example
 * ```ts ignore
 * for (const frame of reader.push(chunk)) handle(frame);
 * ```
 */
export class FrameReader {
  #chunks: Buffer[] = [];
  #sizeBytes = 0;
  /** Bytes needed for the next frame, as far as they are known. */
  #neededBytes = PREFIX_BYTES;

  /**
   * Takes in bytes.
   *
   * @param chunk The bytes.
   * @returns The frames that are whole now.
   * @throws {RangeError} If the bytes are no frames.
   */
  push(chunk: Buffer): Frame[] {
    this.#chunks.push(chunk);
    this.#sizeBytes += chunk.length;
    if (this.#sizeBytes < this.#neededBytes) return [];
    let rest = this.#chunks.length === 1 ? chunk : Buffer.concat(this.#chunks);
    const frames: Frame[] = [];
    while (rest.length >= PREFIX_BYTES) {
      const endAt = frameBytes(rest);
      if (rest.length < endAt) break;
      frames.push(decodeFrame(rest.subarray(0, endAt)));
      rest = rest.subarray(endAt);
    }
    this.#chunks = rest.length === 0 ? [] : [rest];
    this.#sizeBytes = rest.length;
    this.#neededBytes = rest.length < PREFIX_BYTES
      ? PREFIX_BYTES
      : frameBytes(rest);
    return frames;
  }
}

/** Size of the frame that starts the bytes, which hold its prefix. */
function frameBytes(bytes: Buffer): number {
  const sizeBytes = bytes.readUInt32BE(0) + LENGTH_BYTES;
  if (sizeBytes < PREFIX_BYTES || sizeBytes > MAX_FRAME_BYTES) {
    throw new RangeError(`Cannot read a frame: ${sizeBytes} bytes long`);
  }
  return sizeBytes;
}

function decodeFrame(bytes: Buffer): Frame {
  const kind = bytes.readUInt8(KIND_AT);
  if (kind < FrameKind.Call || kind > FrameKind.Pong) {
    throw new RangeError(`Cannot read a frame: kind ${kind} is unknown`);
  }
  const bodyAt = PREFIX_BYTES + bytes.readUInt32BE(HEAD_LENGTH_AT);
  if (bodyAt > bytes.length) {
    throw new RangeError("Cannot read a frame: its head is longer than itself");
  }
  return {
    kind,
    call: bytes.readUInt32BE(CALL_AT),
    head: bytes.toString("utf8", PREFIX_BYTES, bodyAt),
    // A copy, as the chunk that it lies in may hold much more.
    body: bodyAt === bytes.length
      ? NO_BODY
      : Buffer.from(bytes.subarray(bodyAt)),
  };
}
