import type { Settings } from "../protocol/settings_schema.ts";
import { FleetClients } from "../transport/control/fleet_client.ts";
import { PeerAuth } from "../transport/control/peer_auth.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { EventLoopMonitor } from "../transport/observe/event_loop_monitor.ts";
import { type Metrics, openMetrics } from "../transport/observe/metrics.ts";
import { SocketMeter } from "../transport/observe/socket_meter.ts";
import { EtcdStore } from "../transport/store/etcd_store.ts";
import { openLog } from "./daemon_setup.ts";

/**
 * A daemon's log, metrics and connections to peers and the store.
 *
 * Traffic on behalf of callers' requests has separate connections, meters and
 * rate limits of store calls, so that it never starves control traffic.
 *
 * @example
 * ```ts ignore
 * const connections = new DaemonConnections(settings, self.id);
 * await connections.close();
 * ```
 */
export class DaemonConnections {
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly loop: EventLoopMonitor;
  readonly meters = {
    control: new SocketMeter(),
    requests: new SocketMeter(),
  };
  readonly auth: PeerAuth;
  /** Returns the current authentication token of this daemon. */
  readonly token: () => string;
  readonly store: EtcdStore;
  readonly claimStore: EtcdStore;
  readonly clients: FleetClients;
  readonly requestClients: FleetClients;
  #storeCalls = 0;

  /**
   * Creates the clients; connections open on demand.
   *
   * @param settings Validated settings.
   * @param selfId Member id of this daemon.
   */
  constructor(settings: Settings, selfId: string) {
    const { store, claims, sourceAddress } = settings;
    const { control, requests } = this.meters;
    this.log = openLog(settings);
    this.metrics = openMetrics(settings.statsd, settings.instance);
    this.loop = new EventLoopMonitor({
      log: this.log,
      onStall: (delayMs) => this.metrics.timing("loop.held_up", delayMs),
      onAcceptBacklog: (server) =>
        this.metrics.count("loop.accept_busy", 1, [`server:${server}`]),
    });
    this.loop.start();
    this.auth = new PeerAuth(settings.fleetKeys);
    this.token = () => this.auth.token(selfId, Date.now());
    const openStore = (meter: SocketMeter, callsPerSecond: number) =>
      new EtcdStore(store.endpoints, {
        callsPerSecond,
        timeoutMs: store.timeoutMs,
        sourceAddress,
        meter,
        onCall: (step) => this.#countStoreCall(step),
      });
    this.store = openStore(control, store.callsPerSecond);
    this.claimStore = openStore(requests, claims.storeCallsPerSecond);
    this.clients = new FleetClients(this.token, {
      sourceAddress,
      meter: control,
    });
    this.requestClients = new FleetClients(this.token, {
      sourceAddress,
      meter: requests,
    });
  }

  /** Number of store calls so far. */
  get storeCalls(): number {
    return this.#storeCalls;
  }

  /** Closes all connections and sends the remaining metrics. */
  async close(): Promise<void> {
    this.clients.close();
    this.requestClients.close();
    this.loop.stop();
    this.metrics.close();
    await Promise.all([this.store.close(), this.claimStore.close()]);
  }

  #countStoreCall(step: string): void {
    this.#storeCalls++;
    this.metrics.count("store.calls", 1, [`step:${step}`]);
  }
}
