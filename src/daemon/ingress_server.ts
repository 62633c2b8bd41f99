import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import {
  IngressLimiter,
  type LimiterCall,
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
import { guardHandler } from "../transport/http/guard_handler.ts";
import { refuseLongBody } from "../transport/http/refuse_further_bytes.ts";
import { RequestBody } from "../transport/http/request_body.ts";
import type { EventLoopMonitor } from "../transport/observe/event_loop_monitor.ts";
import { ResponseWriter } from "./response_writer.ts";
import { monotonicMs } from "./clocks.ts";
import type { Destination } from "./destination.ts";
import { type CheckedHead, HeadChecker } from "./head_checker.ts";
import { digestRequest } from "./request_digests.ts";
import {
  IngressCall,
  type IngressContext,
  type ServiceRetryState,
} from "./ingress_call.ts";

/** Most retries that a call and all calls made on its behalf share. */
const MAX_RETRIES_PER_CALL_TREE = 3;
/** Time after which an idle caller connection is closed, in ms. */
const IDLE_TIMEOUT_MS = 60_000;
/** Time within which a caller has to send its request headers, in ms. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Request headers that are not forwarded. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set(["authorization"]);

/** Options of an {@linkcode IngressServer}. */
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
 * Serves requests of callers and outgoing requests of the local backend server.
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
  readonly #callerWatch: DisconnectDetector;
  readonly #headChecker: HeadChecker;
  readonly #retryStates = new Map<string, ServiceRetryState>();
  #requestCount = 0;
  #isDraining = false;

  /**
   * Creates a server.
   *
   * @param options Dependencies and limits.
   */
  constructor(options: IngressServerOptions) {
    this.#options = options;
    this.#headChecker = new HeadChecker(options);
    this.#limiter = new IngressLimiter(options.maxRunning);
    this.#server = createServer(
      {
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: 0,
        maxHeaderSize: options.maxHeaderBytes,
        noDelay: true,
      },
      guardHandler((...exchange) => this.#serve(...exchange), {
        server: "ingress",
        status: 502,
        log: options.context.log,
      }),
    );
    this.#callerWatch = new DisconnectDetector(this.#server, options.loop);
    options.loop.observe("ingress", this.#server);
    this.#server.on(
      "clientError",
      (error, socket) => this.#onClientError(error, socket as Socket),
    );
  }

  /** Number of calls in progress. */
  get running(): number {
    return this.#limiter.running;
  }

  /**
   * Starts to listen.
   *
   * @param host IP address.
   * @param port Port; 0 for any free one.
   * @returns The port in use.
   */
  listen(host: string, port: number): Promise<number> {
    return listen(this.#server, host, port);
  }

  /** Sends `connection: close` from now on, so that callers go elsewhere. */
  drain(): void {
    this.#isDraining = true;
  }

  /** Stops listening; open connections stay. */
  stopAccepting(): Promise<void> {
    return stopAccepting(this.#server);
  }

  /** Stops listening and closes all connections. */
  close(): Promise<void> {
    return closeServer(this.#server);
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = `${this.#options.idPrefix}-${
      (++this.#requestCount).toString(36)
    }`;
    const caller = this.#callerWatch.watch(request);
    response.once("close", caller.done);
    const writer = new ResponseWriter(response, requestId, {
      kind: "caller",
      isDraining: this.#isDraining,
    });
    const check = this.#headChecker.check(request);
    if (check.kind === "refused") {
      return this.#refuse(
        request,
        { requestId, writer, response },
        check.refusal,
      );
    }
    const { head } = check;
    const limiterCall: LimiterCall = {
      rank: head.parent?.rank ?? head.route.rank,
      caller: head.caller.name,
      callerMaxRunning: head.caller.maxRunning,
    };
    const reason = this.#limiter.admit(limiterCall);
    if (reason !== undefined) {
      return this.#refuse(
        request,
        { requestId, writer, response },
        notRun(reason),
      );
    }
    let isFinished = false;
    const onFinished = () => {
      if (isFinished) return;
      isFinished = true;
      this.#limiter.release(limiterCall);
    };
    try {
      await this.#run(request, response, {
        head,
        requestId,
        writer,
        caller,
        onFinished,
      });
    } catch (error) {
      onFinished();
      throw error;
    }
  }

  async #run(
    request: IncomingMessage,
    response: ServerResponse,
    parts: {
      head: CheckedHead;
      requestId: string;
      writer: ResponseWriter;
      caller: CallerRequest;
      onFinished: () => void;
    },
  ): Promise<void> {
    const { head, requestId, writer } = parts;
    let { onFinished } = parts;
    const { route, caller, parent } = head;
    const result = await RequestBody.read(
      request,
      route.service.maxBodyBytes,
      head.deadlineMs,
    );
    if (result.kind === "refused") {
      onFinished();
      return this.#refuse(
        request,
        { requestId, writer, response },
        notRun(result.reason),
      );
    }
    onFinished = () => {
      result.body.release();
      parts.onFinished();
    };
    if (!await parts.caller.isConnected()) {
      onFinished();
      this.#options.context.log.info("caller-gone", { request: requestId });
      return;
    }
    const digests = digestRequest(request, route, result.body.buffered);
    const { quarantine } = this.#options.context;
    if (quarantine.isQuarantined(digests.fingerprint, monotonicMs())) {
      onFinished();
      return this.#refuse(
        request,
        { requestId, writer, response },
        notRun(Reason.Quarantined),
      );
    }
    new IngressCall({
      requestId,
      route,
      body: result.body,
      writer,
      response,
      onFinished,
      retryState: this.#retryStateOf(route.serviceName),
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
        retries: parent?.retries ?? { left: MAX_RETRIES_PER_CALL_TREE },
      },
    }, this.#options.context).start();
  }

  #retryStateOf(service: string): ServiceRetryState {
    let retryState = this.#retryStates.get(service);
    if (retryState === undefined) {
      retryState = { budget: new RetryBudget(), latency: new LatencyTracker() };
      this.#retryStates.set(service, retryState);
    }
    return retryState;
  }

  #refuse(
    request: IncomingMessage,
    parts: {
      readonly requestId: string;
      readonly writer: ResponseWriter;
      readonly response: ServerResponse;
    },
    refusal: Refusal,
  ): void {
    const { log, decisions, metrics } = this.#options.context;
    refuseLongBody(request, parts.response);
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

  /** Responds to a request that the HTTP parser rejects. */
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
