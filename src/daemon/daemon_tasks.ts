import { slotsFor } from "../coordination/slots/slot_planner.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import { BackendTask } from "./backend_task.ts";
import { ClaimClient } from "./claim_client.ts";
import { ClaimTask } from "./claim_task.ts";
import { ConfigTask } from "./config_task.ts";
import { controlAddress } from "./control_address.ts";
import type { DaemonCore } from "./daemon_core.ts";
import type { DaemonConnections } from "./daemon_connections.ts";
import { Destination } from "./destination.ts";
import { GossipTask } from "./gossip_task.ts";
import { IngressServer } from "./ingress_server.ts";
import { LeaseTask } from "./lease_task.ts";
import { PeerForwarder } from "./peer_forwarder.ts";
import { ReachabilityChecker } from "./reachability_checker.ts";
import { ReaderTask } from "./reader_task.ts";

/** Dependencies of a daemon's tasks. */
export interface DaemonParts {
  readonly settings: Settings;
  readonly core: DaemonCore;
  readonly connections: DaemonConnections;
}

/** The tasks for membership, configuration and slots. */
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
  readonly peers: PeerForwarder;
  readonly ingress: IngressServer;
}

/**
 * Creates the tasks for membership, configuration and slots.
 *
 * @param parts Dependencies.
 * @returns The tasks; none has started.
 *
 * @example
 * ```ts ignore
 * const { gossip } = createControlTasks({ settings, core, connections });
 * ```
 */
export function createControlTasks(parts: DaemonParts): ControlTasks {
  const { settings, core, connections } = parts;
  const { membership } = core;
  const shared = selectSharedOptions(parts);
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
      store: connections.store,
      slots: slotsFor(settings.domain, settings.claims.partitions),
      ttlS: settings.leaseTtlS,
      address: controlAddress(membership.self),
      members: () => membership.table.present(),
      isGone: (address) => core.isGone(address),
    }),
  };
}

/**
 * Creates the tasks that serve requests.
 *
 * @param parts Dependencies.
 * @returns The tasks; no port is open.
 *
 * @example
 * ```ts ignore
 * const { ingress } = createRequestTasks({ settings, core, connections });
 * ```
 */
export function createRequestTasks(parts: DaemonParts): RequestTasks {
  const { settings, core, connections } = parts;
  const shared = selectSharedOptions(parts);
  const backend = new BackendTask({
    ...shared,
    serviceOf: (name) => core.config.snapshot?.findService(name),
  });
  const claims = new ClaimTask({
    ...shared,
    ...settings.claims,
    store: connections.claimStore,
  });
  const destination = new Destination({
    ...shared,
    backend,
    claims: new ClaimClient({
      ...shared,
      ...settings.claims,
      clients: connections.requestClients,
      members: core.membership.table,
      domain: settings.domain,
      task: claims,
    }),
    quarantine: core.quarantine,
  });
  const peers = new PeerForwarder({
    clients: connections.requestClients,
    token: connections.token,
    sourceAddress: settings.sourceAddress,
  });
  const ingress = createIngress(parts, { destination, peers });
  return { backend, claims, destination, peers, ingress };
}

function createIngress(
  parts: DaemonParts,
  tasks: Pick<RequestTasks, "destination" | "peers">,
): IngressServer {
  const { settings, core, connections } = parts;
  const selfId = core.membership.self.id;
  return new IngressServer({
    ...settings.ingress,
    config: core.config,
    destination: tasks.destination,
    claimWindowMs: settings.claims.windowMs,
    idPrefix: selfId,
    loop: connections.loop,
    context: {
      balancer: core.balancer,
      quarantine: core.quarantine,
      random: core.random,
      decisions: core.decisions,
      log: connections.log,
      metrics: connections.metrics,
      attempts: { selfId, ...tasks },
      reachability: new ReachabilityChecker({
        peers: tasks.peers,
        log: connections.log,
        metrics: connections.metrics,
      }),
    },
  });
}

function selectSharedOptions({ settings, core, connections }: DaemonParts) {
  return {
    bus: core.bus,
    config: core.config,
    membership: core.membership,
    random: core.random,
    log: connections.log,
    metrics: connections.metrics,
    clients: connections.clients,
    store: connections.store,
    selfId: core.membership.self.id,
    site: settings.domain,
  };
}
