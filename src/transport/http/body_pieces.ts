import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { ByteCollector } from "./byte_collector.ts";

/** Number of pieces from which a body may count as fragmented. */
const MIN_PIECES = 8 * 1024;
/** Mean size of the pieces under which a body is fragmented, in bytes. */
const MIN_MEAN_BYTES = 8;

/**
 * Reports whether a body comes in so many pieces of so few bytes that they take
 * the processor time of other requests.
 *
 * @param pieces Number of pieces so far.
 * @param bytes Number of bytes so far.
 * @returns Whether it does.
 *
 * @example
 * ```ts
 * isFragmented(10_000, 10_000); // true
 * ```
 */
export function isFragmented(pieces: number, bytes: number): boolean {
  return pieces >= MIN_PIECES && bytes < pieces * MIN_MEAN_BYTES;
}

/** Fragmented bodies that a process reads at a time. */
const MAX_FRAGMENTED = 1;
/** Pieces of a fragmented body that are read without a pause. */
const PIECES_PER_TURN = 2_048;
/** Pause after these, in ms, which leaves most of the time to other requests. */
const PAUSE_MS = 20;

/**
 * Admits the fragmented bodies of a process: one sender may use such pieces, but
 * several at a time would take the processor time of other requests.
 *
 * @example
 * ```ts
 * const bodies = new FragmentedBodies();
 * bodies.tryOpen(); // true
 * bodies.tryOpen(); // false
 * ```
 */
export class FragmentedBodies {
  #open = 0;

  /**
   * Admits a body.
   *
   * @returns Whether it is read on; {@linkcode close} has to be called then.
   */
  tryOpen(): boolean {
    if (this.#open >= MAX_FRAGMENTED) return false;
    this.#open++;
    return true;
  }

  /** Ends an admitted body. */
  close(): void {
    this.#open--;
  }
}

/** Shared by all servers of a process. */
export const FRAGMENTED_BODIES = new FragmentedBodies();

/**
 * Counts the pieces of one body, and slows it down once it is fragmented.
 *
 * @example
 * ```ts ignore
 * const counter = new PieceCounter(request);
 * if (!counter.add(chunk.length)) refuse();
 * counter.end();
 * ```
 */
export class PieceCounter {
  readonly #request: IncomingMessage;
  #pieces = 0;
  #bytes = 0;
  #isAdmitted = false;

  /**
   * Creates a counter.
   *
   * @param request The request with the body.
   */
  constructor(request: IncomingMessage) {
    this.#request = request;
  }

  /**
   * Counts a piece.
   *
   * @param bytes Its size, in bytes.
   * @returns Whether the body may be read on.
   */
  add(bytes: number): boolean {
    this.#pieces++;
    this.#bytes += bytes;
    if (!isFragmented(this.#pieces, this.#bytes)) return true;
    if (!this.#isAdmitted && !FRAGMENTED_BODIES.tryOpen()) return false;
    this.#isAdmitted = true;
    if (this.#pieces % PIECES_PER_TURN === 0) {
      this.#request.pause();
      setTimeout(() => this.#request.resume(), PAUSE_MS);
    }
    return true;
  }

  /** Ends the count; has to be called once the body is no longer read. */
  end(): void {
    if (this.#isAdmitted) FRAGMENTED_BODIES.close();
    this.#isAdmitted = false;
  }
}

/** Collected bytes from which the sender has to wait. */
const MAX_COLLECTED_BYTES = 64 * 1024;

/**
 * Reads a body in pieces that are worth sending on: short chunks that come
 * together are collected in one piece. Collects a limited number of bytes
 * before the first piece is asked for.
 *
 * @example
 * ```ts ignore
 * const pieces = new GatheredPieces(request, close);
 * for await (const piece of pieces.read()) send(piece);
 * pieces.stop();
 * ```
 */
export class GatheredPieces {
  readonly #request: IncomingMessage;
  readonly #onFragmented: () => void;
  readonly #bytes = new ByteCollector();
  readonly #onData = (chunk: Buffer) => this.#collect(chunk);
  readonly #onEnd = () => {
    this.#hasEnded = true;
    this.#wake();
  };
  /** Whether no more chunks come; the request may have been aborted. */
  #hasEnded = false;
  #isFragmented = false;
  #count = 0;
  #readBytes = 0;
  #wake = () => {};

  /**
   * Starts to collect.
   *
   * @param request The request.
   * @param onFragmented Called once if the chunks are so many and short that
   * they take the processor time of other requests; the pieces fail then.
   */
  constructor(request: IncomingMessage, onFragmented: () => void) {
    this.#request = request;
    this.#onFragmented = onFragmented;
    if (request.destroyed || request.readableEnded) this.#hasEnded = true;
    request.on("data", this.#onData);
    request.on("end", this.#onEnd);
    request.on("error", this.#onEnd);
    request.on("close", this.#onEnd);
  }

  /**
   * Reads the pieces; may be called once.
   *
   * @returns The pieces; fails if the request is aborted.
   */
  async *read(): AsyncGenerator<Buffer> {
    for (;;) {
      if (this.#isFragmented) {
        // An orderly end would make the body look complete.
        throw new Error("Cannot read the body: its chunks are too short");
      }
      if (this.#bytes.sizeBytes > 0) {
        const piece = this.#bytes.take();
        this.#request.resume();
        yield piece;
      } else if (this.#hasEnded) break;
      else await new Promise<void>((resolve) => this.#wake = resolve);
    }
    if (!this.#request.complete) {
      throw new Error("Cannot read the body: it was truncated");
    }
  }

  /** Ends the collection; what still comes is dropped. */
  stop(): void {
    const request = this.#request;
    request.off("data", this.#onData);
    this.#bytes.clear();
    request.resume();
  }

  #collect(chunk: Buffer): void {
    if (this.#isFragmented) return;
    this.#count++;
    this.#readBytes += chunk.length;
    this.#bytes.append(chunk);
    if (isFragmented(this.#count, this.#readBytes)) {
      this.#isFragmented = true;
      this.#bytes.clear();
      this.#onFragmented();
    } else if (this.#bytes.sizeBytes >= MAX_COLLECTED_BYTES) {
      this.#request.pause();
    }
    this.#wake();
  }
}
