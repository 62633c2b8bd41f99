import { Buffer } from "node:buffer";

/** Size of the blocks that short pieces are copied into, in bytes. */
const BLOCK_BYTES = 16 * 1024;

/**
 * Collects the pieces of a body.
 *
 * Each piece is copied, and short ones into common blocks: an object for each
 * byte would take a hundred times the memory of the body.
 *
 * @example
 * ```ts
 * const collector = new ByteCollector();
 * collector.append(Buffer.from("a"));
 * collector.append(Buffer.from("b"));
 * collector.take().toString(); // "ab"
 * ```
 */
export class ByteCollector {
  #blocks: Buffer[] = [];
  /** Block that is being filled, and how much of it is. */
  #block: Buffer | undefined;
  #usedBytes = 0;
  #sizeBytes = 0;
  /** Memory of the whole body where its size is known. */
  #whole: Buffer | undefined;

  /**
   * Creates a collector without bytes.
   *
   * @param expectedBytes Size of the body, if it is known and large: it is then
   * collected in one block, and never copied again.
   */
  constructor(expectedBytes?: number) {
    if (expectedBytes === undefined) return;
    this.#whole = Buffer.allocUnsafeSlow(expectedBytes);
  }

  /** Number of bytes so far. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /**
   * Appends a piece.
   *
   * @param piece The piece; it may be overwritten afterwards.
   */
  append(piece: Uint8Array): void {
    if (this.#whole !== undefined) {
      this.#whole.set(piece, this.#sizeBytes);
      this.#sizeBytes += piece.length;
      return;
    }
    // Most bodies come in one piece, which needs no block.
    const isWhole = this.#sizeBytes === 0 || piece.length >= BLOCK_BYTES;
    this.#sizeBytes += piece.length;
    if (isWhole) {
      this.#closeBlock();
      this.#blocks.push(Buffer.from(piece));
      return;
    }
    const block = this.#block;
    if (block === undefined || block.length - this.#usedBytes < piece.length) {
      this.#closeBlock();
      this.#block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
    }
    this.#block!.set(piece, this.#usedBytes);
    this.#usedBytes += piece.length;
  }

  /**
   * Removes all bytes.
   *
   * @returns The bytes, in one piece.
   */
  take(): Buffer {
    const whole = this.#whole?.subarray(0, this.#sizeBytes);
    if (whole !== undefined) {
      this.clear();
      return whole;
    }
    this.#closeBlock();
    const blocks = this.#blocks;
    this.clear();
    return blocks.length === 1 ? blocks[0]! : Buffer.concat(blocks);
  }

  /** Removes all bytes. */
  clear(): void {
    this.#blocks = [];
    this.#block = undefined;
    this.#whole = undefined;
    this.#usedBytes = 0;
    this.#sizeBytes = 0;
  }

  /** Keeps what was filled of a block; a short rest would hold all of it. */
  #closeBlock(): void {
    if (this.#block === undefined) return;
    this.#blocks.push(Buffer.from(this.#block.subarray(0, this.#usedBytes)));
    this.#block = undefined;
    this.#usedBytes = 0;
  }
}
