/**
 * Bounds the memory that answers take while they are collected. The one that
 * has taken most is given up first, as it is the likeliest to have no end.
 *
 * @example
 * ```ts
 * const memory = new AnswerMemory<string>(100);
 * memory.take("short", 10); // undefined
 * memory.take("endless", 95); // "endless"
 * ```
 */
export class ResponseMemoryBudget<T> {
  readonly #maxBytes: number;
  readonly #bytesOf = new Map<T, number>();
  #totalBytes = 0;

  /**
   * Creates a memory that holds nothing.
   *
   * @param maxBytes Most bytes of all answers together.
   */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /**
   * Takes memory for a piece of an answer.
   *
   * @param answer The answer.
   * @param bytes Size of the piece.
   * @returns The answer to give up, where all together take too much.
   */
  reserve(answer: T, bytes: number): T | undefined {
    this.#bytesOf.set(answer, this.bytesOf(answer) + bytes);
    this.#totalBytes += bytes;
    if (this.#totalBytes <= this.#maxBytes) return undefined;
    let longest = answer;
    for (const one of this.#bytesOf.keys()) {
      if (this.bytesOf(one) > this.bytesOf(longest)) longest = one;
    }
    return longest;
  }

  /**
   * Returns what an answer has taken so far.
   *
   * @param answer The answer.
   * @returns Its size in bytes.
   */
  bytesOf(answer: T): number {
    return this.#bytesOf.get(answer) ?? 0;
  }

  /**
   * Gives back what an answer has taken.
   *
   * @param answer The answer, which has ended.
   */
  release(answer: T): void {
    this.#totalBytes -= this.bytesOf(answer);
    this.#bytesOf.delete(answer);
  }
}
