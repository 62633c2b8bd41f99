import { type BackendRecord, BackendState } from "../../protocol/mesh.ts";

/** Readers per failure domain; one may fail while the other serves. */
const READERS_PER_DOMAIN = 2;
/** Smallest failure domain in which readers save calls to the store. */
const MIN_DOMAIN_SIZE = 8;

/**
 * Chooses the daemons that watch the store for their failure domain: those with
 * the fastest links, as a reader sends each configuration change to the others.
 * The choice depends on the records only, so that daemons with the same records
 * choose the same readers without coordination.
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
  const members = [...records].filter((record) =>
    record.domain === domain && record.state === BackendState.Ready
  );
  if (members.length < MIN_DOMAIN_SIZE) return [];
  return members.sort((a, b) =>
    b.linkMbps - a.linkMbps || (a.instance < b.instance ? -1 : 1)
  ).slice(0, READERS_PER_DOMAIN);
}
