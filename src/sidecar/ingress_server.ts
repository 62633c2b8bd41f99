import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { chooseTarget } from "../coordination/dispatch/mod.ts";
import type { MeshRoute } from "../protocol/mesh.ts";
import { HEADER_CALL, HEADER_RESULT } from "../protocol/peer_call.ts";
import type { RouteTable } from "../state/route_table.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import {
  type CallerRequest,
  DisconnectDetector,
  type StallDetector,
} from "../transport/http/disconnect_detector.ts";
import { endToEndHeaders } from "../transport/http/header_filter.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import { LogRateLimiter } from "../transport/observe/log_rate_limiter.ts";
import { RequestForwarder } from "./request_forwarder.ts";
import type { GracefulShutdown } from "./graceful_shutdown.ts";
import type {
  ForwardContext,
  ForwardRequest,
  ForwardResult,
} from "./forward_types.ts";
import type { EdgeHeaders } from "./ports.ts";
import { guardHandler } from "../transport/http/guard_handler.ts";
import { readBody } from "../transport/http/read_body.ts";
import { RequestLog } from "./request_log.ts";

/** Retry-After value before a configuration is known, in ms. */
const NO_CONFIG_RETRY_AFTER_MS = 300;
/** Retry-After value during shutdown, in ms: other daemons serve at once. */
const SHUTDOWN_RETRY_AFTER_MS = 50;
/** Keep-alive timeout before a configuration is known, in ms. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/**
 * Age of the configuration up to which it decides that a route does not exist,
 * in ms.
 */
const MAX_CONFIG_AGE_MS = 2_000;
/** Retry-After value if it is not known whether a route exists, in ms. */
const UNCONFIRMED_RETRY_AFTER_MS = 500;
/** Status of a response that does not say whether the request has run. */
const BAD_GATEWAY_STATUS = 502;
/** Status of a response to a request that did not come in full, or run. */
const REQUEST_TIMEOUT_STATUS = 408;
/** Most log lines about requests without a route in a second. */
const MAX_UNKNOWN_LINES_PER_S = 20;

/** Options of an {@linkcode IngressServer}. */
export interface IngressServerOptions {
  readonly routes: RouteTableHolder;
  readonly headers: EdgeHeaders;
  readonly forwarding: ForwardContext;
  readonly shutdown: GracefulShutdown;
  readonly stalls: StallDetector;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
  /** Time since the configuration was known to be the newest, in ms. */
  readonly configAgeMs: () => number;
  /** Reads the newest configuration; returns whether it is in force now. */
  readonly confirmConfig: () => Promise<boolean>;
}

/** A response that this daemon generates itself. */
interface LocalReply {
  readonly status: number;
  readonly retryAfterMs?: number;
}

/**
 * Serves the requests of callers and of the local backend server.
 *
 * @example
 * ```ts ignore
 * const ingress = new IngressServer(options);
 * await listen(ingress.server, host, port);
 * ```
 */
export class IngressServer {
  readonly server: Server;
  readonly #options: IngressServerOptions;
  readonly #requestLog: RequestLog;
  readonly #unknownLines: LogRateLimiter;
  readonly #droppedHeaders: ReadonlySet<string>;
  /** Longest timeout that callers have set, by the name of the route. */
  readonly #maxTimeoutMs = new Map<string, number>();
  readonly #callers: DisconnectDetector;
  readonly #forwarders = new Set<RequestForwarder>();
  /** Ids of the requests that are not passed on yet, by their responses. */
  readonly #unsent = new Map<ServerResponse, string>();
  #hasExpired = false;
  #isKeepAliveDisabled = false;
  #openRequests = 0;
  #lastRequestAtMs = 0;

