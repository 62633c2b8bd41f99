import { LRUCache } from "lru-cache";
import murmurhash from "murmurhash";

/** Candidates whose hashes are remembered: a fleet and those that just left. */
const MAX_HASHES = 5_000;

const hashes = new LRUCache<string, number>({ max: MAX_HASHES });

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
  const seed = hash32(duty);
  return ids
    .map((id) => ({ id, weight: mix(seed ^ hashOf(id)) }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .slice(0, count)
    .map(({ id }) => id);
}

/** Hashing a text takes longer than all else, so each id is hashed once. */
function hashOf(id: string): number {
  let hash = hashes.get(id);
  if (hash === undefined) {
    hash = hash32(id);
    hashes.set(id, hash);
  }
  return hash;
}

/** Spreads a number's bits, as the last step of MurmurHash3 does. */
function mix(number: number): number {
  let bits = number;
  bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}
