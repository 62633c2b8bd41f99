import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import {
  type IngressCall as LimitedCall,
  IngressLimiter,
} from "../coordination/admission/ingress_limiter.ts";
import { LatencyTracker } from "../coordination/retry/latency_tracker.ts";
import { Placement } from "../coordination/routing/placement.ts";
import { RetryBudget } from "../coordination/retry/retry_budget.ts";
import { HEADER_IDEMPOTENCY_KEY } from "../protocol/headers.ts";
import { notRun, Outcome, Reason, type Refusal } from "../protocol/outcome.ts";
import type { ConfigStore } from "../state/config_store.ts";
import {
  endToEndHeaders,
  singleHeader,
} from "../transport/http/header_filter.ts";
import {
  type CallerRequest,
  DisconnectDetector,
} from "../transport/http/disconnect_detector.ts";
import {
  closeServer,
  listen,
  stopAccepting,
} from "../transport/http/listen.ts";
import { RequestBody } from "../transport/http/request_body.ts";
import type { EventLoopMonitor } from "../transport/observe/event_loop_monitor.ts";
import { AnswerWriter } from "./answer_writer.ts";
import { monotonicMs } from "./clocks.ts";
import type { Destination } from "./destination.ts";
import { type CheckedHead, HeadChecker } from "./head_checker.ts";
import { digestRequest } from "./request_digests.ts";
import {
  IngressCall,
  type IngressContext,
  type ServiceEvidence,
} from "./ingress_call.ts";

/** Retries that a whole call tree may make. */
const RETRIES_PER_TREE = 3;
/** Time for which an idle connection of a caller stays open, in ms. */
const IDLE_CONNECTION_MS = 60_000;
/** Longest time for a caller to send its headers, in ms. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Headers that are not passed on. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set(["authorization"]);

/** What an {@linkcode IngressServer} needs. */
export interface IngressServerOptions {
  readonly config: ConfigStore;
  readonly destination: Destination;
  readonly context: IngressContext;
  readonly loop: EventLoopMonitor;
  readonly idPrefix: string;
  readonly maxRunning: number;
  readonly maxHeaderBytes: number;
  readonly claimWindowMs: number;
}

/**
 * Serves callers, and the outgoing calls of the own backend server.
 *
 * @example
 * ```ts ignore
 * const server = new IngressServer(options);
 * await server.listen("127.0.0.1", 7001);
 * ```
 */
export class IngressServer {
  readonly #options: IngressServerOptions;
  readonly #server: Server;
  readonly #limiter: IngressLimiter;
  readonly #callers: DisconnectDetector;
  readonly #checker: HeadChecker;
  readonly #evidence = new Map<string, ServiceEvidence>();
  #requests = 0;
  #isDraining = false;

