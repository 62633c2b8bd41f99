import type { StoredRollout } from "../coordination/rollout/mod.ts";
import { rendezvous } from "../protocol/hash.ts";
import type { BackendRecord } from "../protocol/mesh.ts";
import type { StoreEntry } from "../protocol/store.ts";
import { decodeRolloutRecord } from "./rollout_codec.ts";

/** Rank of a daemon that is no candidate. */
const NO_RANK = 1_000;

/** Reports of a large fleet need a wide link, so such daemons come first. */
export function rankOf(
  instance: string,
  service: string,
  records: readonly BackendRecord[],
): number {
  const widest = records.reduce(
    (max, { linkMbps }) => Math.max(max, linkMbps),
    0,
  );
  const isWide = ({ linkMbps }: BackendRecord) => linkMbps * 2 >= widest;
  const order = (members: readonly BackendRecord[]) =>
    rendezvous(
      service,
      members.map((record) => record.instance),
      members.length,
    );
  const rank = [
    ...order(records.filter(isWide)),
    ...order(records.filter((record) => !isWide(record))),
  ].indexOf(instance);
  return rank < 0 ? NO_RANK : rank;
}

/** Finds a decision among the entries that a conflicting write returned. */
export function findRecord(
  entries: readonly StoreEntry[],
  key: string,
): StoredRollout | undefined {
  const entry = entries.find((candidate) => candidate.key === key);
  const record = entry && decodeRolloutRecord(entry.value);
  return record && { record, revision: entry!.modRevision };
}
