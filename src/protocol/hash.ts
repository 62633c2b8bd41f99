import { LRUCache } from "lru-cache";
import murmurhash from "murmurhash";

/** Size of the hash cache: the ids of a fleet and of recently left members. */
const MAX_CACHED_HASHES = 5_000;

const hashCache = new LRUCache<string, number>({ max: MAX_CACHED_HASHES });

/**
 * Hashes a text to 32 bits, for distribution and comparison, not for security.
 *
 * @param text The text.
 * @returns An integer from 0 to 2^32 - 1.
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
 * Selects candidates for a key by rendezvous hashing: every daemon selects the
 * same ones, and only the keys of a candidate that leaves are reassigned.
 *
 * @param key The key, such as the name of a role.
 * @param ids Ids of the candidates.
 * @param count Number of candidates to select.
 * @returns The candidates with the highest weights, highest first.
 *
 * @example
 * ```ts
 * rendezvous("bridge", ["a", "b"], 1).length; // 1
 * ```
 */
export function rendezvous(
  key: string,
  ids: readonly string[],
  count: number,
): string[] {
  const seed = hash32(key);
  return ids
    .map((id) => ({ id, weight: mixBits(seed ^ getCachedHash(id)) }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .slice(0, count)
    .map(({ id }) => id);
}

/**
 * Selects the candidate that {@linkcode rendezvous} ranks first, in one pass.
 *
 * @param key The key, such as the name of a role.
 * @param ids Ids of the candidates.
 * @returns The candidate; `undefined` if there are none.
 *
 * @example
 * ```ts
 * rendezvousWinner("bridge", ["a"]); // "a"
 * ```
 */
export function rendezvousWinner(
  key: string,
  ids: readonly string[],
): string | undefined {
  const seed = hash32(key);
  let winner: string | undefined;
  let best = -1;
  for (const id of ids) {
    const weight = mixBits(seed ^ getCachedHash(id));
    if (weight < best) continue;
    if (weight === best && winner !== undefined && winner < id) continue;
    best = weight;
    winner = id;
  }
  return winner;
}

/** Returns the cached hash of an id, as hashing texts dominates the cost. */
function getCachedHash(id: string): number {
  let hash = hashCache.get(id);
  if (hash === undefined) {
    hash = hash32(id);
    hashCache.set(id, hash);
  }
  return hash;
}

/** Mixes the bits of a number by the finalizer of MurmurHash3. */
function mixBits(number: number): number {
  let bits = number;
  bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}
