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

/** Instances whose last version is remembered. */
const MAX_INSTANCES = 5_000;

/** What a {@linkcode GossipReceiver} needs. */
export interface GossipReceiverOptions {
  readonly membership: Membership;
  readonly config: ConfigStore;
  readonly quarantine: QuarantineList;
  readonly bus: FleetBus;
  readonly log: EventLog;
}

/**
 * Takes in what peers say and tells the other tasks.
 *
 * @example
 * ```ts ignore
 * const mayDiffer = intake.receive(peer, gossip, readClocks());
 * ```
 */
export class GossipReceiver {
  readonly #options: GossipReceiverOptions;
  readonly #lastVersionByInstance = new LRUCache<string, number>({
    max: MAX_INSTANCES,
  });

  /**
   * Creates an intake.
   *
   * @param options Where the news goes.
   */
  constructor(options: GossipReceiverOptions) {
    this.#options = options;
  }

  /**
   * Returns the highest version that an instance was seen to hold.
   *
   * @param member A member on the instance.
   * @returns The version; 0 where none is remembered.
   */
  lastVersionOf(member: Member | undefined): number {
    return this.#lastVersionByInstance.get(member?.instance ?? "") ?? 0;
  }

  /**
   * Takes in a peer's message.
   *
   * @param peer The peer's own record.
   * @param gossip What it says.
   * @param now Both clocks.
   * @returns Whether its member table differs and nothing on the way tells why.
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
      quarantineList.receive(message, nowMs)
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
