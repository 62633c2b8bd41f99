import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Buffer } from "node:buffer";
import type { CancelSignal } from "../protocol/cancellation.ts";
import type { FeedAnswer, FeedPoll } from "../protocol/feed.ts";
import type { CallOutcome, MeshCall } from "../protocol/mesh_call.ts";
import { MeshReason, notRunOutcome } from "../protocol/mesh_call.ts";
import {
  type CallDescription,
  formatFrameHead,
  formatResult,
  type FrameHead,
  HEADER_CALL,
  parseCall,
  parseFrameHead,
} from "../protocol/peer_call.ts";
import {
  formatQuotaReply,
  isQuotaHead,
  parseQuotaReport,
  type QuotaReply,
  type QuotaReport,
} from "../protocol/quota_message.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import { ChannelServer, type ReceivedCall } from "../transport/channel/mod.ts";
import {
  type CallerRequest,
  DisconnectDetector,
  type StallDetector,
  waitForNextPoll,
} from "../transport/http/disconnect_detector.ts";
import { endToEndHeaders } from "../transport/http/header_filter.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import { CallStatusTable } from "./call_status_table.ts";
import type { GracefulShutdown } from "./graceful_shutdown.ts";
import type { BackendDispatcher } from "./backend_dispatcher.ts";
import { buildCall } from "./build_call.ts";
import { PeerResponseWriter } from "./peer_response_writer.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import { PeerQueryHandler, rejectQuery } from "./peer_query_handler.ts";
import { TransferPermitQueue } from "./transfer_permit_queue.ts";
import { messageOf } from "../protocol/step_error.ts";
import { guardHandler } from "../transport/http/guard_handler.ts";
import { readBody } from "../transport/http/read_body.ts";
import {
  refuseFurtherBytes,
  refuseLongBody,
} from "../transport/http/refuse_further_bytes.ts";
import { BodyRefusalLog } from "./body_refusal_log.ts";

/** Keep-alive timeout for connections of other daemons, in ms. */
const KEEP_ALIVE_MS = 60_000;
/** Largest body that another daemon may send, in bytes. */
const MAX_BODY_BYTES = 256 * 1024 * 1024;
/** Time until a body for which there was no memory may fit, in ms. */
const BODY_RETRY_AFTER_MS = 1_000;
/** HTTP status of a reply to a daemon without a backend server's response. */
const NO_RESPONSE_STATUS = 503;
/** HTTP status of a reply to a query that cannot be read. */
const BAD_REQUEST_STATUS = 400;
const SENDER_HEADERS = new Set([HEADER_CALL, "content-length"]);

/** Options of a {@linkcode PeerServer}. */
export interface PeerServerOptions {
  readonly dispatcher: BackendDispatcher;
  readonly quarantine: RequestQuarantine;
  readonly routes: RouteTableHolder;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
  readonly shutdown: GracefulShutdown;
  readonly stalls: StallDetector;
  /** Bandwidth of the instance's link, in Mbit/s; 0 if unknown. */
  readonly linkMbps: number;
  /** Called with the configuration version that another daemon reports. */
  readonly onPeerVersion: (version: number, host: string) => void;
  /** Waits for store changes after a revision. */
  readonly waitForUpdate: (poll: FeedPoll) => Promise<FeedAnswer>;
  /** Age of this daemon's view of the store, in ms. */
  readonly viewAgeMs: () => number;
  /** Serves a message to this daemon as an account daemon. */
  readonly serveQuota: (report: QuotaReport) => QuotaReply;
  /** Answers an encoded report about the versions of a service. */
  readonly handleRolloutReport?: (report: Buffer) => Buffer | undefined;
}

/**
 * Executes the requests of other daemons, and answers their queries.
 *
 * @example
 * ```ts ignore
 * const { server } = new PeerServer(options);
 * ```
 */
export class PeerServer {
  readonly server: Server;
  readonly #channels: ChannelServer;
  readonly #bodyRefusals: BodyRefusalLog;
  readonly #options: PeerServerOptions;
  readonly #callers: DisconnectDetector;
  readonly #callStatuses = new CallStatusTable();
  readonly #transferPermits: TransferPermitQueue;
  readonly #responses: PeerResponseWriter;
  readonly #queries: PeerQueryHandler;

