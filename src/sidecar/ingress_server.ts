import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  chooseTarget,
  SubcallClassifier,
} from "../coordination/dispatch/mod.ts";
import type { MeshOrganisation, MeshRoute } from "../protocol/mesh.ts";
import { HEADER_CALL, HEADER_RESULT } from "../protocol/peer_call.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import {
  type CallerRequest,
  DisconnectDetector,
  type StallDetector,
} from "../transport/http/disconnect_detector.ts";
import { endToEndHeaders } from "../transport/http/header_filter.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import { RequestForwarder } from "./request_forwarder.ts";
import type { GracefulShutdown } from "./graceful_shutdown.ts";
import type { ForwardContext, ForwardRequest } from "./forward_types.ts";
import type { EdgeHeaders } from "./ports.ts";
import { guardHandler } from "../transport/http/guard_handler.ts";
import { type BodyRead, readBody } from "../transport/http/read_body.ts";
import { refuseFurtherBytes } from "../transport/http/refuse_further_bytes.ts";
import { BodyRefusalLog } from "./body_refusal_log.ts";
import type { QuotaTask } from "./quota_task.ts";
import { type LocalReply, ReplyWriter } from "./reply_writer.ts";
import { RequestAuthorizer } from "./request_authorizer.ts";
import { RequestDeadlines } from "./request_deadlines.ts";
import { RequestLog } from "./request_log.ts";
import { ThrottledForwarding } from "./throttled_forwarding.ts";

