import murmurhash from "murmurhash";

/**
 * Hashes a text to 32 bits, for spreading and comparing, not for security.
 *
 * @param text The text.
 * @returns A whole number from 0 to 2^32 - 1.
 *
 * @example
 * ```ts
 * hash32("a") === hash32("a"); // true
 * ```
 */
export function hash32(text: string): number {
  return murmurhash.v3(text);
}

/**
 * Orders candidates for a duty by rendezvous hashing: every daemon computes
 * the same order, and one candidate's departure moves only its own duties.
 *
 * @param duty Name of the duty.
 * @param ids Candidates.
 * @param count Number of holders wanted.
 * @returns The first candidates in the duty's order.
 *
 * @example
 * ```ts
 * rendezvous("bridge", ["a", "b"], 1).length; // 1
 * ```
 */
export function rendezvous(
  duty: string,
  ids: readonly string[],
  count: number,
): string[] {
  return ids
    .map((id) => ({ id, weight: hash32(`${duty}|${id}`) }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .slice(0, count)
    .map(({ id }) => id);
}
