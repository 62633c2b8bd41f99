import { createServer, type Server } from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { DEFAULT_QUOTA_BOUNDS } from "../coordination/quota/mod.ts";
import { ResponseSizes } from "../coordination/dispatch/mod.ts";
import { Random } from "../protocol/random.ts";
import type { Announcement } from "../protocol/mesh.ts";
import { BackendDirectory } from "../state/backend_directory.ts";
import { LocalBackend } from "../state/local_backend.ts";
import { RouteTableHolder } from "../state/route_table_holder.ts";
import { heldBytesLimit, PROCESS_BYTES } from "../transport/http/held_bytes.ts";
import { stopAccepting } from "../transport/http/listen.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { EventLoopMonitor } from "../transport/observe/event_loop_monitor.ts";
import { TextMetrics } from "../transport/observe/text_metrics.ts";
import { UsageReport } from "../transport/observe/usage_report.ts";
import { RecordPublisher } from "./record_publisher.ts";
import { BackendLifecycle } from "./backend_lifecycle.ts";
import { createControlServer } from "./control_server.ts";
import { BackendDispatcher } from "./backend_dispatcher.ts";
import { GracefulShutdown } from "./graceful_shutdown.ts";
import { DestinationPool } from "./destination_pool.ts";
import { IngressServer } from "./ingress_server.ts";
import { QuotaTask } from "./quota_task.ts";
import { RequestQuarantine } from "./request_quarantine.ts";
import { PeerServer } from "./peer_server.ts";
import { RolloutTask } from "./rollout_task.ts";
import type { SidecarPorts } from "./ports.ts";
import type { SidecarSettings } from "./sidecar_settings.ts";
import { RetryBudgets } from "./retry_budgets.ts";
import { registerGauges } from "./sidecar_gauges.ts";
import { logReload } from "./log_reload.ts";
import { listenAt, waitUntil } from "./start_and_stop.ts";
import { createStoreSync } from "./create_store_sync.ts";
import type { StoreSyncTask } from "./store_sync_task.ts";

/** Earliest end of a stopping process: once its callers have left, in ms. */
const EARLIEST_END_MS = 2_400;
/** Time without requests after which a stopping process ends, in ms. */
const QUIET_PERIOD_MS = 400;
/** Time for callers to notice that their connections close, in ms. */
const CLOSE_NOTICE_MS = 60;

