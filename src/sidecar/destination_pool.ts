import type { Buffer } from "node:buffer";
import type { CancelSignal } from "../protocol/cancellation.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { LogRateLimiter } from "../transport/observe/log_rate_limiter.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import {
  DestinationStats,
  DomainLoad,
  type RequestCostKey,
  RequestCosts,
  ServiceTimes,
} from "../coordination/dispatch/mod.ts";
import type { FeedPoll, FeedPollResult } from "../protocol/feed.ts";
import { type BackendRecord, BackendState } from "../protocol/mesh.ts";
import {
  type CallOutcome,
  type MeshCall,
  MeshReason,
} from "../protocol/mesh_call.ts";
import { CallStatus } from "../protocol/peer_call.ts";
import type { QuotaReport } from "../protocol/quota_message.ts";
import { messageOf } from "../protocol/step_error.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { BackendDispatcher } from "./backend_dispatcher.ts";
import { saysLeaving } from "./backend_response.ts";
import { PeerClient, type SendOptions } from "./peer_client.ts";
import type { PeerResult } from "./peer_reply.ts";
import type { QuotaExchange } from "./quota_task.ts";
import type { StatusReport } from "./status_poller.ts";

/** Most log lines about suspected requests in a second. */
const MAX_STATUS_LINES_PER_S = 20;

/** Options of a {@linkcode DestinationPool}. */
export interface DestinationPoolOptions {
  readonly instance: string;
  readonly domain: string;
  readonly directory: BackendDirectory;
  readonly routes: RouteTableHolder;
  readonly dispatcher: BackendDispatcher;
  readonly quarantine: RequestQuarantine;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
  /** Header in which a backend server says that it leaves, in lower case. */
  readonly leavingHeader: string;
  /** Called with the configuration version that another daemon reports. */
  readonly onPeerVersion: (version: number, client: PeerClient) => void;
}

/** How a request is sent, and its expected cost. */
export type ExecuteOptions = Omit<SendOptions, "configVersion"> & {
  readonly costKey: RequestCostKey;
  /** Whether the cost is learned for choices by expected value. */
  readonly learnsCost: boolean;
  /** Expected service time at the destination, in ms. */
  readonly expectedServiceMs: number;
};

/** The client of one backend server, and the statistics of its requests. */
interface Destination {
  readonly id: string;
  readonly address: string;
  readonly stats: DestinationStats;
  readonly client: PeerClient;
}

/**
 * Sends requests to the backend servers of the fleet, and keeps the load,
 * latency and failures that their responses show.
 *
 * @example
 * ```ts ignore
 * const outcome = await destinations.execute(record, call, options);
 * ```
 */
export class DestinationPool {
  readonly #options: DestinationPoolOptions;
  readonly #destinations = new Map<string, Destination>();
  /** Costs of requests over all destinations of a service. */
  readonly #costs = new Map<string, RequestCosts>();
  /** Service times over all destinations of a service. */
  readonly #serviceTimes = new Map<string, ServiceTimes>();
  /** By service and domain. */
  readonly #domainLoads = new Map<string, DomainLoad>();
  /** Services of which a backend server reported another pace than usual. */
  readonly #pacedServices = new Set<string>();
  readonly #statusLines: LogRateLimiter;

  /**
   * Creates a pool without connections.
   *
   * @param options Directory, local dispatcher and configuration.
   */
  constructor(options: DestinationPoolOptions) {
    this.#options = options;
    this.#statusLines = new LogRateLimiter(options.log, MAX_STATUS_LINES_PER_S);
  }

  /**
   * Returns the statistics of this daemon's requests to a backend server.
   *
   * @param record The record of the backend server.
   * @returns The statistics, which are empty before the first request.
   */
  statsOf(record: BackendRecord): DestinationStats {
    return this.#findOrCreate(record).stats;
  }

  /**
   * Returns whether backend servers of a service report how fast they work at
   * each moment.
   *
   * @param service Name of the service.
   * @returns Whether one did that was not at its usual pace.
   */
  reportsPace(service: string): boolean {
    return this.#pacedServices.has(service);
  }

