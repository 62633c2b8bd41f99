import { createServer, type Server } from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { WindowBudget } from "../coordination/retry/window_budget.ts";
import { Random } from "../protocol/random.ts";
import { messageOf } from "../protocol/step_error.ts";
import { BackendDirectory } from "../state/backend_directory.ts";
import { OwnBackend } from "../state/own_backend.ts";
import { RouteTableHolder } from "../state/route_table_holder.ts";
import { listen, stopAccepting } from "../transport/http/listen.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { EventLoopMonitor } from "../transport/observe/event_loop_monitor.ts";
import { TextMetrics } from "../transport/observe/text_metrics.ts";
import { UsageReport } from "../transport/observe/usage_report.ts";
import { AnnounceTask } from "./announce_task.ts";
import { BackendKeeper } from "./backend_keeper.ts";
import { createControlServer } from "./control_task.ts";
import { DestinationTask } from "./destination_task.ts";
import { Ending } from "./ending.ts";
import { FeedFollower } from "./feed_follower.ts";
import { Fleet } from "./fleet.ts";
import { IngressTask } from "./ingress_task.ts";
import { PeerServer } from "./peer_server.ts";
import type { SidecarPorts } from "./ports.ts";
import type { SidecarSettings } from "./sidecar_settings.ts";
import { StoreSyncTask } from "./store_sync_task.ts";

/** Share of the fleet-wide ratio of repeats that one daemon uses. */
const BUDGET_RATIO_SHARE = 0.5;
/** Share of the fleet-wide slack of repeats that all daemons together use. */
const BUDGET_SLACK_SHARE = 0.7;
/** Part of the grace before which the process does not end. */
const EARLIEST_END_SHARE = 0.4;
/** Part of the grace after which others choose other backend servers. */
const AWAY_SHARE = 0.2;
/** Quiet time without callers after which a stopping process ends, in ms. */
const QUIET_END_MS = 400;
/** Time in which callers hear that their connections close, in ms. */
const CLOSE_MS = 60;
/** Pause between two checks for the end, in ms. */
const END_CHECK_MS = 50;

/**
 * The daemon beside one backend server of a mesh.
 *
 * @example
 * ```ts ignore
 * const sidecar = new Sidecar(settings, ports);
 * await sidecar.start();
 * ```
 */
export class Sidecar {
  readonly #settings: SidecarSettings;
  readonly #ports: SidecarPorts;
  readonly #log: EventLog;
  readonly #routes = new RouteTableHolder();
  readonly #directory = new BackendDirectory();
  readonly #budgets = new Map<string, WindowBudget>();
  readonly #stopped = new AbortController();
  readonly #ending = new Ending();
  readonly #destination: DestinationTask;
  readonly #fleet: Fleet;
  readonly #ingress: IngressTask;
  readonly #peers: PeerServer;
  readonly #control: Server[];
  readonly #metrics = new TextMetrics();
  readonly #metricsServer: Server;
  readonly #loop: EventLoopMonitor;
  readonly #usage: UsageReport;
  readonly #announcer: AnnounceTask;
  readonly #keeper: BackendKeeper;
  readonly #sync: StoreSyncTask;
  #isStopping = false;

