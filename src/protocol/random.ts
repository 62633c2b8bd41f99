import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Resolution of {@linkcode Random.fraction}. */
const FRACTION_STEPS = 0x3fff_ffff;

/**
 * A seeded pseudo-random number generator.
 *
 * @example
 * ```ts
 * new Random(1).below(6); // 0 to 5, the same at each run
 * ```
 */
export class Random {
  readonly #generator;

  /**
   * Creates a generator.
   *
   * @param seed Equal seeds give equal numbers.
   */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /**
   * Returns an integer from 0 up to a bound.
   *
   * @param bound Exclusive upper bound.
   * @returns The number.
   */
  below(bound: number): number {
    return uniformInt(this.#generator, 0, bound - 1);
  }

  /** Returns a number from 0 up to, but not including, 1. */
  fraction(): number {
    return this.below(FRACTION_STEPS) / FRACTION_STEPS;
  }

  /**
   * Picks an item.
   *
   * @param items Items to pick from.
   * @returns One of them; `undefined` where there are none.
   */
  pick<T>(items: readonly T[]): T | undefined {
    return items.length === 0 ? undefined : items[this.below(items.length)];
  }

  /**
   * Picks several items without replacement.
   *
   * @param items Items to pick from.
   * @param count Largest number of items to pick.
   * @returns The items in random order.
   */
  sample<T>(items: readonly T[], count: number): T[] {
    const pool = [...items];
    const size = Math.min(count, pool.length);
    for (let index = 0; index < size; index++) {
      const other = index + this.below(pool.length - index);
      [pool[index], pool[other]] = [pool[other]!, pool[index]!];
    }
    return pool.slice(0, size);
  }
}
