import { LRUCache } from "lru-cache";
import type {
  Clocks,
  Membership,
} from "../coordination/membership/membership.ts";
import type { QuarantineList } from "../coordination/quarantine/quarantine_list.ts";
import type {
  Gossip,
  Member,
  Quarantine,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import type { ConfigStore } from "../state/config_store.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { controlAddress } from "./control_address.ts";
import type { FleetBus } from "./fleet_bus.ts";

/** Most instances whose last version is kept. */
const MAX_INSTANCES = 5_000;

/** Options of a {@linkcode GossipReceiver}. */
export interface GossipReceiverOptions {
  readonly membership: Membership;
  readonly config: ConfigStore;
  readonly quarantine: QuarantineList;
  readonly bus: FleetBus;
  readonly log: EventLog;
}

/**
 * Applies gossip from peers and notifies the other tasks of changes.
 *
 * @example
 * ```ts ignore
 * const mayDiffer = receiver.receive(peer, gossip, readClocks());
 * ```
 */
export class GossipReceiver {
  readonly #options: GossipReceiverOptions;
  readonly #lastVersionByInstance = new LRUCache<string, number>({
    max: MAX_INSTANCES,
  });

  /**
   * Creates a receiver.
   *
   * @param options State to update, bus and log.
   */
  constructor(options: GossipReceiverOptions) {
    this.#options = options;
  }

  /**
   * Returns the highest configuration version that an instance is known to have
   * held.
   *
   * @param member A member on the instance.
   * @returns The version; 0 if none is known.
   */
  lastVersionOf(member: Member | undefined): number {
    return this.#lastVersionByInstance.get(member?.instance ?? "") ?? 0;
  }

  /**
   * Applies a peer's message.
   *
   * @param peer The peer's own member record.
   * @param gossip The message.
   * @param now Wall-clock and monotonic time.
   * @returns Whether the peer's member table differs although no updates are
   * pending that would explain it.
   */
  receive(peer: Member, gossip: Gossip | undefined, now: Clocks): boolean {
    const { membership } = this.#options;
    membership.receive([peer, ...gossip?.members ?? []], now);
    if (gossip === undefined) return false;
    this.#receiveQuarantines(gossip.quarantines, now.monotonicMs);
    this.#receiveVersion(peer, gossip);
    return membership.pendingUpdates === 0 &&
      gossip.tableDigest !== membership.table.digest;
  }

  #receiveVersion(peer: Member, gossip: Gossip): void {
    const known = this.lastVersionOf(peer);
    const version = Math.max(known, gossip.configVersion);
    this.#lastVersionByInstance.set(peer.instance, version);
    const { config, log, bus } = this.#options;
    if (gossip.configVersion > config.version) {
      void bus.emit("newerVersionSeen", {
        version: gossip.configVersion,
        digest: gossip.configDigest,
        address: controlAddress(peer),
      });
      return;
    }
    const isSameVersion = gossip.configVersion === config.version &&
      config.version > 0;
    if (!isSameVersion || gossip.configDigest === config.digest) return;
    log.error("config-fork", {
      version: config.version,
      digest: config.digest,
      peer: peer.id,
      peer_digest: gossip.configDigest,
    });
  }

  #receiveQuarantines(messages: readonly Quarantine[], nowMs: number): void {
    const { quarantine: quarantineList, bus, log } = this.#options;
    const newQuarantines = messages.filter((message) =>
      quarantineList.merge(message, nowMs)
    );
    if (newQuarantines.length === 0) return;
    for (const quarantine of newQuarantines) {
      log.info("quarantine-received", {
        fingerprint: quarantine.fingerprint,
        service: quarantine.service,
        crashes: quarantine.crashIds.length,
      });
    }
    const quarantines = newQuarantines.map((quarantine) =>
      quarantineList.toMessage(quarantine.fingerprint, nowMs) ?? quarantine
    );
    void bus.emit("quarantinesChanged", { quarantines, isLocal: false });
  }
}