  /**
   * Returns the costs of the requests of a service.
   *
   * @param service Name of the service.
   * @returns The costs, which are empty before the first response.
   */
  costsOf(service: string): RequestCosts {
    let costs = this.#costs.get(service);
    if (costs === undefined) {
      costs = new RequestCosts();
      this.#costs.set(service, costs);
    }
    return costs;
  }

  /**
   * Polls the daemon of a backend server for changes in the store.
   *
   * @param record The backend server.
   * @param afterRevision Newest revision that was seen.
   * @param mayWait Whether the daemon may hold the poll until there is a change.
   * @returns The changes, or why there are none; never rejects.
   */
  pollFeed(
    record: BackendRecord,
    poll: FeedPoll,
    signal?: CancelSignal,
  ): Promise<FeedPollResult> {
    return this.#findOrCreate(record).client.pollFeed(poll, signal);
  }

  /**
   * Sends a message to the daemon of a backend server as an account daemon.
   *
   * @param record The backend server.
   * @param report The message.
   * @returns The answer, or why there is none; never rejects.
   */
  sendQuotaReport(
    record: BackendRecord,
    report: QuotaReport,
  ): Promise<QuotaExchange> {
    return this.#findOrCreate(record).client.sendQuotaReport(report);
  }

  /**
   * Reports the results of the versions of a service to another daemon.
   *
   * @param record The backend server of the daemon.
   * @param report The encoded report.
   * @returns The encoded decision, if the daemon decides; never rejects.
   */
  reportRollout(
    record: BackendRecord,
    report: Buffer,
  ): Promise<Buffer | undefined> {
    return this.#findOrCreate(record).client.reportRollout(report);
  }

