/**
 * Decodes a field of a message between daemons.
 *
 * @param text The percent-encoded field.
 * @returns The field; `undefined` where it cannot be read.
 *
 * @example
 * ```ts
 * decodeField("a%3Bb"); // "a;b"
 * ```
 */
export function decodeField(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    // A malformed escape: no daemon wrote it.
    return undefined;
  }
}
