/** How the era of a response relates to the era that is known. */
export enum EraOrder {
  /** The response is late, and must not be applied. */
  Earlier = "earlier",
  Same = "same",
  /** The store was restored: no revision that is known means anything. */
  Later = "later",
}

/**
 * Returns whether changes that another daemon has read can be applied.
 *
 * @param era Era that they name; `undefined` if none.
 * @param known The era that is known; `undefined` if none was named yet.
 * @returns False for changes of an earlier era, and for those of a daemon of an
 * earlier version, whose era nobody can tell.
 *
 * @example
 * ```ts
 * canFollow(undefined, 2); // false
 * ```
 */
export function canFollow(
  era: number | undefined,
  known: number | undefined,
): boolean {
  return known === undefined || era !== undefined && era >= known;
}

/**
 * Compares the era of a response with the era that is known.
 *
 * @param era Era of the response; `undefined` if it names none.
 * @param known The era that is known; `undefined` if none was named yet.
 * @returns The order. A response without an era counts as one of the same era,
 * as a store that names none has a single era.
 *
 * @example
 * ```ts
 * compareEras(3, 2); // EraOrder.Later
 * ```
 */
export function compareEras(
  era: number | undefined,
  known: number | undefined,
): EraOrder {
  if (era === undefined || era === known) return EraOrder.Same;
  return known === undefined || era > known ? EraOrder.Later : EraOrder.Earlier;
}