  /**
   * Executes a request on a backend server.
   *
   * @param record The backend server.
   * @param call The request.
   * @param options How it is sent.
   * @returns The outcome; never rejects.
   */
  async execute(
    record: BackendRecord,
    call: MeshCall,
    options: ExecuteOptions,
  ): Promise<PeerResult["outcome"]> {
    try {
      return await this.#execute(record, call, options);
    } catch (error) {
      this.#options.log.error("request-send-failed", {
        id: call.id,
        instance: record.instance,
        reason: messageOf(error),
      });
      return { kind: "unknown", reason: MeshReason.Other };
    }
  }

  async #execute(
    record: BackendRecord,
    call: MeshCall,
    options: ExecuteOptions,
  ): Promise<PeerResult["outcome"]> {
    const { stats, client } = this.#findOrCreate(record);
    stats.recordSend(call.route);
    const { namedLimitPerS } = stats;
    const isLocal = record.instance === this.#options.instance;
    const result = isLocal
      ? await this.#executeLocally(call, options.signal)
      : await client.execute(
        namedLimitPerS === undefined ? call : { ...call, namedLimitPerS },
        {
          ...options,
          configVersion: this.#options.routes.version,
          onSuspected: (reason) => {
            stats.recordUnreachable(performance.now());
            options.onSuspected(reason);
          },
        },
      );
    this.#options.quarantine.merge(call, result.evidence, record.instance);
    const nowMs = performance.now();
    if (result.load !== undefined) {
      if (result.load.pace !== 1) this.#pacedServices.add(record.service);
      stats.recordLoad(call.route, result.load, nowMs);
    }
    stats.recordOutcome(
      options.costKey,
      result.outcome,
      nowMs,
      options.learnsCost,
    );
    if (record.domain !== this.#options.domain) {
      this.#countRemoteBytes(call, result.outcome);
    }
    if (result.outcome.kind === "answered") {
      if (options.learnsCost) {
        this.#countCost(call.route, options, result.outcome.serviceMs);
      }
      if (!isLocal) this.#options.quarantine.recordServed(call);
      this.#recordLeaving(record, result.outcome.answer.headers);
      stats.recordNamedLimit(result.load?.limitPerS);
    }
    if (result.permitWaitMs !== undefined) {
      stats.recordPermitWait(result.permitWaitMs, nowMs);
    }
    if (result.transitMs !== undefined) {
      stats.recordTransit(result.transitMs, nowMs);
    }
    if (result.configVersion !== undefined) {
      this.#options.onPeerVersion(result.configVersion, client);
    }
    if (isUnreachable(result)) stats.recordUnreachable(nowMs);
    return result.outcome;
  }

  /**
   * Closes the connections to an instance that has left.
   *
   * @param instance Name of the instance.
   */
  remove(instance: string): void {
    this.#destinations.get(instance)?.client.close();
    this.#destinations.delete(instance);
  }

  /**
   * Chooses a backend server no more that says it leaves, even if its daemon
   * restarts and does not know.
   */
  #recordLeaving(record: BackendRecord, headers: readonly string[]): void {
    const { directory, leavingHeader, log } = this.#options;
    if (!saysLeaving(headers, leavingHeader)) return;
    if (directory.get(record.instance)?.record.id !== record.id) return;
    const draining = { ...record, state: BackendState.Draining };
    if (!directory.put(draining)) return;
    log.info("backend-leaving", {
      backend: record.id,
      instance: record.instance,
    });
  }

  #recordStatusReport(record: BackendRecord, report: StatusReport): void {
    const { log, metrics } = this.#options;
    const { status, repeated, ...details } = report;
    const found = status ?? "silent";
    metrics.count("questions_total", { found });
    if (status === CallStatus.Open) return;
    if (!this.#statusLines.allows(performance.now())) return;
    log.info("request-doubted", {
      ...details,
      backend: record.id,
      instance: record.instance,
      found,
      repeated,
    });
  }

  #countCost(route: string, options: ExecuteOptions, serviceMs: number): void {
    const { metrics } = this.#options;
    const errorMs = Math.abs(serviceMs - options.expectedServiceMs);
    metrics.count("service_ms_total", { route }, Math.round(serviceMs));
    metrics.count("service_error_ms_total", { route }, Math.round(errorMs));
  }

  #countRemoteBytes(call: MeshCall, outcome: CallOutcome): void {
    const requestBytes = call.body?.length ?? 0;
    const responseBytes = outcome.kind === "answered"
      ? outcome.answer.body.length
      : 0;
    this.#options.metrics.count(
      "remote_bytes_total",
      { route: call.route },
      requestBytes + responseBytes,
    );
  }

  async #executeLocally(
    call: MeshCall,
    signal: CancelSignal,
  ): Promise<PeerResult> {
    const { dispatcher } = this.#options;
    const outcome = await dispatcher.execute(call, signal);
    return { outcome, load: dispatcher.loadFor(call) };
  }

  #domainLoadOf(record: BackendRecord): DomainLoad {
    const name = `${record.service}\n${record.domain}`;
    let load = this.#domainLoads.get(name);
    if (load === undefined) {
      load = new DomainLoad();
      this.#domainLoads.set(name, load);
    }
    return load;
  }

  #serviceTimesOf(service: string): ServiceTimes {
    let times = this.#serviceTimes.get(service);
    if (times === undefined) {
      times = new ServiceTimes();
      this.#serviceTimes.set(service, times);
    }
    return times;
  }

  #findOrCreate(record: BackendRecord): Destination {
    const known = this.#destinations.get(record.instance);
    const isSame = known?.id === record.id &&
      known.address === record.peerAddress;
    if (isSame) return known;
    known?.client.close();
    const destination = {
      id: record.id,
      address: record.peerAddress,
      stats: new DestinationStats(
        this.costsOf(record.service),
        this.#domainLoadOf(record),
        this.#serviceTimesOf(record.service),
      ),
      client: new PeerClient(record, {
        onStatusReport: (report) => this.#recordStatusReport(record, report),
      }),
    };
    this.#destinations.set(record.instance, destination);
    return destination;
  }
}

/** Without a load report, the destination's daemon has not replied. */
function isUnreachable(result: PeerResult): boolean {
  return result.load === undefined && result.outcome.kind !== "answered" &&
    (result.outcome.reason === "unreachable" ||
      result.outcome.reason === "broken");
}