  /**
   * Creates a server that does not listen yet.
   *
   * @param options Configuration, header names and destinations.
   */
  constructor(options: IngressServerOptions) {
    this.#options = options;
    this.#requestLog = new RequestLog(options);
    this.#unknownLines = new LogRateLimiter(
      options.log,
      MAX_UNKNOWN_LINES_PER_S,
    );
    const { timeoutMs, callerService, expectedBackend } = options.headers;
    this.#droppedHeaders = new Set([
      timeoutMs,
      callerService,
      expectedBackend,
      HEADER_CALL,
      HEADER_RESULT,
      "content-length",
    ]);
    this.server = createServer(
      {
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
        requestTimeout: 0,
      },
      guardHandler((...exchange) => this.#handle(...exchange), {
        server: "ingress",
        status: BAD_GATEWAY_STATUS,
        log: options.log,
        metrics: options.metrics,
      }),
    );
    this.#callers = new DisconnectDetector(this.server, options.stalls);
  }

  /** Number of requests without a response. */
  get openRequests(): number {
    return this.#openRequests;
  }

  /** Monotonic time of the newest request. */
  get lastRequestAtMs(): number {
    return this.#lastRequestAtMs;
  }

  /** Closes each connection after its next response. */
  disableKeepAlive(): void {
    this.#isKeepAliveDisabled = true;
  }

  /**
   * Ends all open requests as if their deadlines had passed, and refuses those
   * that are not passed on yet, and all that still come.
   */
  expireAll(): void {
    this.#hasExpired = true;
    for (const forwarder of this.#forwarders) forwarder.expire();
    for (const [response, id] of this.#unsent) {
      this.#rejectStopping(response, id);
    }
  }

  /** Applies the limits of the current configuration to the HTTP server. */
  applyLimits(): void {
    const limits = this.#options.routes.current?.config.limits;
    if (limits === undefined) return;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedAtMs = performance.now();
    const caller = this.#callers.watch(request);
    this.#lastRequestAtMs = arrivedAtMs;
    this.#openRequests++;
    const id = this.#readHeader(request, this.#options.headers.requestId);
    this.#unsent.set(response, id);
    response.once("close", () => {
      this.#openRequests--;
      this.#unsent.delete(response);
      caller.done();
    });
    if (this.#hasExpired) return this.#rejectStopping(response, id);
    const path = request.url ?? "/";
    const host = request.headers.host ?? "";
    const { isCurrent, table, route } = await this.#findRoute(host, path);
    if (isAnswered(response)) return;
    if (table === undefined) {
      return this.#reject(response, id, {
        status: 503,
        retryAfterMs: NO_CONFIG_RETRY_AFTER_MS,
      });
    }
    if (route === undefined) {
      this.#logUnknownRoute(id, table.config.version, isCurrent);
      return this.#reject(
        response,
        id,
        isCurrent
          ? { status: 404 }
          : { status: 503, retryAfterMs: UNCONFIRMED_RETRY_AFTER_MS },
      );
    }
    const times = this.#computeDeadlines(request, route, arrivedAtMs);
    const read = await readBody(
      request,
      table.config.limits.maxBodyBytes,
      times.deadlineMs,
    );
    if (read.kind === "broken" || isAnswered(response)) return;
    if (read.kind === "late") {
      response.shouldKeepAlive = false;
      return this.#reject(response, id, { status: REQUEST_TIMEOUT_STATUS });
    }
    if (read.kind === "too-large") {
      response.shouldKeepAlive = false;
      return this.#reject(response, id, { status: 413 });
    }
    if (!await caller.isConnected()) {
      return this.#requestLog.recordAbandoned(id, arrivedAtMs);
    }
    if (isAnswered(response)) return;
    this.#unsent.delete(response);
    await this.#forward(
      {
        request,
        response,
        caller,
        route,
        id,
        arrivedAtMs,
        times,
        body: read.body,
      },
    );
  }

  async #forward(
    parts: {
      readonly request: IncomingMessage;
      readonly response: ServerResponse;
      readonly caller: CallerRequest;
      readonly route: MeshRoute;
      readonly id: string;
      readonly arrivedAtMs: number;
      readonly times: Pick<ForwardRequest, "deadlineMs" | "objectiveAtMs">;
      readonly body: ForwardRequest["body"];
    },
  ): Promise<void> {
    const { request, response, caller, route, id, arrivedAtMs, times, body } =
      parts;
    // The body may have come long after the head.
    const nowMs = performance.now();
    if (!this.#options.shutdown.admits(times.deadlineMs, nowMs)) {
      return this.#rejectStopping(response, id);
    }
    const { random } = this.#options.forwarding;
    const routeTarget = chooseTarget(route.targets, random.fraction());
    if (routeTarget === undefined) {
      return this.#reject(response, id, { status: 503 });
    }
    const headers = endToEndHeaders(request.rawHeaders, this.#droppedHeaders);
    headers.push("host", request.headers.host ?? "");
    const forwarder = new RequestForwarder({
      id,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers,
      body,
      route,
      service: routeTarget.service,
      ...times,
    }, this.#options.forwarding);
    this.#forwarders.add(forwarder);
    const result = await forwarder.run(caller.cancel);
    this.#forwarders.delete(forwarder);
    this.#respond(response, id, result);
    this.#requestLog.recordEnd({ id, route, forwarder, result, arrivedAtMs });
  }

  /**
   * A caller that retries sets a shorter timeout than on its first attempt. The
   * difference to the longest timeout of the route counts as time that it has
   * already waited, which brings the objective forward.
   */
  #computeDeadlines(
    request: IncomingMessage,
    route: MeshRoute,
    arrivedAtMs: number,
  ): Pick<ForwardRequest, "deadlineMs" | "objectiveAtMs"> {
    const header = this.#readHeader(request, this.#options.headers.timeoutMs);
    const requestedMs = Number(header);
    const hasTimeout = header !== "" && Number.isFinite(requestedMs) &&
      requestedMs > 0;
    const timeoutMs = Math.min(
      hasTimeout ? requestedMs : route.timeoutMs,
      route.timeoutMs,
    );
    const maxTimeoutMs = Math.max(
      timeoutMs,
      this.#maxTimeoutMs.get(route.name) ?? 0,
    );
    this.#maxTimeoutMs.set(route.name, maxTimeoutMs);
    const spentMs = maxTimeoutMs - timeoutMs;
    return {
      deadlineMs: arrivedAtMs + timeoutMs,
      objectiveAtMs: arrivedAtMs + route.objectiveMs - spentMs,
    };
  }

  #respond(response: ServerResponse, id: string, result: ForwardResult): void {
    if (response.destroyed) return;
    if (this.#isKeepAliveDisabled) response.shouldKeepAlive = false;
    switch (result.kind) {
      case "answered": {
        const { status, headers, body } = result.answer;
        response.writeHead(status, [
          ...headers,
          "content-length",
          String(body.length),
        ]).end(body);
        return;
      }
      case "refused":
        return this.#reject(response, id, {
          status: 503,
          retryAfterMs: result.retryAfterMs,
        });
      case "failed":
        return this.#reject(response, id, { status: BAD_GATEWAY_STATUS });
      case "timed-out":
        return this.#reject(response, id, { status: 504 });
    }
  }

  #rejectStopping(response: ServerResponse, id: string): void {
    this.#reject(response, id, {
      status: 503,
      retryAfterMs: SHUTDOWN_RETRY_AFTER_MS,
    });
  }

  #reject(response: ServerResponse, id: string, reply: LocalReply): void {
    this.#unsent.delete(response);
    if (this.#isKeepAliveDisabled) response.shouldKeepAlive = false;
    const headers = ["content-length", "0"];
    if (id !== "") headers.push(this.#options.headers.requestId, id);
    if (reply.retryAfterMs !== undefined) {
      headers.push("retry-after", (reply.retryAfterMs / 1_000).toFixed(3));
    }
    response.writeHead(reply.status, headers).end();
  }

  /** A missing route is a claim about the newest configuration. */
  async #findRoute(
    host: string,
    path: string,
  ): Promise<{
    readonly table: RouteTable | undefined;
    readonly route: MeshRoute | undefined;
    /** Whether the table is new enough to decide that there is no route. */
    readonly isCurrent: boolean;
  }> {
    const { routes, configAgeMs, confirmConfig } = this.#options;
    const table = routes.current;
    const route = table?.find(host, path);
    const isCurrent = configAgeMs() <= MAX_CONFIG_AGE_MS;
    if (table === undefined || route !== undefined || isCurrent) {
      return { table, route, isCurrent };
    }
    const isConfirmed = await confirmConfig();
    return {
      table: routes.current,
      route: routes.current?.find(host, path),
      isCurrent: isConfirmed || configAgeMs() <= MAX_CONFIG_AGE_MS,
    };
  }

  #logUnknownRoute(
    id: string,
    configVersion: number,
    isCurrent: boolean,
  ): void {
    const { log, metrics, configAgeMs } = this.#options;
    metrics.count("routes_unknown_total");
    if (!this.#unknownLines.allows(performance.now())) return;
    log.info("route-unknown", {
      id,
      configVersion,
      configAgeMs: Math.round(configAgeMs()),
      isCurrent,
    });
  }

  #readHeader(request: IncomingMessage, name: string): string {
    const value = request.headers[name];
    return typeof value === "string" ? value : "";
  }
}

/** Whether a request needs no response any more. */
function isAnswered(response: ServerResponse): boolean {
  return response.destroyed || response.headersSent;
}
