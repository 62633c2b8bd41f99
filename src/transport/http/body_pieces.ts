/** Number of pieces from which a body may count as fragmented. */
const MIN_PIECES = 16 * 1024;
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
 * isFragmented(20_000, 20_000); // true
 * ```
 */
export function isFragmented(pieces: number, bytes: number): boolean {
  return pieces >= MIN_PIECES && bytes < pieces * MIN_MEAN_BYTES;
}