/** Retry-After value during shutdown, in ms: other daemons serve at once. */
const SHUTDOWN_RETRY_AFTER_MS = 50;
/** Retry-After value of a body for which there was no memory, in ms. */
const BODY_RETRY_AFTER_MS = 1_000;
/** Keep-alive timeout before a configuration is known, in ms. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/** Status of a response that does not say whether the request has run. */
const BAD_GATEWAY_STATUS = 502;
/** Status of a response to a request that did not come in full, or run. */
const REQUEST_TIMEOUT_STATUS = 408;
/** Status of a request beyond the limit of its organisation. */
const TOO_MANY_REQUESTS_STATUS = 429;

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
  /** Keeps the limits of organisations. */
  readonly quotas: QuotaTask;
  /** Number of requests that run on the local backend server. */
  readonly runningRequests: () => number;
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
  readonly #replies: ReplyWriter;
  readonly #requestLog: RequestLog;
  readonly #bodyRefusals: BodyRefusalLog;
  readonly #authorizer: RequestAuthorizer;
  readonly #deadlines = new RequestDeadlines();
  readonly #throttle: ThrottledForwarding;
  readonly #subcalls = new SubcallClassifier();
  readonly #droppedHeaders: ReadonlySet<string>;
  /** The same where the configuration names organisations. */
  readonly #droppedWithOrganisations: ReadonlySet<string>;
  readonly #callers: DisconnectDetector;
  readonly #forwarders = new Set<RequestForwarder>();
  /** Ids of the requests that are not passed on yet, by their responses. */
  readonly #unsent = new Map<ServerResponse, string>();
  #hasExpired = false;
  #openRequests = 0;
  #lastRequestAtMs = 0;

  /**
   * Creates a server that does not listen yet.
   *
   * @param options Configuration, header names and destinations.
   */
  constructor(options: IngressServerOptions) {
    this.#options = options;
    this.#replies = new ReplyWriter(options.headers.requestId);
    this.#requestLog = new RequestLog(options);
    this.#bodyRefusals = new BodyRefusalLog({ server: "ingress", ...options });
    this.#authorizer = new RequestAuthorizer(options);
    this.#throttle = new ThrottledForwarding(options.forwarding.random);
    const { headers } = options;
    const { timeoutMs, callerService, expectedBackend } = headers;
    this.#droppedHeaders = new Set([
      timeoutMs,
      callerService,
      expectedBackend,
      HEADER_CALL,
      HEADER_RESULT,
      "content-length",
    ]);
    this.#droppedWithOrganisations = new Set([
      ...this.#droppedHeaders,
      headers.organisationKey,
      headers.organisation,
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
    this.#replies.disableKeepAlive();
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
    const authorization = await this.#authorizer.authorize({
      id,
      host,
      path,
      key: this.#readHeader(request, this.#options.headers.organisationKey),
    });
    if (isAnswered(response)) return;
    if (authorization.kind === "denied") {
      return this.#reject(response, id, authorization);
    }
    const { config, route, organisation } = authorization;
    const times = this.#deadlines.compute(
      route,
      this.#readHeader(request, this.#options.headers.timeoutMs),
      arrivedAtMs,
    );
    const read = await readBody(request, {
      maxBytes: config.limits.maxBodyBytes,
      deadlineMs: times.deadlineMs,
      owner: organisation?.name,
    });
    if (read.kind !== "whole") {
      return this.#rejectBody(request, response, { id, read });
    }
    try {
      if (isAnswered(response)) return;
      if (!await caller.isConnected()) {
        return this.#requestLog.recordAbandoned(id, arrivedAtMs);
      }
      if (isAnswered(response)) return;
      await this.#forward(
        {
          request,
          response,
          caller,
          route,
          organisation,
          hasOrganisations: config.organisations !== undefined,
          id,
          arrivedAtMs,
          times,
          body: read.body,
        },
      );
    } finally {
      read.release();
    }
  }

  /** Answers a request whose body is not whole; it has not run. */
  #rejectBody(
    request: IncomingMessage,
    response: ServerResponse,
    parts: {
      readonly id: string;
      readonly read: Exclude<BodyRead, { readonly kind: "whole" }>;
    },
  ): void {
    const { id, read } = parts;
    if (read.kind === "broken" || isAnswered(response)) return;
    refuseFurtherBytes(request, response);
    this.#bodyRefusals.record(request, id, read);
    switch (read.kind) {
      case "late":
        return this.#reject(response, id, { status: REQUEST_TIMEOUT_STATUS });
      case "too-large":
        return this.#reject(response, id, { status: 413 });
      case "refused":
        return this.#reject(response, id, {
          status: 503,
          retryAfterMs: BODY_RETRY_AFTER_MS,
        });
    }
  }

  async #forward(
    parts: {
      readonly request: IncomingMessage;
      readonly response: ServerResponse;
      readonly caller: CallerRequest;
      readonly route: MeshRoute;
      readonly organisation: MeshOrganisation | undefined;
      readonly hasOrganisations: boolean;
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
    const { organisation } = parts;
    if (organisation !== undefined) {
      const decision = await this.#options.quotas.admit(id, organisation);
      // The caller may have left, or the process may have to end.
      if (isAnswered(response)) return;
      if (decision.kind === "refused") {
        return this.#reject(response, id, {
          status: TOO_MANY_REQUESTS_STATUS,
          retryAfterMs: decision.retryAfterMs,
        });
      }
    }
    this.#unsent.delete(response);
    const headers = endToEndHeaders(
      request.rawHeaders,
      parts.hasOrganisations
        ? this.#droppedWithOrganisations
        : this.#droppedHeaders,
    );
    headers.push("host", request.headers.host ?? "");
    if (organisation !== undefined) {
      headers.push(this.#options.headers.organisation, organisation.name);
    }
    const isSubcall = parts.hasOrganisations && organisation === undefined &&
      this.#subcalls.tryOpen(this.#options.runningRequests());
    const forwarder = new RequestForwarder({
      id,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers,
      body,
      route,
      service: routeTarget.service,
      ...times,
      ...(organisation === undefined ? {} : {
        organisation: organisation.name,
        organisationPriority: organisation.priority,
      }),
      ...(isSubcall ? { isSubcall } : {}),
    }, this.#options.forwarding);
    this.#forwarders.add(forwarder);
    const result = await this.#throttle.run(
      { service: routeTarget.service, organisation: organisation?.name },
      () => forwarder.run(caller.cancel),
    ).finally(() => {
      this.#forwarders.delete(forwarder);
      if (isSubcall) this.#subcalls.close();
    });
    this.#replies.respond(response, id, result);
    this.#requestLog.recordEnd({ id, route, forwarder, result, arrivedAtMs });
  }

  #rejectStopping(response: ServerResponse, id: string): void {
    this.#reject(response, id, {
      status: 503,
      retryAfterMs: SHUTDOWN_RETRY_AFTER_MS,
    });
  }

  #reject(response: ServerResponse, id: string, reply: LocalReply): void {
    this.#unsent.delete(response);
    this.#replies.reject(response, id, reply);
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