  /**
   * Builds a daemon that does nothing yet.
   *
   * @param settings Its settings.
   * @param ports The deployment's adapter.
   */
  constructor(settings: SidecarSettings, ports: SidecarPorts) {
    this.#settings = settings;
    this.#ports = ports;
    this.#log = new EventLog({ fields: { instance: settings.instance } });
    this.#loop = new EventLoopMonitor({
      log: this.#log,
      onStall: (delayMs) => this.#metrics.observe("held_up_ms", delayMs),
      onAcceptBacklog: (server) =>
        this.#metrics.count("accept_busy_total", { server }),
    });
    this.#usage = new UsageReport(this.#log, this.#metrics);
    const backend = new OwnBackend();
    this.#destination = new DestinationTask({
      backend,
      headers: ports.headers,
      stalls: this.#loop,
      log: this.#log,
      metrics: this.#metrics,
    });
    this.#announcer = new AnnounceTask({
      store: ports.store,
      instance: settings.instance,
      log: this.#log,
    });
    this.#keeper = new BackendKeeper({
      settings,
      backend,
      destination: this.#destination,
      directory: this.#directory,
      announcer: this.#announcer,
      routes: this.#routes,
      idHeader: ports.headers.backendId,
      log: this.#log,
    });
    this.#fleet = new Fleet({
      instance: settings.instance,
      directory: this.#directory,
      routes: this.#routes,
      destination: this.#destination,
      log: this.#log,
      metrics: this.#metrics,
      onVersion: (version, client) => void this.#sync.hear(version, client),
    });
    this.#ingress = this.#createIngress();
    this.#sync = this.#createSync();
    this.#peers = new PeerServer({
      destination: this.#destination,
      routes: this.#routes,
      ending: this.#ending,
      stalls: this.#loop,
      log: this.#log,
      metrics: this.#metrics,
      onVersion: (version) => void this.#sync.hear(version, undefined),
      newsFor: (afterRevision, waitMs) =>
        this.#sync.newsFor(afterRevision, waitMs),
    });
    const { readyAddress, controlAddress } = settings;
    this.#control = [...new Set([readyAddress, controlAddress])].map(() =>
      this.#createControl()
    );
    this.#metricsServer = createServer((_request, response) => {
      response.writeHead(200, { "content-type": "text/plain" })
        .end(this.#metrics.text());
    });
    this.#openGauges();
  }

  /** Opens the ports and starts to follow the store. */
  async start(): Promise<void> {
    const settings = this.#settings;
    this.#log.info("daemon-started", {
      domain: settings.domain,
      service: settings.service,
      pid: process.pid,
    });
    const controlAddresses = [
      ...new Set([settings.readyAddress, settings.controlAddress]),
    ];
    await Promise.all([
      listenAt(this.#ingress.server, settings.ingressAddress),
      listenAt(this.#peers.server, settings.peerAddress),
      listenAt(this.#metricsServer, settings.metricsAddress),
      ...controlAddresses.map((address, index) =>
        listenAt(this.#control[index]!, address)
      ),
    ]);
    this.#loop.observe("ingress", this.#ingress.server);
    this.#loop.observe("peers", this.#peers.server);
    this.#loop.start();
    this.#usage.start();
    void this.#sync.run(this.#stopped.signal);
    void this.#announcer.run(this.#stopped.signal);
  }

  /**
   * Takes in settings that were read again. Addresses and identity hold for the
   * life of a process; what differs is named, and needs a restart.
   *
   * @param read Reads and checks the settings; throws where they are wrong.
   */
  reload(read: () => SidecarSettings): void {
    try {
      const next = read();
      const current = this.#settings;
      const names = Object.keys(next) as (keyof SidecarSettings)[];
      const changed = names.filter((name) => next[name] !== current[name]);
      this.#log.info("settings-reloaded", { needsRestart: changed.join(",") });
    } catch (error) {
      this.#log.error("settings-refused", { reason: messageOf(error) });
    }
  }

  /**
   * Leaves: serves callers to the end of the grace, others for a part of it.
   *
   * @returns Once the process may end.
   */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const startedAtMs = performance.now();
    const { graceMs } = this.#settings;
    this.#log.info("daemon-stopping", { graceMs, open: this.#ingress.open });
    this.#ingress.close();
    // Until callers have gone elsewhere, the backend server serves as before.
    setTimeout(() => this.#keeper.leave(), graceMs * AWAY_SHARE);
    this.#ending.begin(startedAtMs, graceMs);
    const { endAtMs } = this.#ending;
    await until((nowMs) =>
      nowMs >= endAtMs || this.#isQuiet(startedAtMs, nowMs)
    );
    // Some callers still have connections; what comes on them is refused.
    this.#ending.close(performance.now());
    await stopAccepting(this.#ingress.server);
    this.#ingress.server.closeIdleConnections();
    await sleep(CLOSE_MS);
    await until((nowMs) => nowMs >= endAtMs || this.#isIdle());
    this.#ingress.expire();
    await sleep(CLOSE_MS);
    this.#stopped.abort();
    this.#loop.stop();
    this.#usage.stop();
    this.#log.info("daemon-stopped", { open: this.#ingress.open });
    this.#log.close();
  }

  /** Ends at once, as a crash would. */
  kill(): void {
    this.#stopped.abort();
    this.#loop.stop();
    this.#usage.stop();
    this.#peers.closeChannels();
    const servers = [
      this.#ingress.server,
      this.#peers.server,
      this.#metricsServer,
    ];
    for (const server of [...servers, ...this.#control]) {
      server.close();
      server.closeAllConnections();
    }
    this.#log.close();
  }

  #isQuiet(startedAtMs: number, nowMs: number): boolean {
    const { graceMs } = this.#settings;
    if (nowMs - startedAtMs < graceMs * EARLIEST_END_SHARE) return false;
    return this.#isIdle() &&
      nowMs - this.#ingress.lastRequestAtMs > QUIET_END_MS;
  }

  #isIdle(): boolean {
    return this.#ingress.open === 0 && this.#destination.size === 0;
  }

  #openGauges(): void {
    this.#metrics.gauge("config_version", () => this.#routes.version);
    this.#metrics.gauge("backends_known", () => this.#directory.size);
    this.#metrics.gauge("requests_open", () => this.#ingress.open);
    this.#metrics.gauge("destination_requests", () => this.#destination.size);
    this.#metrics.gauge(
      "event_loop_delay_p99_ms",
      () => this.#loop.delayP99Ms,
    );
  }

  #createIngress(): IngressTask {
    const { domain, service } = this.#settings;
    return new IngressTask({
      routes: this.#routes,
      headers: this.#ports.headers,
      ending: this.#ending,
      stalls: this.#loop,
      log: this.#log,
      metrics: this.#metrics,
      flow: {
        fleet: this.#fleet,
        directory: this.#directory,
        random: new Random(process.pid ^ Date.now()),
        domain,
        callerService: service,
        budgetOf: (name) => this.#budgetOf(name),
      },
    });
  }

  #createSync(): StoreSyncTask {
    return new StoreSyncTask({
      store: this.#ports.store,
      source: this.#ports.config,
      routes: this.#routes,
      directory: this.#directory,
      log: this.#log,
      metrics: this.#metrics,
      ownKey: this.#announcer.key,
      follower: new FeedFollower({
        instance: this.#settings.instance,
        domain: this.#settings.domain,
        directory: this.#directory,
        pollFeed: (record, afterRevision) =>
          this.#fleet.pollFeed(record, afterRevision),
        log: this.#log,
      }),
      onConfig: () => this.#ingress.configured(),
      onOwnRecord: (entry) => {
        const record = this.#announcer.observed(entry);
        if (record !== undefined) this.#keeper.recover(record);
      },
      onGone: (instance) => this.#fleet.forget(instance),
    });
  }

  #createControl(): Server {
    return createControlServer({
      dialect: this.#ports.control,
      log: this.#log,
      events: {
        announced: (announcement) => this.#keeper.announced(announcement),
        left: (id, bornAtUnixMs) => this.#keeper.left(id, bornAtUnixMs),
        isReady: () => this.#isReady(),
      },
    });
  }

  #isReady(): boolean {
    return !this.#isStopping && this.#routes.current !== undefined &&
      this.#sync.hasListed;
  }

  #budgetOf(service: string): WindowBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      const { retryRatio, retrySlack, retryWindowMs } = this.#settings;
      budget = new WindowBudget({
        windowMs: retryWindowMs,
        ratio: retryRatio * BUDGET_RATIO_SHARE,
        slack: () =>
          retrySlack * BUDGET_SLACK_SHARE / Math.max(1, this.#directory.size),
      });
      this.#budgets.set(service, budget);
    }
    return budget;
  }
}

/** Waits until a condition holds, which is looked at every few ms. */
function until(holds: (nowMs: number) => boolean): Promise<void> {
  return new Promise((resolve) => {
    if (holds(performance.now())) return resolve();
    const timer = setInterval(() => {
      if (!holds(performance.now())) return;
      clearInterval(timer);
      resolve();
    }, END_CHECK_MS);
  });
}

async function listenAt(server: Server, address: string): Promise<void> {
  const portAt = address.lastIndexOf(":");
  await listen(
    server,
    address.slice(0, portAt),
    Number(address.slice(portAt + 1)),
  );
}
