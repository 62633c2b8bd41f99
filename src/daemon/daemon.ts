import process from "node:process";
import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { LRUCache } from "lru-cache";
import { MemberState } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { Random } from "../protocol/random.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import { ControlServer } from "../transport/control/control_server.ts";
import { heldBytesLimit, PROCESS_BYTES } from "../transport/http/held_bytes.ts";
import { LogRateLimiter } from "../transport/observe/log_rate_limiter.ts";
import { waitForNextPoll } from "../transport/http/disconnect_detector.ts";
import { AdminServer } from "./admin_server.ts";
import { monotonicMs } from "./clocks.ts";
import { DaemonCore } from "./daemon_core.ts";
import { DaemonConnections } from "./daemon_connections.ts";
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
import { Surveyor } from "./surveyor.ts";

/** Interval at which running calls are checked while stopping, in ms. */
const DRAIN_POLL_INTERVAL_MS = 20;
/** Maximum number of recent call senders; changes are sent to them first. */
const MAX_RECENT_SENDERS = 5_000;
/** Time for which a sender of calls counts as recent, in ms. */
const SENDER_TTL_MS = 60_000;
/** Wait for requests on connections that were just accepted, in ms. */
const LATE_REQUEST_WAIT_MS = 300;
/** Log lines per second on control calls of unknown peers. */
const MAX_REFUSAL_LINES_PER_S = 10;
/** Longest wait for running calls to end while stopping, in ms. */
const MAX_DRAIN_MS = 3_600_000;

/** Options of a {@linkcode Daemon}, for tests. */
export interface DaemonOptions {
  /** Seed of all random choices; random by default. */
  seed?: number;
}

