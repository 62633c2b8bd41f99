import { type BackendRecord, BackendState } from "../../protocol/mesh.ts";

/** Readers per failure domain; one may fail while the other serves. */
const READERS_PER_DOMAIN = 2;
/** Smallest failure domain in which readers save calls to the store. */
const MIN_DOMAIN_SIZE = 8;

/**
 * Ranks the daemons of a failure domain by their fitness to read the store for
 * others: those with the fastest links first, as a reader sends each
 * configuration change to the others. The order depends on the records only, so
 * that daemons with the same records agree on it without coordination.
 *
 * @param records Records of the fleet.
 * @param domain The failure domain.
 * @returns The ready daemons, best first.
 *
 * @example
 * ```ts ignore
 * const [best] = rankMembers(records, "tt-north-a");
 * ```
 */
export function rankMembers(
  records: Iterable<BackendRecord>,
  domain: string,
): readonly BackendRecord[] {
  return [...records].filter((record) =>
    record.domain === domain && record.state === BackendState.Ready
  ).sort((a, b) =>
    b.linkMbps - a.linkMbps || (a.instance < b.instance ? -1 : 1)
  );
}

/**
 * Chooses the daemons that watch the store for their failure domain.
 *
 * @param records Records of the fleet.
 * @param domain The failure domain.
 * @returns The readers; empty if each daemon reads the store itself.
 *
 * @example
 * ```ts ignore
 * const readers = chooseReaders(records, "tt-north-a");
 * ```
 */
export function chooseReaders(
  records: Iterable<BackendRecord>,
  domain: string,
): readonly BackendRecord[] {
  const members = rankMembers(records, domain);
  if (members.length < MIN_DOMAIN_SIZE) return [];
  return members.slice(0, READERS_PER_DOMAIN);
}
