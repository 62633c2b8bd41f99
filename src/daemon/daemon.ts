import process from "node:process";
import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { LRUCache } from "lru-cache";
import { Membership } from "../coordination/membership/membership.ts";
import { QuarantineList } from "../coordination/quarantine/quarantine_list.ts";
import { Balancer } from "../coordination/routing/balancer.ts";
import { slotsFor } from "../coordination/slots/slot_keeper.ts";
import {
  type Member,
  MemberState,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { Random } from "../protocol/random.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import { ConfigStore } from "../state/config_store.ts";
import { isPresent } from "../state/member_table.ts";
import { DecisionLog } from "../state/decision_log.ts";
import { ControlServer } from "../transport/control/control_server.ts";
import { FleetClients } from "../transport/control/fleet_client.ts";
import { PeerAuth } from "../transport/control/peer_auth.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { type Metrics, openMetrics } from "../transport/observe/metrics.ts";
import { SocketMeter } from "../transport/observe/socket_meter.ts";
import { EtcdStore } from "../transport/store/etcd_store.ts";
import { AdminServer } from "./admin_server.ts";
import { BackendTask } from "./backend_task.ts";
import { ClaimClient } from "./claim_client.ts";
import { ClaimTask } from "./claim_task.ts";
import { monotonicMs } from "./clocks.ts";
import { ConfigTask } from "./config_task.ts";
import { createSelf, openLog } from "./daemon_setup.ts";
import { Destination } from "./destination.ts";
import { createFleetBus } from "./fleet_bus.ts";
import { createFleetHandler } from "./fleet_handler.ts";
import { controlAddress } from "./control_address.ts";
import { GossipTask } from "./gossip_task.ts";
import { IngressServer } from "./ingress_server.ts";
import { LeaseTask } from "./lease_task.ts";
import { PeerCaller } from "./peer_caller.ts";
import { PeerServer } from "./peer_server.ts";
import { ReaderTask } from "./reader_task.ts";
import { startUp } from "./start_up.ts";
import { Surveyor } from "./survey.ts";

/** Time between two looks at calls that still run while stopping, in ms. */
const DRAIN_POLL_MS = 20;
/** Daemons that sent calls lately and are told first of a change. */
const MAX_SENDERS = 5_000;
const SENDER_MEMORY_MS = 60_000;
/** Time for requests on connections that were just opened to arrive, in ms. */
const LINGER_MS = 300;
/** Longest time for running calls to end while stopping, in ms. */
const MAX_DRAIN_MS = 3_600_000;

/** Optional parts of a {@linkcode Daemon}, for tests. */
export interface DaemonOptions {
  /** Seed of all random choices; drawn at random where absent. */
  seed?: number;
}

/**
 * The process beside one backend server: proxy, announcer, member of the fleet
 * and relay of the configuration.
 *
 * @example
 * ```ts ignore
 * const daemon = new Daemon(settings);
 * await daemon.start();
 * await daemon.stop();
 * ```
 */
export class Daemon {
  readonly #settings: Settings;
  readonly #random: Random;
  readonly #bus = createFleetBus();
  readonly #log: EventLog;
  readonly #metrics: Metrics;
  readonly #meters = {
    control: new SocketMeter(),
    requests: new SocketMeter(),
  };
  readonly #store: EtcdStore;
  readonly #claimStore: EtcdStore;
  readonly #clients: FleetClients;
  /** Calls on behalf of requests, over connections of their own. */
  readonly #requestClients: FleetClients;
  readonly #membership: Membership;
  readonly #config = new ConfigStore();
  readonly #backend: BackendTask;
  readonly #destination: Destination;
  readonly #gossip: GossipTask;
  readonly #configTask: ConfigTask;
  readonly #claims: ClaimTask;
  readonly #leases: LeaseTask;
  readonly #reader: ReaderTask;
  readonly #peers: PeerCaller;
  readonly #ingress: IngressServer;
  readonly #peerServer: PeerServer;
  readonly #control: ControlServer;
  readonly #admin: AdminServer;
  readonly #recentSenders = new LRUCache<string, true>({
    max: MAX_SENDERS,
    ttl: SENDER_MEMORY_MS,
  });
  #storeCalls = 0;
  #isStopping = false;

  /**
   * Builds a daemon; nothing is opened yet.
   *
   * @param settings Checked settings.
   * @param options Parts for tests.
   */
  constructor(settings: Settings, options: DaemonOptions = {}) {
    const random = new Random(options.seed ?? randomBytes(4).readInt32LE());
    this.#random = random;
    const self = createSelf(settings);
    const auth = new PeerAuth(settings.fleetKeys);
    const token = () => auth.token(self.id, Date.now());
    this.#settings = settings;
    this.#log = openLog(settings);
    this.#metrics = openMetrics(settings.statsd, settings.instance);
    const { store, claims: claimSettings } = settings;
    this.#store = this.#openStore(this.#meters.control, store.callsPerSecond);
    this.#claimStore = this.#openStore(
      this.#meters.requests,
      claimSettings.storeCallsPerSecond,
    );
    this.#clients = new FleetClients(token, {
      sourceAddress: settings.sourceAddress,
      meter: this.#meters.control,
    });
    this.#requestClients = new FleetClients(token, {
      sourceAddress: settings.sourceAddress,
      meter: this.#meters.requests,
    });

    const balancer = new Balancer(self, random);
    const decisions = new DecisionLog();
    const quarantine = new QuarantineList();
    this.#membership = new Membership(self, {
      random,
      periodMs: settings.gossip.periodMs,
      suspicionMs: settings.gossip.suspicionMs,
      onChange: ({ member, previous }) => {
        balancer.update(member, monotonicMs());
        this.#logMember(member, previous);
      },
    });
    balancer.update(self, monotonicMs());

    const shared = {
      bus: this.#bus,
      log: this.#log,
      metrics: this.#metrics,
      clients: this.#clients,
      config: this.#config,
      store: this.#store,
      membership: this.#membership,
      random,
      selfId: self.id,
      site: settings.domain,
    };
    this.#backend = new BackendTask({
      ...shared,
      serviceOf: (name) => this.#config.snapshot?.service(name),
    });
    this.#claims = new ClaimTask({
      ...shared,
      ...settings.claims,
      store: this.#claimStore,
    });
    const claims = new ClaimClient({
      ...shared,
      ...settings.claims,
      clients: this.#requestClients,
      members: this.#membership.table,
      domain: self.domain,
      task: this.#claims,
    });
    this.#destination = new Destination({
      ...shared,
      backend: this.#backend,
      claims,
      quarantine,
    });
    this.#gossip = new GossipTask({
      ...shared,
      ...settings.gossip,
      quarantine,
      contacts: settings.contacts,
    });
    this.#configTask = new ConfigTask(shared);
    this.#reader = new ReaderTask({ ...shared, configTask: this.#configTask });
    this.#leases = new LeaseTask({
      ...shared,
      slots: slotsFor(settings.domain, settings.claims.partitions),
      ttlS: settings.leaseTtlS,
      address: controlAddress(self),
      members: () => this.#membership.table.present(),
      isGone: (address) => this.#isGone(address),
    });
    this.#peers = new PeerCaller({
      clients: this.#requestClients,
      token,
      sourceAddress: settings.sourceAddress,
    });
    this.#ingress = new IngressServer({
      ...settings.ingress,
      config: this.#config,
      destination: this.#destination,
      claimWindowMs: settings.claims.windowMs,
      idPrefix: self.id,
      context: {
        balancer,
        quarantine,
        random,
        decisions,
        log: this.#log,
        metrics: this.#metrics,
        attempts: {
          selfId: self.id,
          peers: this.#peers,
          destination: this.#destination,
        },
      },
    });
    this.#peerServer = new PeerServer(this.#destination, auth, (sender) => {
      this.#recentSenders.set(sender, true);
    });
    const surveyor = new Surveyor(shared);
    this.#control = new ControlServer(
      createFleetHandler({
        selfId: self.id,
        domain: settings.domain,
        gossip: this.#gossip,
        config: this.#configTask,
        claims: this.#claims,
        destination: this.#destination,
        surveyor,
      }),
      auth,
      this.#meters,
    );
    this.#admin = new AdminServer({
      ...shared,
      balancer,
      decisions,
      destination: this.#destination,
      backend: this.#backend,
      isReady: () => this.isReady,
      statistics: () => this.#statistics(),
    });
    this.#followBus();
  }

  /** Whether the daemon serves callers by a configuration. */
  get isReady(): boolean {
    return this.#config.version > 0 && !this.#isStopping;
  }

  /** The configuration version in force; 0 before the first. */
  get version(): number {
    return this.#config.version;
  }

  /**
   * Opens the ports, joins the fleet and gets a configuration.
   *
   * The ingress opens with the first configuration, so that callers go
   * elsewhere until then.
   *
   * @returns Once a first attempt ended; the configuration may come later.
   */
  async start(): Promise<void> {
    const { host, ports } = this.#settings;
    const control = await this.#control.listen(host, ports.control);
    const peer = await this.#peerServer.listen(host, ports.peer);
    const admin = await this.#admin.listen(host, ports.admin);
    this.#log.info("daemon-started", { control, peer, admin });
    const opened = this.#bus.once("configAdopted")
      .then(() => this.#openIngress());
    await startUp({
      settings: this.#settings,
      startedAtMs: monotonicMs(),
      membership: this.#membership,
      gossip: this.#gossip,
      reader: this.#reader,
      configTask: this.#configTask,
      config: this.#config,
      log: this.#log,
      random: this.#random,
      isStopped: () => this.#isStopping,
    });
    if (this.#config.version > 0) await opened;
    this.#gossip.start();
    this.#leases.start();
  }

  async #openIngress(): Promise<void> {
    const { host, ports } = this.#settings;
    const ingress = await this.#ingress.listen(host, ports.ingress);
    this.#log.info("ingress-opened", { ingress });
  }

  /**
   * Leaves the fleet and stops once all running calls have ended.
   *
   * @returns Once everything is closed.
   */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    this.#log.info("daemon-draining", { active: this.#destination.active });
    this.#destination.drain();
    this.#ingress.drain();
    this.#membership.updateSelf({ state: MemberState.DRAINING }, Date.now());
    // Successors take the slots over while this daemon drains.
    this.#claims.stop();
    await Promise.all([this.#tellSenders(), this.#leases.stop()]);
    await sleep(this.#settings.drainMs);
    this.#ingress.stopAccepting();
    await sleep(LINGER_MS);
    await this.#callsEnded();
    await this.#leave();
    this.#log.info("daemon-stopped");
    this.#log.close();
  }

  async #callsEnded(): Promise<void> {
    const deadlineMs = monotonicMs() + MAX_DRAIN_MS;
    while (this.#destination.active + this.#ingress.running > 0) {
      if (monotonicMs() > deadlineMs) return;
      await sleep(DRAIN_POLL_MS);
    }
  }

  async #leave(): Promise<void> {
    this.#reader.stop();
    this.#membership.updateSelf(
      { state: MemberState.LEFT, leasedSlots: [] },
      Date.now(),
    );
    this.#gossip.stop();
    await this.#tellSenders();
    await Promise.all([
      this.#ingress.close(),
      this.#peerServer.close(),
      this.#control.close(),
      this.#admin.close(),
      this.#backend.stop(),
      this.#peers.close(),
    ]);
    this.#clients.close();
    this.#metrics.close();
    this.#requestClients.close();
    await Promise.all([this.#store.close(), this.#claimStore.close()]);
  }

  /** Tells those who sent calls lately, and some peers, at once. */
  async #tellSenders(): Promise<void> {
    const senders = [...this.#recentSenders.keys()]
      .flatMap((id) => this.#membership.table.get(id) ?? []);
    this.#gossip.spreadNow();
    await this.#gossip.tell(senders);
  }

  #followBus(): void {
    this.#bus.on("configAdopted", () => this.#destination.reconfigure());
    this.#bus.on("backendChanged", (status) => {
      this.#membership.updateSelf({
        service: status.service,
        backendReady: status.isReady,
        slots: status.slots,
        readyAtMs: status.readyAtMs,
      }, Date.now());
      this.#destination.reconfigure();
      if (status.isReady) this.#gossip.spreadNow();
      else void this.#tellSenders();
    });
    this.#bus.on("slotsChanged", ({ held }) => {
      const leasedSlots = held.map((slot) => slot.name);
      this.#membership.updateSelf({ leasedSlots }, Date.now());
      this.#gossip.spreadNow();
    });
  }

  #openStore(meter: SocketMeter, callsPerSecond: number): EtcdStore {
    const { endpoints, timeoutMs } = this.#settings.store;
    return new EtcdStore(endpoints, {
      callsPerSecond,
      timeoutMs,
      sourceAddress: this.#settings.sourceAddress,
      meter,
      onCall: (step) => {
        this.#storeCalls++;
        this.#metrics.count("store.calls", 1, [`step:${step}`]);
      },
    });
  }

  /** A member that restarted at the address counts as present. */
  #isGone(address: string): boolean {
    const members = this.#membership.table.all()
      .filter((member) => controlAddress(member) === address);
    return members.length > 0 && !members.some(isPresent);
  }

  #logMember(member: Member, previous: Member | undefined): void {
    if (member.state === previous?.state) return;
    this.#log.info("member-changed", {
      member: member.id,
      domain: member.domain,
      state: MemberState[member.state].toLowerCase(),
      incarnation: member.incarnation,
    });
  }

  #statistics(): Record<string, number> {
    const memory = process.memoryUsage();
    const cpu = process.cpuUsage();
    const load = this.#destination.admission.load;
    return {
      version: this.#config.version,
      members: this.#membership.table.size,
      storeCalls: this.#storeCalls,
      controlBytes: this.#meters.control.bytes,
      requestBytes: this.#meters.requests.bytes,
      claims: this.#claims.size,
      ledger: this.#destination.ledger.size,
      ingressRunning: this.#ingress.running,
      ...load,
      residentBytes: memory.rss,
      heapUsedBytes: memory.heapUsed,
      cpuMs: (cpu.user + cpu.system) / 1_000,
    };
  }
}
