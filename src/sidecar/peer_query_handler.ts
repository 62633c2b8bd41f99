import type { IncomingMessage, ServerResponse } from "node:http";
import type { Buffer } from "node:buffer";
import { gzipSync } from "node:zlib";
import {
  type ChangeBatch,
  COMPRESSION_LEVEL,
  encodeFeed,
  FEED_PATH,
  type FeedAnswer,
  type FeedPoll,
  HEADER_STORE_AWAY,
  HEADER_VIEW_AGE,
  parseFeedTarget,
} from "../protocol/feed.ts";
import {
  CallStatus,
  CONFIG_PATH,
  parseStatusTarget,
  ROLLOUT_PATH,
  STATUS_PATH,
} from "../protocol/peer_call.ts";
import {
  HEADER_TRANSFER,
  parseTransfer,
  parseTransferPermitTarget,
  TRANSFER_PERMIT_PATH,
} from "../protocol/transfer_permit.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import { readBody } from "../transport/http/read_body.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import { type CallStatusTable, RETENTION_MS } from "./call_status_table.ts";
import type { TransferPermitQueue } from "./transfer_permit_queue.ts";

/** HTTP status of a reply to a daemon without a result. */
const NO_RESPONSE_STATUS = 503;
/** HTTP status of a reply to a query that cannot be read. */
const BAD_REQUEST_STATUS = 400;
/** Upper bound of the time from process start to the first request, in ms. */
const START_MARGIN_MS = 200;
/** Largest report about the versions of a service, in bytes. */
const MAX_REPORT_BYTES = 1024 * 1024;
/** Time for such a report to come in full, in ms. */
const REPORT_TIMEOUT_MS = 1_000;

/** Options of a {@linkcode PeerQueryHandler}. */
export interface PeerQueryOptions {
  readonly routes: RouteTableHolder;
  readonly metrics: TextMetrics;
  readonly callStatuses: CallStatusTable;
  readonly transferPermits: TransferPermitQueue;
  /** Waits for store changes after a revision. */
  readonly waitForUpdate: (poll: FeedPoll) => Promise<FeedAnswer>;
  /** Age of this daemon's view of the store, in ms. */
  readonly viewAgeMs: () => number;
  /** Answers an encoded report about the versions of a service. */
  readonly handleRolloutReport?: (report: Buffer) => Buffer | undefined;
}

/**
 * Rejects a query that cannot be read.
 *
 * @param response The response to the query.
 *
 * @example
 * ```ts ignore
 * rejectQuery(response);
 * ```
 */
export function rejectQuery(response: ServerResponse): void {
  response.writeHead(BAD_REQUEST_STATUS, { "content-length": 0 }).end();
}

/**
 * Answers the queries of other daemons, beside their requests.
 *
 * @example
 * ```ts ignore
 * await new PeerQueryHandler(options).handle(request, response);
 * ```
 */
export class PeerQueryHandler {
  readonly #options: PeerQueryOptions;
  #compressedConfig:
    | { readonly version: number; readonly body: Buffer }
    | undefined;
  #cachedFeed:
    | { readonly update: ChangeBatch; readonly body: Buffer }
    | undefined;

  /**
   * Creates a handler.
   *
   * @param options What it answers from.
   */
  constructor(options: PeerQueryOptions) {
    this.#options = options;
  }