  /**
   * Creates a server that does not listen yet.
   *
   * @param options Dispatcher, configuration and log.
   */
  constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#transferPermits = new TransferPermitQueue(options.metrics);
    this.#responses = new PeerResponseWriter(options);
    this.#bodyRefusals = new BodyRefusalLog({ server: "peers", ...options });
    this.#queries = new PeerQueryHandler({
      ...options,
      callStatuses: this.#callStatuses,
      transferPermits: this.#transferPermits,
    });
    this.server = createServer(
      {
        keepAliveTimeout: KEEP_ALIVE_MS,
        requestTimeout: 0,
      },
      guardHandler((...exchange) => this.#handleRequest(...exchange), {
        server: "peers",
        status: BAD_REQUEST_STATUS,
        log: options.log,
        metrics: options.metrics,
      }),
    );
    this.#callers = new DisconnectDetector(this.server, options.stalls);
    this.#channels = new ChannelServer(
      this.server,
      (call) => this.#startChannelCall(call),
    );
  }

  /** Closes the channels of other daemons; the port stays open. */
  closeChannels(): void {
    this.#channels.close();
  }

  async #handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const header = request.headers[HEADER_CALL];
    if (typeof header !== "string") {
      refuseLongBody(request, response);
      return this.#queries.handle(request, response);
    }
    const description = parseCall(header);
    if (description === undefined) {
      this.#options.log.warn("peer-call-unreadable", {
        peer: request.socket.remoteAddress,
      });
      rejectQuery(response);
      return;
    }
    // Registered before its body is read, as a large body takes time to arrive.
    const { id } = description;
    const caller = this.#callers.watch(request);
    response.once("close", caller.done);
    const arrivedAtMs = performance.now();
    const mayRun = this.#callStatuses.open(id, arrivedAtMs);
    this.#options.metrics.count("peer_calls_total");
    try {
      await this.#serveRequest(request, response, {
        description,
        caller,
        mayRun,
        arrivedAtMs,
      });
    } finally {
      this.#callStatuses.end(id, performance.now());
    }
    this.#reportVersion(description, request.socket.remoteAddress);
  }

  async #serveRequest(
    request: IncomingMessage,
    response: ServerResponse,
    arrival: {
      readonly description: CallDescription;
      readonly caller: CallerRequest;
      readonly mayRun: boolean;
      readonly arrivedAtMs: number;
    },
  ): Promise<void> {
    const { description, caller, mayRun, arrivedAtMs } = arrival;
    const read = await readBody(request, {
      maxBytes: MAX_BODY_BYTES,
      deadlineMs: arrivedAtMs + description.remainingMs,
      owner: description.organisation,
    });
    this.#transferPermits.release(description.id);
    if (read.kind !== "whole" && read.kind !== "broken") {
      this.#bodyRefusals.record(request, description.id, read);
    }
    if (read.kind === "broken" || read.kind === "too-large") {
      response.destroy();
      return;
    }
    const { host } = request.headers;
    const call = buildCall({
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: [
        ...(host === undefined ? [] : ["host", host]),
        ...endToEndHeaders(request.rawHeaders, SENDER_HEADERS),
      ],
      description,
      body: read.kind === "whole" ? read.body : undefined,
      arrivedAtMs,
    });
    if (read.kind !== "whole") {
      // The rest of the body may still come, or never.
      refuseFurtherBytes(request, response);
      const outcome = read.kind === "late"
        ? notRunOutcome(MeshReason.Expired)
        : notRunOutcome(MeshReason.Overloaded, BODY_RETRY_AFTER_MS);
      return this.#respond({ call, outcome, arrivedAtMs }, response);
    }
    try {
      this.#mergeEvidence(call, request.socket.remoteAddress);
      const outcome = await this.#execute(call, {
        mayRun,
        signal: caller.cancel.signal,
        readPendingClose: caller.isConnected,
      });
      this.#respond({ call, outcome, arrivedAtMs }, response);
    } finally {
      this.#responses.release(call);
      read.release();
    }
  }

  #startChannelCall(received: ReceivedCall): void {
    this.#handleChannelCall(received).catch((error: unknown) => {
      const { log, metrics } = this.#options;
      metrics.count("handler_failures_total", { server: "peers" });
      log.error("handler-failed", {
        server: "peers",
        peer: received.peer,
        reason: messageOf(error),
      });
      received.answer("");
    });
  }

  async #handleChannelCall(received: ReceivedCall): Promise<void> {
    if (isQuotaHead(received.head)) return this.#answerQuota(received);
    const head = parseFrameHead(received.head);
    const description = head && parseCall(head.description);
    if (description === undefined) {
      this.#options.log.warn("peer-call-unreadable", { peer: received.peer });
      return received.answer("");
    }
    const arrivedAtMs = performance.now();
    const mayRun = this.#callStatuses.open(description.id, arrivedAtMs);
    this.#options.metrics.count("peer_calls_total");
    try {
      await this.#serveChannelCall(received, {
        head: head!,
        description,
        mayRun,
        arrivedAtMs,
      });
    } finally {
      this.#callStatuses.end(description.id, performance.now());
    }
    this.#reportVersion(description, received.peer);
  }

  #answerQuota(received: ReceivedCall): void {
    const report = parseQuotaReport(received.head);
    if (report === undefined) {
      this.#options.log.warn("peer-call-unreadable", { peer: received.peer });
      return received.answer("");
    }
    received.answer(formatQuotaReply(this.#options.serveQuota(report)));
  }

  async #serveChannelCall(
    received: ReceivedCall,
    arrival: {
      readonly head: FrameHead;
      readonly description: CallDescription;
      readonly mayRun: boolean;
      readonly arrivedAtMs: number;
    },
  ): Promise<void> {
    const { head, description, mayRun, arrivedAtMs } = arrival;
    const [method, path] = head.start;
    const { body } = received;
    const call = buildCall({
      method: String(method),
      path: String(path),
      headers: head.headers,
      description,
      body: body.length === 0 ? undefined : body,
      arrivedAtMs,
    });
    this.#mergeEvidence(call, received.peer);
    const mayBeStale = received.isFromFirstRead ||
      this.#options.stalls.hasStalled;
    const outcome = await this.#execute(call, {
      mayRun,
      signal: received.signal,
      readPendingClose: async () => {
        if (mayBeStale) await waitForNextPoll();
      },
    }).finally(() => this.#responses.release(call));
    const response = outcome.kind === "answered" ? outcome.answer : undefined;
    received.answer(
      formatFrameHead({
        description: this.#formatResult({ call, outcome, arrivedAtMs }),
        start: [response?.status ?? NO_RESPONSE_STATUS],
        headers: response?.headers ?? [],
      }),
      response?.body,
    );
  }

  #mergeEvidence(call: MeshCall, peer: string | undefined): void {
    this.#options.quarantine.merge(call, call.evidence, peer ?? "");
  }

  #reportVersion(description: CallDescription, peer: string | undefined): void {
    this.#options.onPeerVersion(description.configVersion, peer ?? "");
  }

  async #execute(
    call: MeshCall,
    arrival: {
      /** False if a status query has already reported it as not received. */
      readonly mayRun: boolean;
      readonly signal: CancelSignal;
      /** Waits until a disconnect that is already pending has been read. */
      readonly readPendingClose: () => Promise<unknown>;
    },
  ): Promise<CallOutcome> {
    const { dispatcher, shutdown } = this.#options;
    if (!arrival.mayRun) return notRunOutcome(MeshReason.Unreachable);
    if (!shutdown.admitsPeer(call.deadlineMs, performance.now())) {
      return notRunOutcome(MeshReason.Leaving);
    }
    await arrival.readPendingClose();
    const refusal = this.#responses.findRefusal(call);
    if (refusal !== undefined) return refusal;
    this.#responses.reserve(call);
    try {
      const outcome = await dispatcher.execute(call, arrival.signal);
      this.#responses.recordSize(call, outcome);
      return outcome;
    } finally {
      this.#responses.settle(call);
    }
  }

  #respond(
    exchange: {
      readonly call: MeshCall;
      readonly outcome: CallOutcome;
      readonly arrivedAtMs: number;
    },
    response: ServerResponse,
  ): void {
    this.#responses.write(response, {
      ...exchange,
      description: this.#formatResult(exchange),
    });
  }

  #formatResult(
    exchange: {
      readonly call: MeshCall;
      readonly outcome: CallOutcome;
      readonly arrivedAtMs: number;
    },
  ): string {
    return formatResult({
      outcome: exchange.outcome,
      load: this.#responses.withLinkWait(
        exchange.call,
        this.#options.dispatcher.loadFor(exchange.call),
      ),
      configVersion: this.#options.routes.version,
      heldMs: performance.now() - exchange.arrivedAtMs,
      evidence: this.#options.quarantine.evidenceOf(exchange.call),
    });
  }
}