/**
 * The sidecar daemon of one backend server of a mesh.
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
  readonly #directory = new BackendDirectory((record) =>
    this.#rollouts?.handleRecord(record)
  );
  readonly #budgets: RetryBudgets;
  readonly #stopped = new AbortController();
  readonly #shutdown = new GracefulShutdown();
  readonly #quarantine: RequestQuarantine;
  readonly #dispatcher: BackendDispatcher;
  readonly #destinations: DestinationPool;
  readonly #quotas: QuotaTask;
  readonly #ingress: IngressServer;
  readonly #peerServer: PeerServer;
  readonly #controlServers: Server[];
  readonly #metrics = new TextMetrics();
  readonly #metricsServer: Server;
  readonly #eventLoop: EventLoopMonitor;
  readonly #usage: UsageReport;
  readonly #publisher: RecordPublisher;
  readonly #lifecycle: BackendLifecycle;
  readonly #sync: StoreSyncTask;
  readonly #rollouts: RolloutTask | undefined;
  #isStopping = false;

  /**
   * Creates a daemon that has not started.
   *
   * @param settings Settings of the daemon.
   * @param ports Adapters of the deployment.
   */
  constructor(settings: SidecarSettings, ports: SidecarPorts) {
    this.#settings = settings;
    this.#budgets = new RetryBudgets(settings, () => this.#directory.size);
    this.#ports = ports;
    PROCESS_BYTES.setLimit(heldBytesLimit(settings.memoryMb ?? 0));
    this.#log = new EventLog({ fields: { instance: settings.instance } });
    this.#eventLoop = new EventLoopMonitor({
      log: this.#log,
      onStall: (delayMs) => this.#metrics.observe("held_up_ms", delayMs),
      onAcceptBacklog: (server) =>
        this.#metrics.count("accept_busy_total", { server }),
    });
    this.#usage = new UsageReport(this.#log, this.#metrics);
    const backend = new LocalBackend();
    this.#quarantine = new RequestQuarantine({
      instance: settings.instance,
      log: this.#log,
      metrics: this.#metrics,
      onReport: () => this.#lifecycle.publishEnds(),
    });
    this.#dispatcher = new BackendDispatcher({
      backend,
      quarantine: this.#quarantine,
      headers: ports.headers,
      stalls: this.#eventLoop,
      log: this.#log,
      metrics: this.#metrics,
      onLeaving: (id) => this.#lifecycle.handleLeavingResponse(id),
      admits: () => this.#admitsVersionOf(backend.current),
    });
    this.#publisher = new RecordPublisher({
      store: ports.store,
      instance: settings.instance,
      log: this.#log,
      metrics: this.#metrics,
    });
    this.#lifecycle = new BackendLifecycle({
      settings,
      backend,
      dispatcher: this.#dispatcher,
      directory: this.#directory,
      publisher: this.#publisher,
      quarantine: this.#quarantine,
      routes: this.#routes,
      idHeader: ports.headers.backendId,
      log: this.#log,
      startedAtMs: performance.now(),
    });
    this.#destinations = new DestinationPool({
      instance: settings.instance,
      domain: settings.domain,
      directory: this.#directory,
      routes: this.#routes,
      dispatcher: this.#dispatcher,
      quarantine: this.#quarantine,
      log: this.#log,
      metrics: this.#metrics,
      leavingHeader: ports.headers.leaving,
      onPeerVersion: (version, client) =>
        void this.#sync.handlePeerVersion(version, client),
    });
    this.#quotas = this.#createQuotas();
    this.#rollouts = this.#createRollouts();
    this.#ingress = this.#createIngress();
    this.#sync = createStoreSync({
      settings,
      ports,
      routes: this.#routes,
      directory: this.#directory,
      quarantine: this.#quarantine,
      log: this.#log,
      metrics: this.#metrics,
      publisher: this.#publisher,
      destinations: this.#destinations,
      lifecycle: this.#lifecycle,
      rollouts: this.#rollouts,
      onConfigAdopted: () => {
        this.#ingress.applyLimits();
        this.#quotas.handleConfig();
        void this.#lifecycle.checkUnproven();
      },
    });
    this.#peerServer = new PeerServer({
      linkMbps: settings.linkMbps,
      dispatcher: this.#dispatcher,
      quarantine: this.#quarantine,
      routes: this.#routes,
      shutdown: this.#shutdown,
      stalls: this.#eventLoop,
      log: this.#log,
      metrics: this.#metrics,
      onPeerVersion: (version) =>
        void this.#sync.handlePeerVersion(version, undefined),
      waitForUpdate: (poll) => this.#sync.waitForUpdate(poll),
      viewAgeMs: () => this.#sync.viewAgeMs(),
      serveQuota: (report) => this.#quotas.serve(report),
      handleRolloutReport: (report) => this.#rollouts?.handleReport(report),
    });
    const { readyAddress, controlAddress } = settings;
    this.#controlServers = [...new Set([readyAddress, controlAddress])].map(
      () => this.#createControlServer(),
    );
    this.#metricsServer = createServer((_request, response) => {
      response.writeHead(200, { "content-type": "text/plain" })
        .end(this.#metrics.text());
    });
    registerGauges(this.#metrics, {
      routes: this.#routes,
      directory: this.#directory,
      sync: this.#sync,
      ingress: this.#ingress,
      dispatcher: this.#dispatcher,
      eventLoop: this.#eventLoop,
    });
  }

  /** Opens the ports and starts to synchronize with the store. */
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
      listenAt(this.#peerServer.server, settings.peerAddress),
      listenAt(this.#metricsServer, settings.metricsAddress),
      ...controlAddresses.map((address, index) =>
        listenAt(this.#controlServers[index]!, address)
      ),
    ]);
    this.#eventLoop.observe("ingress", this.#ingress.server);
    this.#eventLoop.observe("peers", this.#peerServer.server);
    this.#eventLoop.start();
    this.#usage.start();
    this.#quotas.start();
    void this.#sync.run(this.#stopped.signal);
    void this.#publisher.run(this.#stopped.signal);
  }

  /**
   * Reads the settings again and logs the names of those that changed. Settings
   * hold for the life of a process, so a change needs a restart.
   *
   * @param read Reads and checks the settings; throws if they are invalid.
   */
  reload(read: () => SidecarSettings): void {
    logReload(this.#settings, read, this.#log);
  }

  /**
   * Shuts down gracefully. Callers are served for up to the whole grace period,
   * other daemons only for a part of it.
   *
   * @returns A promise that resolves once the process may end.
   */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const startedAtMs = performance.now();
    const { graceMs } = this.#settings;
    this.#log.info("daemon-stopping", {
      graceMs,
      open: this.#ingress.openRequests,
    });
    this.#ingress.disableKeepAlive();
    this.#shutdown.begin(startedAtMs, graceMs);
    const { endAtMs } = this.#shutdown;
    await waitUntil((nowMs) =>
      nowMs >= endAtMs || this.#isQuiet(startedAtMs, nowMs)
    );
    // Requests on connections that are still open are refused from now on.
    this.#shutdown.stopAdmission(performance.now());
    await stopAccepting(this.#ingress.server);
    this.#ingress.server.closeIdleConnections();
    await sleep(CLOSE_NOTICE_MS);
    await waitUntil((nowMs) => nowMs >= endAtMs || this.#isIdle());
    this.#ingress.expireAll();
    await sleep(CLOSE_NOTICE_MS);
    this.#stopTasks();
    this.#log.info("daemon-stopped", { open: this.#ingress.openRequests });
    this.#log.close();
  }

  /** Stops at once, as a crash would. */
  kill(): void {
    this.#stopTasks();
    this.#peerServer.closeChannels();
    const servers = [
      this.#ingress.server,
      this.#peerServer.server,
      this.#metricsServer,
    ];
    for (const server of [...servers, ...this.#controlServers]) {
      server.close();
      server.closeAllConnections();
    }
    this.#log.close();
  }

  #stopTasks(): void {
    this.#stopped.abort();
    this.#quarantine.stop();
    this.#eventLoop.stop();
    this.#usage.stop();
    this.#quotas.stop();
    this.#rollouts?.stop();
  }

  #isQuiet(startedAtMs: number, nowMs: number): boolean {
    if (nowMs - startedAtMs < EARLIEST_END_MS) return false;
    return this.#isIdle() &&
      nowMs - this.#ingress.lastRequestAtMs > QUIET_PERIOD_MS;
  }

  #isIdle(): boolean {
    return this.#ingress.openRequests === 0 &&
      this.#dispatcher.openRequests === 0;
  }

  #createQuotas(): QuotaTask {
    const { instance, quotaWindowMs, quotaOver, quotaSlack } = this.#settings;
    return new QuotaTask({
      instance,
      bounds: {
        windowMs: quotaWindowMs ?? DEFAULT_QUOTA_BOUNDS.windowMs,
        over: quotaOver ?? DEFAULT_QUOTA_BOUNDS.over,
        slack: quotaSlack ?? DEFAULT_QUOTA_BOUNDS.slack,
      },
      directory: this.#directory,
      routes: this.#routes,
      log: this.#log,
      metrics: this.#metrics,
      isDirectoryKnown: () => this.#sync.hasListed,
      viewAgeMs: () => this.#sync.viewAgeMs(),
      send: (...args) => this.#destinations.sendQuotaReport(...args),
    });
  }

  #createIngress(): IngressServer {
    const { domain, service } = this.#settings;
    return new IngressServer({
      routes: this.#routes,
      headers: this.#ports.headers,
      shutdown: this.#shutdown,
      stalls: this.#eventLoop,
      log: this.#log,
      metrics: this.#metrics,
      configAgeMs: () => this.#sync.configAgeMs(),
      confirmConfig: () => this.#sync.confirmConfig(),
      quotas: this.#quotas,
      runningRequests: () => this.#dispatcher.runningRequests,
      forwarding: {
        destinations: this.#destinations,
        directory: this.#directory,
        quarantine: this.#quarantine,
        random: new Random(process.pid ^ Date.now()),
        responseSizes: new ResponseSizes(),
        domain,
        callerService: service,
        choosesByValue: (name) =>
          this.#routes.current?.organisations !== undefined ||
          this.#destinations.reportsPace(name),
        budgetOf: (name) => this.#budgets.of(name),
        ...(this.#rollouts === undefined
          ? {}
          : { versions: this.#rollouts.versions }),
      },
    });
  }

  #createRollouts(): RolloutTask | undefined {
    const { rollouts: wire, store } = this.#ports;
    return wire && new RolloutTask({
      instance: this.#settings.instance,
      store,
      wire,
      directory: this.#directory,
      random: new Random(process.pid ^ Date.now()),
      log: this.#log,
      metrics: this.#metrics,
      viewAgeMs: () => this.#sync.viewAgeMs(),
      openRequests: () => this.#dispatcher.openRequests,
      sendReport: (record, report) =>
        this.#destinations.reportRollout(record, report),
    });
  }

  #admitsVersionOf(backend: Announcement | undefined): boolean {
    if (backend === undefined || this.#rollouts === undefined) return true;
    return this.#rollouts.versions.admits(backend.service, backend.version);
  }

  #createControlServer(): Server {
    return createControlServer({
      decoder: this.#ports.control,
      log: this.#log,
      metrics: this.#metrics,
      events: {
        handleAnnouncement: (announcement) =>
          this.#lifecycle.handleAnnouncement(announcement),
        handleLeave: (id, bornAtUnixMs) =>
          this.#lifecycle.handleLeave(id, bornAtUnixMs),
        isReady: () => this.#isReady(),
      },
    });
  }

  #isReady(): boolean {
    return !this.#isStopping && this.#routes.current !== undefined &&
      this.#sync.hasListed;
  }
}
