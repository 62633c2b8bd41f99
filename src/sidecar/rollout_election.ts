import type {
  RolloutCoordinator,
  RolloutSituation,
  StoredRollout,
  VersionGate,
} from "../coordination/rollout/mod.ts";
import { rendezvous } from "../protocol/hash.ts";
import { type BackendRecord, BackendState } from "../protocol/mesh.ts";
import type { StoreEntry } from "../protocol/store.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import { decodeRolloutRecord } from "./rollout_codec.ts";

/** Rank of a daemon that is no candidate. */
const NO_RANK = 1_000;

/** What a daemon knows about the versions of a service. */
interface ServiceVersions {
  readonly service: string;
  readonly gate: VersionGate;
  readonly coordinator: RolloutCoordinator;
}

/** What a daemon knows about the fleet. */
interface FleetKnowledge {
  readonly instance: string;
  readonly directory: BackendDirectory;
  /** Age of the view of the store, in ms. */
  readonly viewAgeMs: () => number;
}

/** Returns what a decision about a service depends on. */
export function situationOf(
  state: ServiceVersions,
  options: FleetKnowledge,
): RolloutSituation {
  const { directory, instance, viewAgeMs } = options;
  const { gate, coordinator, service } = state;
  const records = [...directory.entries].map(({ record }) => record);
  const ofService = records.filter((record) => record.service === service);
  const targetVersion = coordinator.record?.targetVersion;
  return {
    nowMs: performance.now(),
    nowUnixMs: Date.now(),
    viewAgeMs: viewAgeMs(),
    rank: rankOf(instance, service, records),
    daemons: records.length,
    inUse: [...gate.inUse],
    announced: [
      ...new Set(ofService.map(({ version = "" }) => version)),
    ],
    formerInstances: ofService
      .filter(({ version }) => version !== targetVersion)
      .map((record) => record.instance),
    hasTarget: ofService.some(({ version, state }) =>
      version === targetVersion && state === BackendState.Ready
    ),
  };
}

/** Reports of a large fleet need a wide link, so such daemons come first. */
function rankOf(
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
