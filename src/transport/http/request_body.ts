import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { Buffer } from "node:buffer";
import type { CallBody } from "../../protocol/call.ts";
import { Reason } from "../../protocol/outcome.ts";
import { readBody } from "./read_body.ts";

/** Largest body that is buffered before the call is sent, in bytes. */
export const MAX_BUFFERED_BYTES = 64 * 1024;
/** Size of a streamed body's start that is kept for a retry, in bytes. */
const MAX_RETAINED_BYTES = 256 * 1024;

/** A body, or the reason for refusing it. */
export type BodyResult =
  | { readonly kind: "body"; readonly body: RequestBody }
  | { readonly kind: "refused"; readonly reason: Reason };

/**
 * The body of a caller's request, which several attempts may send.
 *
 * A short body is buffered. For a long one only the start is kept, so that a
 * retry is possible when an attempt is refused early.
 *
 * @example
 * ```ts ignore
 * const result = await RequestBody.read(request, 1024 * 1024, deadlineMs);
 * ```
 */
export class RequestBody {
  readonly #buffered: Uint8Array | undefined;
  readonly #source: IncomingMessage | undefined;
  readonly #maxBytes: number;
  #retained: Buffer[] = [];
  #consumedBytes = 0;
  #isReading = false;

  private constructor(
    buffered: Uint8Array | undefined,
    source: IncomingMessage | undefined,
    maxBytes: number,
  ) {
    this.#buffered = buffered;
    this.#source = source;
    this.#maxBytes = maxBytes;
  }

  /**
   * Reads the body of a request.
   *
   * @param request The request.
   * @param maxBytes Largest body that is accepted, in bytes.
   * @param deadlineMs Monotonic time until which a short body has to come.
   * @returns The body; a short one is already buffered.
   */
  static async read(
    request: IncomingMessage,
    maxBytes: number,
    deadlineMs: number,
  ): Promise<BodyResult> {
    const length = request.headers["content-length"];
    const isChunked = request.headers["transfer-encoding"] !== undefined;
    if (length === undefined && !isChunked) {
      return toResult(new RequestBody(new Uint8Array(), undefined, maxBytes));
    }
    const lengthBytes = length === undefined ? Infinity : Number(length);
    if (length !== undefined && lengthBytes > maxBytes) {
      return { kind: "refused", reason: Reason.BodyTooLarge };
    }
    if (lengthBytes > MAX_BUFFERED_BYTES) {
      return toResult(new RequestBody(undefined, request, maxBytes));
    }
    const read = await readBody(request, {
      maxBytes: MAX_BUFFERED_BYTES,
      deadlineMs,
    });
    switch (read.kind) {
      case "whole":
        read.release();
        return toResult(
          new RequestBody(read.body ?? new Uint8Array(), undefined, maxBytes),
        );
      case "too-large":
        return { kind: "refused", reason: Reason.BodyTooLarge };
      case "late":
        return { kind: "refused", reason: Reason.DeadlineExceeded };
      case "broken":
        return { kind: "refused", reason: Reason.BodyCutShort };
      case "refused":
        return { kind: "refused", reason: Reason.Overloaded };
    }
  }

  /** The whole body if it is short, else `undefined`. */
  get buffered(): Uint8Array | undefined {
    return this.#buffered;
  }

  /** Whether another attempt can send the body from its start. */
  get isReplayable(): boolean {
    return this.#buffered !== undefined ||
      this.#consumedBytes <= MAX_RETAINED_BYTES;
  }

  /**
   * Opens the body for an attempt. Earlier attempts must have ended.
   *
   * @returns The body.
   */
  open(): CallBody {
    if (this.#buffered !== undefined) {
      return this.#buffered.length === 0
        ? { kind: "none" }
        : { kind: "buffered", bytes: this.#buffered };
    }
    return { kind: "stream", stream: Readable.from(this.#chunks()) };
  }

  async *#chunks(): AsyncGenerator<Buffer> {
    yield* [...this.#retained];
    if (this.#isReading) throw new Error("another attempt is reading the body");
    this.#isReading = true;
    try {
      yield* this.#rest();
    } finally {
      this.#isReading = false;
    }
  }

  async *#rest(): AsyncGenerator<Buffer> {
    const iterator = this.#source!.iterator({ destroyOnReturn: false });
    for await (const chunk of iterator as AsyncIterable<Buffer>) {
      this.#consumedBytes += chunk.length;
      if (this.#consumedBytes > this.#maxBytes) {
        throw new RangeError(
          `Cannot send the body: longer than ${this.#maxBytes} bytes`,
        );
      }
      if (this.isReplayable) this.#retained.push(chunk);
      else this.#retained = [];
      yield chunk;
    }
    if (!this.#source!.complete) throw new Error("the body was truncated");
  }
}

function toResult(body: RequestBody): BodyResult {
  return { kind: "body", body };
}
