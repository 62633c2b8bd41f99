import type { EventLog } from "../transport/observe/event_log.ts";
import { LogRateLimiter } from "../transport/observe/log_rate_limiter.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import { DestinationView } from "../coordination/dispatch/mod.ts";
import type { FeedNews } from "../protocol/feed.ts";
import type { BackendRecord } from "../protocol/mesh.ts";
import type { MeshCall } from "../protocol/mesh_call.ts";
import { CallStatus } from "../protocol/peer_call.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import type { DestinationTask } from "./destination_task.ts";
import { PeerClient, type SendOptions } from "./peer_client.ts";
import type { PeerResult } from "./peer_reply.ts";
import type { Finding } from "./silence_watch.ts";

/** Most lines about questions without a good answer in a second. */
const MAX_FINDING_LINES_PER_S = 20;

/** What the way to the other daemons needs. */
export interface FleetOptions {
  readonly instance: string;
  readonly directory: BackendDirectory;
  readonly routes: RouteTableHolder;
  readonly destination: DestinationTask;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
  /** Takes in the configuration version of another daemon. */
  readonly onVersion: (version: number, client: PeerClient) => void;
}

/** A way to one backend server, with what is known of it. */
interface Link {
  readonly id: string;
  readonly address: string;
  readonly view: DestinationView;
  readonly client: PeerClient;
}

/**
 * Sends requests to the backend servers of the fleet, and keeps what their
 * answers tell.
 *
 * @example
 * ```ts ignore
 * const outcome = await fleet.execute(record, call, options);
 * ```
 */
export class Fleet {
  readonly #options: FleetOptions;
  readonly #links = new Map<string, Link>();
  readonly #findingLines: LogRateLimiter;

  /**
   * Creates a fleet without connections.
   *
   * @param options Directory, own destination and configuration.
   */
  constructor(options: FleetOptions) {
    this.#options = options;
    this.#findingLines = new LogRateLimiter(
      options.log,
      MAX_FINDING_LINES_PER_S,
    );
  }

  /**
   * Returns what is known of a backend server.
   *
   * @param record Its record.
   * @returns The view; without evidence at first.
   */
  viewOf(record: BackendRecord): DestinationView {
    return this.#linkOf(record).view;
  }

  /**
   * Asks the daemon beside a backend server for news from the store.
   *
   * @param record The backend server.
   * @param afterRevision Newest revision that was seen.
   * @returns The news; `undefined` where it has none to give.
   */
  pollFeed(
    record: BackendRecord,
    afterRevision: number,
  ): Promise<FeedNews | undefined> {
    return this.#linkOf(record).client.pollFeed(afterRevision);
  }

  /**
   * Has a request executed by a backend server.
   *
   * @param record The backend server.
   * @param call The request.
   * @param options How it is sent.
   * @returns The outcome; never rejects.
   */
  async execute(
    record: BackendRecord,
    call: MeshCall,
    options: Omit<SendOptions, "configVersion">,
  ): Promise<PeerResult["outcome"]> {
    const { view, client } = this.#linkOf(record);
    view.sent(call.route);
    const isOwn = record.instance === this.#options.instance;
    const result = isOwn
      ? await this.#executeHere(call, options.signal)
      : await client.execute(call, {
        ...options,
        configVersion: this.#options.routes.version,
        onDoubt: (reason) => {
          view.unreached(performance.now());
          options.onDoubt(reason);
        },
      });
    const nowMs = performance.now();
    view.ended(call.route, result.outcome, nowMs);
    if (result.load !== undefined) {
      view.reported(call.route, result.load, nowMs);
    }
    if (result.placeWaitMs !== undefined) {
      view.waitedForPlace(result.placeWaitMs, nowMs);
    }
    if (result.transitMs !== undefined) {
      view.travelled(result.transitMs, nowMs);
    }
    if (result.configVersion !== undefined) {
      this.#options.onVersion(result.configVersion, client);
    }
    if (isLost(result)) view.unreached(nowMs);
    return result.outcome;
  }

  /**
   * Closes the link to an instance that has gone.
   *
   * @param instance Name of the instance.
   */
  forget(instance: string): void {
    this.#links.get(instance)?.client.close();
    this.#links.delete(instance);
  }

  #noteFinding(record: BackendRecord, finding: Finding): void {
    const { log, metrics } = this.#options;
    const { status, repeated, ...details } = finding;
    const found = status ?? "silent";
    metrics.count("questions_total", { found });
    if (status === CallStatus.Open) return;
    if (!this.#findingLines.allows(performance.now())) return;
    log.info("request-doubted", {
      ...details,
      backend: record.id,
      instance: record.instance,
      found,
      repeated,
    });
  }

  async #executeHere(
    call: MeshCall,
    signal: AbortSignal,
  ): Promise<PeerResult> {
    const { destination } = this.#options;
    const outcome = await destination.execute(call, signal);
    return { outcome, load: destination.loadFor(call) };
  }

  #linkOf(record: BackendRecord): Link {
    const known = this.#links.get(record.instance);
    const isSame = known?.id === record.id &&
      known.address === record.peerAddress;
    if (isSame) return known;
    known?.client.close();
    const link = {
      id: record.id,
      address: record.peerAddress,
      view: new DestinationView(),
      client: new PeerClient(record, {
        onFinding: (finding) => this.#noteFinding(record, finding),
      }),
    };
    this.#links.set(record.instance, link);
    return link;
  }
}

/** Without a load report nothing of the destination's daemon was heard. */
function isLost(result: PeerResult): boolean {
  return result.load === undefined && result.outcome.kind !== "answered" &&
    (result.outcome.reason === "unreachable" ||
      result.outcome.reason === "broken");
}
