/**
 * Limits the total memory of the responses that are being buffered. When the
 * limit is exceeded, the longest response is to be aborted, since it is the
 * most likely to be endless.
 *
 * @example
 * ```ts
 * const memory = new ResponseMemory<string>(100);
 * memory.take("short", 10); // undefined
 * memory.take("endless", 95); // "endless"
 * ```
 */
export class ResponseMemory<T> {
  readonly #maxBytes: number;
  readonly #bytesOf = new Map<T, number>();
  #totalBytes = 0;

  /**
   * Creates a memory limit that is not used yet.
   *
   * @param maxBytes Limit on the total size of all responses, in bytes.
   */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /**
   * Takes memory for a piece of a response.
   *
   * @param response The response.
   * @param bytes Size of the piece.
   * @returns The response to abort if the limit is exceeded, else `undefined`.
   */
  take(response: T, bytes: number): T | undefined {
    this.#bytesOf.set(response, this.bytesOf(response) + bytes);
    this.#totalBytes += bytes;
    if (this.#totalBytes <= this.#maxBytes) return undefined;
    let longest = response;
    for (const candidate of this.#bytesOf.keys()) {
      if (this.bytesOf(candidate) > this.bytesOf(longest)) longest = candidate;
    }
    return longest;
  }

  /**
   * Returns the memory that a response has taken so far.
   *
   * @param response The response.
   * @returns Its size in bytes.
   */
  bytesOf(response: T): number {
    return this.#bytesOf.get(response) ?? 0;
  }

  /**
   * Frees the memory of a response.
   *
   * @param response The response, which has ended.
   */
  free(response: T): void {
    this.#totalBytes -= this.bytesOf(response);
    this.#bytesOf.delete(response);
  }
}
