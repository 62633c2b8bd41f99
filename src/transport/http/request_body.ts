import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { Buffer } from "node:buffer";
import type { CallBody } from "../../protocol/call.ts";
import { Reason } from "../../protocol/outcome.ts";
import { GatheredPieces } from "./body_pieces.ts";
import { type BodyHold, PROCESS_BYTES } from "./held_bytes.ts";
import { readBody } from "./read_body.ts";

/** Largest body that is buffered before the call is sent, in bytes. */
export const MAX_BUFFERED_BYTES = 64 * 1024;
/** Size of a streamed body's start that is kept for a retry, in bytes. */
const MAX_RETAINED_BYTES = 256 * 1024;
/** A streamed body that gets fewer bytes within {@linkcode STALL_MS} stalls. */
const MIN_PROGRESS_BYTES = 16 * 1024;
/** Time spent on waiting for the sender after which a body stalls, in ms. */
const STALL_MS = 5_000;
const NOTHING_HELD = () => {};

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
  readonly #gathered: GatheredPieces | undefined;
  /** One for all attempts: what one has left unread is for the next. */
  readonly #pieces: AsyncIterator<Buffer> | undefined;
  /** Account of the retained start; there is none for a buffered body. */
  readonly #hold: BodyHold | undefined;
  readonly #releaseBuffered: () => void;
  #onGivenUp: ((reason: Reason) => void) | undefined;
  #givenUpReason: Reason | undefined;
  /** Whether everything that has been read is still there. */
  #isRetained = true;

  private constructor(
    buffered: Uint8Array | undefined,
    source: IncomingMessage | undefined,
    maxBytes: number,
    releaseBuffered = NOTHING_HELD,
  ) {
    this.#buffered = buffered;
    this.#source = source;
    this.#maxBytes = maxBytes;
    this.#releaseBuffered = releaseBuffered;
    if (source === undefined) return;
    const owner = source.socket.remoteAddress ?? "";
    this.#hold = PROCESS_BYTES.open(owner, () => this.#dropRetained());
    this.#gathered = new GatheredPieces(
      source,
      () => this.#giveUp(Reason.BodyCutShort),
    );
    this.#pieces = this.#gathered.read();
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
        return toResult(
          new RequestBody(
            read.body ?? new Uint8Array(),
            undefined,
            maxBytes,
            read.release,
          ),
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
    return this.#buffered !== undefined || this.#isRetained;
  }

  /**
   * Sets the receiver of the reason if a streamed body is too long, stalls or
   * comes in tiny chunks. It is called before the attempt that reads the body
   * fails, as the backend server is not to blame.
   */
  set onGivenUp(listener: (reason: Reason) => void) {
    this.#onGivenUp = listener;
    if (this.#givenUpReason !== undefined) listener(this.#givenUpReason);
  }

  /** Returns the memory of the body, which no attempt sends any more. */
  release(): void {
    this.#retained = [];
    this.#isRetained = false;
    this.#hold?.end();
    this.#releaseBuffered();
    this.#gathered?.stop();
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
    const progress = { bytes: 0, waitedMs: 0 };
    for (;;) {
      const next = await this.#readNext(this.#pieces!, progress);
      if (next.done === true) break;
      const chunk = next.value;
      this.#consumedBytes += chunk.length;
      if (this.#consumedBytes > this.#maxBytes) {
        this.#giveUp(Reason.BodyTooLarge);
        throw new RangeError(
          `Cannot send the body: longer than ${this.#maxBytes} bytes`,
        );
      }
      this.#retain(chunk);
      yield chunk;
    }
    if (!this.#source!.complete) throw new Error("the body was truncated");
  }

  /** Waits for the next chunk; time in which it is sent on does not count. */
  async #readNext(
    pieces: AsyncIterator<Buffer>,
    progress: { bytes: number; waitedMs: number },
  ): Promise<IteratorResult<Buffer>> {
    const startedAtMs = performance.now();
    const timer = setTimeout(
      () => this.#giveUp(Reason.BodyCutShort),
      STALL_MS - progress.waitedMs,
    );
    try {
      const next = await pieces.next();
      progress.waitedMs += performance.now() - startedAtMs;
      progress.bytes += next.done === true ? 0 : next.value.length;
      if (progress.bytes >= MIN_PROGRESS_BYTES) {
        progress.bytes = 0;
        progress.waitedMs = 0;
      }
      return next;
    } finally {
      clearTimeout(timer);
    }
  }

  #giveUp(reason: Reason): void {
    this.#givenUpReason ??= reason;
    this.#onGivenUp?.(reason);
  }

  #retain(chunk: Buffer): void {
    const isRetained = this.#isRetained &&
      this.#consumedBytes <= MAX_RETAINED_BYTES &&
      this.#hold?.take(chunk.length) === true;
    if (!isRetained) return this.#dropRetained();
    this.#hold!.progress(chunk.length);
    this.#retained.push(chunk);
  }

  /** Without its start the body is still sent, but only once. */
  #dropRetained(): void {
    if (!this.#isRetained) return;
    this.#isRetained = false;
    this.#retained = [];
    this.#hold?.end();
  }
}

function toResult(body: RequestBody): BodyResult {
  return { kind: "body", body };
}