/**
 * The daemon of one backend server: it proxies requests, announces the backend
 * server, takes part in the fleet's gossip and distributes the configuration.
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
  readonly #connections: DaemonConnections;
  readonly #control: ControlTasks;
  readonly #requests: RequestTasks;
  readonly #peerServer: PeerServer;
  readonly #controlServer: ControlServer;
  readonly #admin: AdminServer;
  readonly #recentSenders = new LRUCache<string, true>({
    max: MAX_RECENT_SENDERS,
    ttl: SENDER_TTL_MS,
  });
  #isStopping = false;

  /**
   * Creates a daemon; no port is open yet.
   *
   * @param settings Validated settings.
   * @param options Options for tests.
   */
  constructor(settings: Settings, options: DaemonOptions = {}) {
    PROCESS_BYTES.setLimit(heldBytesLimit(settings.memoryMb));
    const random = new Random(options.seed ?? randomBytes(4).readInt32LE());
    const self = createSelf(settings);
    const connections = new DaemonConnections(settings, self.id);
    const core = new DaemonCore({
      settings,
      self,
      random,
      log: connections.log,
    });
    const parts: DaemonParts = { settings, core, connections };
    this.#settings = settings;
    this.#core = core;
    this.#connections = connections;
    this.#control = createControlTasks(parts);
    this.#requests = createRequestTasks(parts);
    this.#peerServer = new PeerServer({
      destination: this.#requests.destination,
      auth: connections.auth,
      loop: connections.loop,
      log: connections.log,
      onSender: (sender) => this.#recentSenders.set(sender, true),
    });
    this.#controlServer = this.#createControlServer();
    this.#admin = this.#createAdminServer();
    this.#subscribeToBus();
  }

  #createControlServer(): ControlServer {
    const { clients, auth, meters } = this.#connections;
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
    const { log, metrics } = this.#connections;
    const lines = new LogRateLimiter(log, MAX_REFUSAL_LINES_PER_S);
    return new ControlServer(handler, auth, meters, (peer) => {
      metrics.count("control.refused");
      if (!lines.allows(performance.now())) return;
      log.warn("control-call-refused", { peer });
    });
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
      log: this.#connections.log,
      isReady: () => this.isReady,
      statistics: () => this.#statistics(),
    });
  }

  /** Whether the daemon has a configuration and is not stopping. */
  get isReady(): boolean {
    return this.#core.config.version > 0 && !this.#isStopping;
  }

  /** Configuration version in force; 0 before the first. */
  get version(): number {
    return this.#core.config.version;
  }

  /**
   * Opens the ports, joins the fleet and obtains a configuration.
   *
   * The ingress port opens with the first configuration, so that callers use
   * another daemon until then.
   *
   * @returns Once the first attempt has ended; retries run in the background.
   */
  async start(): Promise<void> {
    const { host, ports } = this.#settings;
    const control = await this.#controlServer.listen(host, ports.control);
    const peer = await this.#peerServer.listen(host, ports.peer);
    const admin = await this.#admin.listen(host, ports.admin);
    this.#connections.log.info("daemon-started", { control, peer, admin });
    const ingressOpened = this.#core.bus.once("configAdopted")
      .then(() => this.#openIngress());
    await startUp({
      settings: this.#settings,
      startedAtMs: monotonicMs(),
      membership: this.#core.membership,
      gossip: this.#control.gossip,
      reader: this.#control.reader,
      configTask: this.#control.config,
      config: this.#core.config,
      log: this.#connections.log,
      random: this.#core.random,
      isStopped: () => this.#isStopping,
    });
    if (this.#core.config.version > 0) await ingressOpened;
    this.#control.gossip.start();
    this.#control.leases.start();
  }

  async #openIngress(): Promise<void> {
    const { host, ports } = this.#settings;
    const ingress = await this.#requests.ingress.listen(host, ports.ingress);
    this.#connections.log.info("ingress-opened", { ingress });
  }

  /**
   * Leaves the fleet and stops once all running calls have ended.
   *
   * @returns Once everything is closed.
   */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    this.#connections.log.info("daemon-draining", {
      active: this.#requests.destination.active,
    });
    this.#requests.destination.drain();
    this.#requests.ingress.drain();
    this.#core.membership.updateSelf(
      { state: MemberState.DRAINING },
      Date.now(),
    );
    // Other daemons take over the slots while this one drains.
    this.#requests.claims.stop();
    await Promise.all([this.#notifySenders(), this.#control.leases.stop()]);
    await sleep(this.#settings.drainMs);
    await this.#requests.ingress.stopAccepting();
    await sleep(LATE_REQUEST_WAIT_MS);
    await this.#waitForCallsToEnd();
    await this.#leave();
    this.#connections.log.info("daemon-stopped");
    this.#connections.log.close();
  }

  async #waitForCallsToEnd(): Promise<void> {
    const deadlineMs = monotonicMs() + MAX_DRAIN_MS;
    // Requests that arrived while the event loop was blocked are read first.
    await waitForNextPoll();
    while (
      this.#requests.destination.active + this.#requests.ingress.running > 0
    ) {
      if (monotonicMs() > deadlineMs) return;
      await sleep(DRAIN_POLL_INTERVAL_MS);
    }
  }

  async #leave(): Promise<void> {
    this.#control.reader.stop();
    this.#core.membership.updateSelf(
      { state: MemberState.LEFT, leasedSlots: [] },
      Date.now(),
    );
    this.#control.gossip.stop();
    await this.#notifySenders();
    // Callers may have sent requests on open connections meanwhile.
    await this.#waitForCallsToEnd();
    await Promise.all([
      this.#requests.ingress.close(),
      this.#peerServer.close(),
      this.#controlServer.close(),
      this.#admin.close(),
      this.#requests.backend.stop(),
      this.#requests.peers.close(),
    ]);
    await this.#connections.close();
  }

  /** Sends pending updates to recent senders and to some peers immediately. */
  async #notifySenders(): Promise<void> {
    const senders = [...this.#recentSenders.keys()]
      .flatMap((id) => this.#core.membership.table.get(id) ?? []);
    this.#control.gossip.disseminateNow();
    await this.#control.gossip.exchangeWithAll(senders);
  }

  #subscribeToBus(): void {
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
      if (status.isReady) this.#control.gossip.disseminateNow();
      else void this.#notifySenders();
    });
    this.#core.bus.on("slotsChanged", ({ held }) => {
      const leasedSlots = held.map((slot) => slot.name);
      this.#core.membership.updateSelf({ leasedSlots }, Date.now());
      this.#control.gossip.disseminateNow();
    });
  }

  #statistics(): Record<string, number> {
    const memory = process.memoryUsage();
    const cpu = process.cpuUsage();
    const load = this.#requests.destination.admission.load;
    return {
      version: this.#core.config.version,
      members: this.#core.membership.table.size,
      storeCalls: this.#connections.storeCalls,
      controlBytes: this.#connections.meters.control.bytes,
      requestBytes: this.#connections.meters.requests.bytes,
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
