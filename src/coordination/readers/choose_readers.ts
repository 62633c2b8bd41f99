import { type BackendRecord, BackendState } from "../../protocol/mesh.ts";

/** Readers of a failure domain; one may fail while the other serves. */
const READERS_PER_DOMAIN = 2;
/** Daemons in a failure domain from which on readers save calls. */
const MIN_DOMAIN_SIZE = 8;

/**
 * Chooses the daemons that follow the store for their failure domain: those
 * with the fastest links, as each change of the configuration passes through
 * them once for each of the others. All daemons with the same records choose
 * the same ones, so nothing is agreed or stored.
 *
 * @param records Records of the fleet.
 * @param domain The failure domain.
 * @returns The readers; none where each daemon reads for itself.
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
  const members = [...records].filter((record) =>
    record.domain === domain && record.state === BackendState.Ready
  );
  if (members.length < MIN_DOMAIN_SIZE) return [];
  return members.sort((a, b) =>
    b.linkMbps - a.linkMbps || (a.instance < b.instance ? -1 : 1)
  ).slice(0, READERS_PER_DOMAIN);
}
