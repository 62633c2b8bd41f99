import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { Buffer } from "node:buffer";
import type { CallBody } from "../../protocol/call.ts";
import { Reason } from "../../protocol/outcome.ts";

/** Largest body that is read whole before the call goes out, in bytes. */
export const MAX_BUFFERED_BYTES = 64 * 1024;
/** Start of a streamed body that is kept for another attempt, in bytes. */
const MAX_RETAINED_BYTES = 256 * 1024;

/** A body, or why it can not be taken. */
export type BodyResult =
  | { readonly kind: "body"; readonly body: RequestBody }
  | { readonly kind: "refused"; readonly reason: Reason };

/**
 * The body of a caller's request, which several attempts may send.
 *
 * A short body is read whole. Of a long one the start is kept, so that an
 * attempt that was refused early can be followed by another.
 *
 * @example
 * ```ts ignore
 * const result = await RequestBody.read(request, 1024 * 1024);
 * ```
 */
export class RequestBody {
  readonly #whole: Uint8Array | undefined;
  readonly #source: IncomingMessage | undefined;
  readonly #maxBytes: number;
  #retained: Buffer[] = [];
  #consumedBytes = 0;
  #reading = false;

  private constructor(
    whole: Uint8Array | undefined,
    source: IncomingMessage | undefined,
    maxBytes: number,
  ) {
    this.#whole = whole;
    this.#source = source;
    this.#maxBytes = maxBytes;
  }

  /**
   * Takes the body of a request.
   *
   * @param request The request.
   * @param maxBytes Largest body that is accepted.
   * @returns The body; a short one has been read whole.
   */
  static async read(
    request: IncomingMessage,
    maxBytes: number,
  ): Promise<BodyResult> {
    const length = request.headers["content-length"];
    const isChunked = request.headers["transfer-encoding"] !== undefined;
    if (length === undefined && !isChunked) {
      return accept(new RequestBody(new Uint8Array(), undefined, maxBytes));
    }
    const lengthBytes = length === undefined ? Infinity : Number(length);
    if (length !== undefined && lengthBytes > maxBytes) {
      return { kind: "refused", reason: Reason.BodyTooLarge };
    }
    if (lengthBytes > MAX_BUFFERED_BYTES) {
      return accept(new RequestBody(undefined, request, maxBytes));
    }
    const whole = await readWhole(request);
    return whole === undefined
      ? { kind: "refused", reason: Reason.BodyCutShort }
      : accept(new RequestBody(whole, undefined, maxBytes));
  }

  /** The whole body where it was short. */
  get buffered(): Uint8Array | undefined {
    return this.#whole;
  }

  /** Whether another attempt can send the body from its start. */
  get isReplayable(): boolean {
    return this.#whole !== undefined ||
      this.#consumedBytes <= MAX_RETAINED_BYTES;
  }

  /**
   * Opens the body for an attempt; an earlier attempt must have ended.
   *
   * @returns The body.
   */
  open(): CallBody {
    if (this.#whole !== undefined) {
      return this.#whole.length === 0
        ? { kind: "none" }
        : { kind: "buffered", bytes: this.#whole };
    }
    return { kind: "stream", stream: Readable.from(this.#chunks()) };
  }

  async *#chunks(): AsyncGenerator<Buffer> {
    yield* [...this.#retained];
    if (this.#reading) throw new Error("another attempt reads the body");
    this.#reading = true;
    try {
      yield* this.#rest();
    } finally {
      this.#reading = false;
    }
  }

  async *#rest(): AsyncGenerator<Buffer> {
    const iterator = this.#source!.iterator({ destroyOnReturn: false });
    for await (const chunk of iterator as AsyncIterable<Buffer>) {
      this.#consumedBytes += chunk.length;
      if (this.#consumedBytes > this.#maxBytes) {
        throw new RangeError(
          `Cannot take the body: over ${this.#maxBytes} bytes`,
        );
      }
      if (this.isReplayable) this.#retained.push(chunk);
      else this.#retained = [];
      yield chunk;
    }
    if (!this.#source!.complete) throw new Error("the body was cut short");
  }
}

function accept(body: RequestBody): BodyResult {
  return { kind: "body", body };
}

async function readWhole(
  request: IncomingMessage,
): Promise<Uint8Array | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer);
  } catch {
    return undefined;
  }
  return request.complete ? Buffer.concat(chunks) : undefined;
}
