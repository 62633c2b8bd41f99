import { type BackendRecord, BackendState } from "../../protocol/mesh.ts";

/** Readers per failure domain; one may fail while the other serves. */
const READERS_PER_DOMAIN = 2;
/** Smallest failure domain in which readers save calls to the store. */
const MIN_DOMAIN_SIZE = 8;
/** Ratio of links from which a reader serves a daemon sooner than the store. */
const SLOW_LINK_RATIO = 4;

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
 * Chooses the daemons that watch the store for their failure domain. In a small
 * domain they do so only for daemons with far slower links, to which the store
 * sends each version in full.
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
  const best = members.slice(0, READERS_PER_DOMAIN);
  if (members.length >= MIN_DOMAIN_SIZE) return best;
  const slowest = members.at(-1);
  return best.filter((reader) =>
    slowest !== undefined && isFarFaster(reader, slowest)
  );
}

/**
 * Chooses the readers that a daemon follows.
 *
 * @param records Records of the fleet.
 * @param instance The daemon.
 * @param domain Its failure domain.
 * @returns The readers; empty if the daemon reads the store itself.
 *
 * @example
 * ```ts ignore
 * const followed = chooseFollowed(records, "a-9", "tt-north-a");
 * ```
 */
export function chooseFollowed(
  records: Iterable<BackendRecord>,
  instance: string,
  domain: string,
): readonly BackendRecord[] {
  const members = rankMembers(records, domain);
  const readers = chooseReaders(members, domain);
  if (readers.some((reader) => reader.instance === instance)) return [];
  if (members.length >= MIN_DOMAIN_SIZE) return readers;
  const self = members.find((member) => member.instance === instance);
  return readers.filter((reader) =>
    self !== undefined && isFarFaster(reader, self)
  );
}

function isFarFaster(a: BackendRecord, b: BackendRecord): boolean {
  return b.linkMbps > 0 && a.linkMbps >= SLOW_LINK_RATIO * b.linkMbps;
}
