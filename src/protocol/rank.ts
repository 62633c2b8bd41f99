/** Priority classes of requests, most urgent first. */
export enum Rank {
  Urgent = "urgent",
  Standard = "standard",
  Bulk = "bulk",
}

/** All ranks, most urgent first. */
export const RANKS: readonly Rank[] = [Rank.Urgent, Rank.Standard, Rank.Bulk];

/** A value for each rank. */
export type PerRank<T> = Record<Rank, T>;

/**
 * Builds a value for each rank.
 *
 * @param make Called once for each rank, most urgent first.
 * @returns The values by rank.
 *
 * @example
 * ```ts
 * const running = perRank(() => 0);
 * running[Rank.Urgent]++;
 * ```
 */
export function perRank<T>(make: (rank: Rank) => T): PerRank<T> {
  return {
    [Rank.Urgent]: make(Rank.Urgent),
    [Rank.Standard]: make(Rank.Standard),
    [Rank.Bulk]: make(Rank.Bulk),
  };
}