  /**
   * Creates a server.
   *
   * @param options Its parts and bounds.
   */
  constructor(options: IngressServerOptions) {
    this.#options = options;
    this.#checker = new HeadChecker(options);
    this.#limiter = new IngressLimiter(options.maxRunning);
    this.#server = createServer(
      {
        keepAliveTimeout: IDLE_CONNECTION_MS,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: 0,
        maxHeaderSize: options.maxHeaderBytes,
        noDelay: true,
      },
      (request, response) => void this.#serve(request, response),
    );
    this.#callers = new DisconnectDetector(this.#server, options.loop);
    options.loop.observe("ingress", this.#server);
    this.#server.on(
      "clientError",
      (error, socket) => this.#onClientError(error, socket as Socket),
    );
  }

  /** Calls that run. */
  get running(): number {
    return this.#limiter.running;
  }

  /**
   * Opens the port.
   *
   * @param host IP address.
   * @param port Port; 0 for any.
   * @returns The port.
   */
  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  /** Asks callers to reconnect elsewhere, with each answer. */
  drain(): void {
    this.#isDraining = true;
  }

  /** Closes the port; connections that are open go on. */
  stopAccepting(): Promise<void> {
    return stopAccepting(this.#server);
  }

  /** Closes the port and all connections. */
  close(): Promise<void> {
    return closeServer(this.#server);
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = `${this.#options.idPrefix}-${
      (++this.#requests).toString(36)
    }`;
    const caller = this.#callers.watch(request);
    response.once("close", caller.done);
    const writer = new AnswerWriter(response, requestId, {
      kind: "caller",
      isLeaving: this.#isDraining,
    });
    const check = this.#checker.check(request);
    if (check.kind === "refused") {
      return this.#refuse(request, { requestId, writer }, check.refusal);
    }
    const { head } = check;
    const limited: LimitedCall = {
      rank: head.parent?.rank ?? head.route.rank,
      caller: head.caller.name,
      callerMaxRunning: head.caller.maxRunning,
    };
    const reason = this.#limiter.enter(limited);
    if (reason !== undefined) {
      return this.#refuse(request, { requestId, writer }, notRun(reason));
    }
    let isOver = false;
    const onOver = () => {
      if (isOver) return;
      isOver = true;
      this.#limiter.leave(limited);
    };
    try {
      await this.#run(request, response, {
        head,
        requestId,
        writer,
        caller,
        onOver,
      });
    } catch (error) {
      onOver();
      throw error;
    }
  }

  async #run(
    request: IncomingMessage,
    response: ServerResponse,
    parts: {
      head: CheckedHead;
      requestId: string;
      writer: AnswerWriter;
      caller: CallerRequest;
      onOver: () => void;
    },
  ): Promise<void> {
    const { head, requestId, writer, onOver } = parts;
    const { route, caller, parent } = head;
    const result = await RequestBody.read(request, route.service.maxBodyBytes);
    if (result.kind === "refused") {
      onOver();
      return this.#refuse(request, parts, notRun(result.reason));
    }
    if (!await parts.caller.isConnected()) {
      onOver();
      this.#options.context.log.info("caller-gone", { request: requestId });
      return;
    }
    const digests = digestRequest(request, route, result.body.buffered);
    const { quarantine } = this.#options.context;
    if (quarantine.isRefused(digests.fingerprint, monotonicMs())) {
      onOver();
      return this.#refuse(request, parts, notRun(Reason.Quarantined));
    }
    new IngressCall({
      requestId,
      route,
      body: result.body,
      writer,
      response,
      onOver,
      evidence: this.#evidenceOf(route.serviceName),
      placement: new Placement(this.#options.context.balancer, {
        name: route.serviceName,
        service: route.service,
      }),
      template: {
        service: route.serviceName,
        rank: parent?.rank ?? route.rank,
        caller: caller.name,
        method: request.method!,
        path: request.url!,
        headers: endToEndHeaders(request.rawHeaders, DROPPED_HEADERS),
        deadlineMs: head.deadlineMs,
        depth: (parent?.depth ?? 0) + 1,
        ...digests,
        idempotencyKey: singleHeader(request.headers, HEADER_IDEMPOTENCY_KEY),
        retries: parent?.retries ?? { left: RETRIES_PER_TREE },
      },
    }, this.#options.context).start();
  }

  #evidenceOf(service: string): ServiceEvidence {
    let evidence = this.#evidence.get(service);
    if (evidence === undefined) {
      evidence = { budget: new RetryBudget(), latency: new LatencyTracker() };
      this.#evidence.set(service, evidence);
    }
    return evidence;
  }

  #refuse(
    request: IncomingMessage,
    parts: { readonly requestId: string; readonly writer: AnswerWriter },
    refusal: Refusal,
  ): void {
    const { log, decisions, metrics } = this.#options.context;
    request.resume();
    parts.writer.refuse(refusal);
    const fields = { outcome: refusal.outcome, reason: refusal.reason };
    log.info("refused", {
      request: parts.requestId,
      method: request.method,
      path: request.url?.slice(0, 200),
      ...fields,
    });
    metrics.count("ingress.refused", 1, [`reason:${refusal.reason}`]);
    decisions.add(parts.requestId, {
      atMs: Date.now(),
      event: "refused",
      fields,
    });
  }

  /** Answers what is not a proper HTTP request. */
  #onClientError(error: Error & { code?: string }, socket: Socket): void {
    if (!socket.writable || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    const isTooLarge = error.code === "HPE_HEADER_OVERFLOW";
    const status = isTooLarge
      ? "431 Request Header Fields Too Large"
      : "400 Bad Request";
    this.#options.context.log.info("refused", {
      outcome: Outcome.NotRun,
      reason: Reason.HeaderInvalid,
      code: error.code,
    });
    socket.end(
      `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n` +
        `x-sesamepond-outcome: ${Outcome.NotRun}\r\n` +
        `x-sesamepond-reason: ${Reason.HeaderInvalid}\r\n\r\n`,
    );
  }
}
