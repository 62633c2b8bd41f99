import process from "node:process";
import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { LRUCache } from "lru-cache";
import { MemberState } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { Random } from "../protocol/random.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import { ControlServer } from "../transport/control/control_server.ts";
import { waitForNextPoll } from "../transport/http/disconnect_detector.ts";
import { AdminServer } from "./admin_server.ts";
import { monotonicMs } from "./clocks.ts";
import { DaemonCore } from "./daemon_core.ts";
import { DaemonLinks } from "./daemon_links.ts";
import { createSelf } from "./daemon_setup.ts";
import {
  type ControlTasks,
  createControlTasks,
  createRequestTasks,
  type DaemonParts,
  type RequestTasks,
} from "./daemon_tasks.ts";
import { createFleetHandler } from "./fleet_handler.ts";
import { PeerServer } from "./peer_server.ts";
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
  readonly #core: DaemonCore;
  readonly #links: DaemonLinks;
  readonly #control: ControlTasks;
  readonly #requests: RequestTasks;
  readonly #peerServer: PeerServer;
  readonly #controlServer: ControlServer;
  readonly #admin: AdminServer;
  readonly #recentSenders = new LRUCache<string, true>({
    max: MAX_SENDERS,
    ttl: SENDER_MEMORY_MS,
  });
  #isStopping = false;

  /**
   * Builds a daemon; nothing is opened yet.
   *
   * @param settings Checked settings.
   * @param options Parts for tests.
   */
  constructor(settings: Settings, options: DaemonOptions = {}) {
    const random = new Random(options.seed ?? randomBytes(4).readInt32LE());
    const self = createSelf(settings);
    const links = new DaemonLinks(settings, self.id);
    const core = new DaemonCore({ settings, self, random, log: links.log });
    const parts: DaemonParts = { settings, core, links };
    this.#settings = settings;
    this.#core = core;
    this.#links = links;
    this.#control = createControlTasks(parts);
    this.#requests = createRequestTasks(parts);
    this.#peerServer = new PeerServer({
      destination: this.#requests.destination,
      auth: links.auth,
      loop: links.loop,
      onSender: (sender) => this.#recentSenders.set(sender, true),
    });
    this.#controlServer = this.#createControlServer();
    this.#admin = this.#createAdminServer();
    this.#followBus();
  }

  #createControlServer(): ControlServer {
    const { clients, auth, meters } = this.#links;
    const handler = createFleetHandler({
      ...this.#control,
      selfId: this.#core.membership.self.id,
      domain: this.#settings.domain,
      claims: this.#requests.claims,
      destination: this.#requests.destination,
      surveyor: new Surveyor({
        membership: this.#core.membership,
        config: this.#core.config,
        random: this.#core.random,
        clients,
      }),
    });
    return new ControlServer(handler, auth, meters);
  }

  #createAdminServer(): AdminServer {
    const { membership, config, balancer, decisions } = this.#core;
    const { destination, backend } = this.#requests;
    return new AdminServer({
      membership,
      config,
      balancer,
      decisions,
      destination,
      backend,
      log: this.#links.log,
      isReady: () => this.isReady,
      statistics: () => this.#statistics(),
    });
  }

  /** Whether the daemon serves callers by a configuration. */
  get isReady(): boolean {
    return this.#core.config.version > 0 && !this.#isStopping;
  }

  /** The configuration version in force; 0 before the first. */
  get version(): number {
    return this.#core.config.version;
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
    const control = await this.#controlServer.listen(host, ports.control);
    const peer = await this.#peerServer.listen(host, ports.peer);
    const admin = await this.#admin.listen(host, ports.admin);
    this.#links.log.info("daemon-started", { control, peer, admin });
    const opened = this.#core.bus.once("configAdopted")
      .then(() => this.#openIngress());
    await startUp({
      settings: this.#settings,
      startedAtMs: monotonicMs(),
      membership: this.#core.membership,
      gossip: this.#control.gossip,
      reader: this.#control.reader,
      configTask: this.#control.config,
      config: this.#core.config,
      log: this.#links.log,
      random: this.#core.random,
      isStopped: () => this.#isStopping,
    });
    if (this.#core.config.version > 0) await opened;
    this.#control.gossip.start();
    this.#control.leases.start();
  }

  async #openIngress(): Promise<void> {
    const { host, ports } = this.#settings;
    const ingress = await this.#requests.ingress.listen(host, ports.ingress);
    this.#links.log.info("ingress-opened", { ingress });
  }

  /**
   * Leaves the fleet and stops once all running calls have ended.
   *
   * @returns Once everything is closed.
   */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    this.#links.log.info("daemon-draining", {
      active: this.#requests.destination.active,
    });
    this.#requests.destination.drain();
    this.#requests.ingress.drain();
    this.#core.membership.updateSelf(
      { state: MemberState.DRAINING },
      Date.now(),
    );
    // Successors take the slots over while this daemon drains.
    this.#requests.claims.stop();
    await Promise.all([this.#tellSenders(), this.#control.leases.stop()]);
    await sleep(this.#settings.drainMs);
    await this.#requests.ingress.stopAccepting();
    await sleep(LINGER_MS);
    await this.#callsEnded();
    await this.#leave();
    this.#links.log.info("daemon-stopped");
    this.#links.log.close();
  }

  async #callsEnded(): Promise<void> {
    const deadlineMs = monotonicMs() + MAX_DRAIN_MS;
    // What came while the process stood still is read first.
    await waitForNextPoll();
    while (
      this.#requests.destination.active + this.#requests.ingress.running > 0
    ) {
      if (monotonicMs() > deadlineMs) return;
      await sleep(DRAIN_POLL_MS);
    }
  }

  async #leave(): Promise<void> {
    this.#control.reader.stop();
    this.#core.membership.updateSelf(
      { state: MemberState.LEFT, leasedSlots: [] },
      Date.now(),
    );
    this.#control.gossip.stop();
    await this.#tellSenders();
    // Callers may have sent on open connections meanwhile.
    await this.#callsEnded();
    await Promise.all([
      this.#requests.ingress.close(),
      this.#peerServer.close(),
      this.#controlServer.close(),
      this.#admin.close(),
      this.#requests.backend.stop(),
      this.#requests.peers.close(),
    ]);
    await this.#links.close();
  }

  /** Tells those who sent calls lately, and some peers, at once. */
  async #tellSenders(): Promise<void> {
    const senders = [...this.#recentSenders.keys()]
      .flatMap((id) => this.#core.membership.table.get(id) ?? []);
    this.#control.gossip.spreadNow();
    await this.#control.gossip.tell(senders);
  }

  #followBus(): void {
    this.#core.bus.on(
      "configAdopted",
      () => this.#requests.destination.reconfigure(),
    );
    this.#core.bus.on("backendChanged", (status) => {
      this.#core.membership.updateSelf({
        service: status.service,
        backendReady: status.isReady,
        slots: status.slots,
        readyAtMs: status.readyAtMs,
      }, Date.now());
      this.#requests.destination.reconfigure();
      if (status.isReady) this.#control.gossip.spreadNow();
      else void this.#tellSenders();
    });
    this.#core.bus.on("slotsChanged", ({ held }) => {
      const leasedSlots = held.map((slot) => slot.name);
      this.#core.membership.updateSelf({ leasedSlots }, Date.now());
      this.#control.gossip.spreadNow();
    });
  }

  #statistics(): Record<string, number> {
    const memory = process.memoryUsage();
    const cpu = process.cpuUsage();
    const load = this.#requests.destination.admission.load;
    return {
      version: this.#core.config.version,
      members: this.#core.membership.table.size,
      storeCalls: this.#links.storeCalls,
      controlBytes: this.#links.meters.control.bytes,
      requestBytes: this.#links.meters.requests.bytes,
      claims: this.#requests.claims.size,
      ledger: this.#requests.destination.ledger.size,
      ingressRunning: this.#requests.ingress.running,
      ...load,
      residentBytes: memory.rss,
      heapUsedBytes: memory.heapUsed,
      cpuMs: (cpu.user + cpu.system) / 1_000,
    };
  }
}