  /**
   * Answers a query.
   *
   * @param request The query.
   * @param response Its response.
   */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const target = request.url ?? "";
    if (target === CONFIG_PATH) {
      this.#handleConfigQuery(request, response);
    } else if (target.startsWith(STATUS_PATH)) {
      const query = parseStatusTarget(target);
      if (query === undefined) return rejectQuery(response);
      response.writeHead(200).end(this.#queryStatus(query.id, query.ageMs));
    } else if (target.startsWith(TRANSFER_PERMIT_PATH)) {
      const query = parseTransferPermitTarget(target);
      if (query === undefined) return rejectQuery(response);
      const { id, maxWaitMs } = query;
      response.once("close", () => {
        if (!response.writableFinished) {
          this.#options.transferPermits.release(id);
        }
      });
      const header = request.headers[HEADER_TRANSFER];
      const body = parseTransfer(typeof header === "string" ? header : "");
      this.#options.transferPermits.request({ ...body, id, maxWaitMs }, {
        admit: () => response.writeHead(200, { "content-length": 0 }).end(),
        refuse: (waitMs) =>
          response.writeHead(NO_RESPONSE_STATUS).end(String(Math.ceil(waitMs))),
      });
    } else if (target === ROLLOUT_PATH) {
      await this.#handleRolloutReport(request, response);
    } else if (target.startsWith(FEED_PATH)) {
      await this.#handleFeedQuery(target, response);
    } else {
      response.writeHead(404).end();
    }
  }

  /**
   * Looks up the status of a request. An unknown request counts as ended if it
   * is older than this process, as an earlier daemon process may have executed
   * it, or older than the retention time, as its entry may have been removed.
   */
  #queryStatus(id: string, ageMs: number): CallStatus {
    const nowMs = performance.now();
    const status = this.#options.callStatuses.query(id, nowMs);
    const mayHaveEnded = ageMs + START_MARGIN_MS >= nowMs ||
      ageMs >= RETENTION_MS;
    const reportedStatus = status === CallStatus.Unknown && mayHaveEnded
      ? CallStatus.Ended
      : status;
    this.#options.metrics.count("questions_answered_total", {
      status: reportedStatus,
    });
    return reportedStatus;
  }

  #handleConfigQuery(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const { encodedConfig, version } = this.#options.routes;
    // Daemons of an earlier version do not ask for it.
    if (request.headers["accept-encoding"] !== "gzip") {
      response.writeHead(200).end(encodedConfig);
      return;
    }
    if (this.#compressedConfig?.version !== version) {
      const body = gzipSync(encodedConfig, { level: COMPRESSION_LEVEL });
      this.#compressedConfig = { version, body };
    }
    const { body } = this.#compressedConfig!;
    response.writeHead(200, {
      "content-encoding": "gzip",
      "content-length": body.length,
    }).end(body);
  }

  async #handleRolloutReport(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const read = await readBody(request, {
      maxBytes: MAX_REPORT_BYTES,
      deadlineMs: performance.now() + REPORT_TIMEOUT_MS,
    });
    const body = read.kind === "whole" ? read.body : undefined;
    const answer = body && this.#options.handleRolloutReport?.(body);
    if (read.kind === "whole") read.release();
    if (answer === undefined) {
      response.writeHead(NO_RESPONSE_STATUS, { "content-length": 0 }).end();
      return;
    }
    response.writeHead(200, { "content-length": answer.length }).end(answer);
  }

  async #handleFeedQuery(
    target: string,
    response: ServerResponse,
  ): Promise<void> {
    const query = parseFeedTarget(target);
    const answer: FeedAnswer = query === undefined
      ? { kind: "refused" }
      : await this.#options.waitForUpdate(query);
    if (answer.kind !== "changes") {
      response.writeHead(NO_RESPONSE_STATUS, {
        "content-length": 0,
        ...(answer.kind === "away" ? { [HEADER_STORE_AWAY]: 1 } : {}),
      }).end();
      return;
    }
    const body = this.#encodeUpdate(answer.batch);
    response.writeHead(200, {
      "content-length": body.length,
      [HEADER_VIEW_AGE]: Math.round(this.#options.viewAgeMs()),
    }).end(body);
  }

  /** Caches the last result: followers mostly need the same large update. */
  #encodeUpdate(update: ChangeBatch): Buffer {
    const cached = this.#cachedFeed;
    // A store that was restored assigns revisions again.
    const isSame = cached?.update.revision === update.revision &&
      cached.update.era === update.era &&
      cached.update.isComplete === update.isComplete &&
      cached.update.events.length === update.events.length;
    if (isSame) return cached.body;
    const body = encodeFeed(update);
    this.#cachedFeed = { update, body };
    return body;
  }
}
