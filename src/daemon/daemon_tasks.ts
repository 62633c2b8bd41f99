import { slotsFor } from "../coordination/slots/slot_keeper.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import { BackendTask } from "./backend_task.ts";
import { ClaimClient } from "./claim_client.ts";
import { ClaimTask } from "./claim_task.ts";
import { ConfigTask } from "./config_task.ts";
import { controlAddress } from "./control_address.ts";
import type { DaemonCore } from "./daemon_core.ts";
import type { DaemonLinks } from "./daemon_links.ts";
import { Destination } from "./destination.ts";
import { GossipTask } from "./gossip_task.ts";
import { IngressServer } from "./ingress_server.ts";
import { LeaseTask } from "./lease_task.ts";
import { PeerCaller } from "./peer_caller.ts";
import { ReachInquiries } from "./reach_inquiries.ts";
import { ReaderTask } from "./reader_task.ts";

/** What the tasks of a daemon are built from. */
export interface DaemonParts {
  readonly settings: Settings;
  readonly core: DaemonCore;
  readonly links: DaemonLinks;
}

/** The tasks that keep a daemon in the fleet. */
export interface ControlTasks {
  readonly gossip: GossipTask;
  readonly config: ConfigTask;
  readonly reader: ReaderTask;
  readonly leases: LeaseTask;
}

/** The tasks that serve requests. */
export interface RequestTasks {
  readonly backend: BackendTask;
  readonly claims: ClaimTask;
  readonly destination: Destination;
  readonly peers: PeerCaller;
  readonly ingress: IngressServer;
}

/**
 * Builds the tasks that keep a daemon in the fleet.
 *
 * @param parts What they share.
 * @returns The tasks; none has started.
 *
 * @example
 * ```ts ignore
 * const { gossip } = createControlTasks({ settings, core, links });
 * ```
 */
export function createControlTasks(parts: DaemonParts): ControlTasks {
  const { settings, core, links } = parts;
  const { membership } = core;
  const shared = sharedOf(parts);
  const config = new ConfigTask(shared);
  return {
    config,
    gossip: new GossipTask({
      ...shared,
      ...settings.gossip,
      quarantine: core.quarantine,
      contacts: settings.contacts,
    }),
    reader: new ReaderTask({ ...shared, configTask: config }),
    leases: new LeaseTask({
      ...shared,
      store: links.store,
      slots: slotsFor(settings.domain, settings.claims.partitions),
      ttlS: settings.leaseTtlS,
      address: controlAddress(membership.self),
      members: () => membership.table.present(),
      isGone: (address) => core.isGone(address),
    }),
  };
}

/**
 * Builds the tasks that serve requests.
 *
 * @param parts What they share.
 * @returns The tasks; no port is open.
 *
 * @example
 * ```ts ignore
 * const { ingress } = createRequestTasks({ settings, core, links });
 * ```
 */
export function createRequestTasks(parts: DaemonParts): RequestTasks {
  const { settings, core, links } = parts;
  const shared = sharedOf(parts);
  const backend = new BackendTask({
    ...shared,
    serviceOf: (name) => core.config.snapshot?.findService(name),
  });
  const claims = new ClaimTask({
    ...shared,
    ...settings.claims,
    store: links.claimStore,
  });
  const destination = new Destination({
    ...shared,
    backend,
    claims: new ClaimClient({
      ...shared,
      ...settings.claims,
      clients: links.requestClients,
      members: core.membership.table,
      domain: settings.domain,
      task: claims,
    }),
    quarantine: core.quarantine,
  });
  const peers = new PeerCaller({
    clients: links.requestClients,
    token: links.token,
    sourceAddress: settings.sourceAddress,
  });
  const ingress = createIngress(parts, { destination, peers });
  return { backend, claims, destination, peers, ingress };
}

function createIngress(
  parts: DaemonParts,
  tasks: Pick<RequestTasks, "destination" | "peers">,
): IngressServer {
  const { settings, core, links } = parts;
  const selfId = core.membership.self.id;
  return new IngressServer({
    ...settings.ingress,
    config: core.config,
    destination: tasks.destination,
    claimWindowMs: settings.claims.windowMs,
    idPrefix: selfId,
    loop: links.loop,
    context: {
      balancer: core.balancer,
      quarantine: core.quarantine,
      random: core.random,
      decisions: core.decisions,
      log: links.log,
      metrics: links.metrics,
      attempts: { selfId, ...tasks },
      inquiries: new ReachInquiries({
        peers: tasks.peers,
        log: links.log,
        metrics: links.metrics,
      }),
    },
  });
}

function sharedOf({ settings, core, links }: DaemonParts) {
  return {
    bus: core.bus,
    config: core.config,
    membership: core.membership,
    random: core.random,
    log: links.log,
    metrics: links.metrics,
    clients: links.clients,
    store: links.store,
    selfId: core.membership.self.id,
    site: settings.domain,
  };
}
