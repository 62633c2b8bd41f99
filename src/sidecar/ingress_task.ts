import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { chooseTarget } from "../coordination/dispatch/mod.ts";
import type { MeshRoute } from "../protocol/mesh.ts";
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
import { CallFlow } from "./call_flow.ts";
import type { Ending } from "./ending.ts";
import type { FlowContext, FlowRequest, FlowResult } from "./flow_types.ts";
import type { EdgeHeaders } from "./ports.ts";
import { readBody } from "./read_body.ts";
import { RequestLog } from "./request_log.ts";

/** Wait suggested before a configuration is known, in ms. */
const NO_CONFIG_RETRY_AFTER_MS = 300;
/** Wait suggested as this daemon ends, in ms: others can take over at once. */
const ENDING_RETRY_AFTER_MS = 50;
/** Idle time before a configuration is known, in ms. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** What an ingress needs. */
export interface IngressOptions {
  readonly routes: RouteTableHolder;
  readonly headers: EdgeHeaders;
  readonly flow: FlowContext;
  readonly ending: Ending;
  readonly stalls: StallDetector;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
}

/** An answer of this daemon's own. */
interface OwnAnswer {
  readonly status: number;
  readonly retryAfterMs?: number;
}

/**
 * Takes the requests of callers and of the own backend server.
 *
 * @example
 * ```ts ignore
 * const ingress = new IngressTask(options);
 * await listen(ingress.server, host, port);
 * ```
 */
export class IngressTask {
  readonly server: Server;
  readonly #options: IngressOptions;
  readonly #requestLog: RequestLog;
  readonly #droppedHeaders: ReadonlySet<string>;
  /** Longest time that callers of a route give, by its name. */
  readonly #longestWaitMs = new Map<string, number>();
  readonly #callers: DisconnectDetector;
  readonly #flows = new Set<CallFlow>();
  #isClosing = false;
  #open = 0;
  #lastRequestAtMs = 0;

  /**
   * Creates an ingress that does not listen yet.
   *
   * @param options Configuration, header names and fleet.
   */
  constructor(options: IngressOptions) {
    this.#options = options;
    this.#requestLog = new RequestLog(options);
    const { timeoutMs, callerService, expectedBackend } = options.headers;
    this.#droppedHeaders = new Set([
      timeoutMs,
      callerService,
      expectedBackend,
      HEADER_CALL,
      HEADER_RESULT,
      "content-length",
    ]);
    this.server = createServer({
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      requestTimeout: 0,
    }, (request, response) => void this.#handle(request, response));
    this.#callers = new DisconnectDetector(this.server, options.stalls);
  }

  /** Requests without an answer. */
  get open(): number {
    return this.#open;
  }

  /** Monotonic time of the newest request. */
  get lastRequestAtMs(): number {
    return this.#lastRequestAtMs;
  }

  /** Asks callers, with each answer, to come on other connections. */
  close(): void {
    this.#isClosing = true;
  }

  /** Answers what is open as if its deadline had come, as the process ends. */
  expire(): void {
    for (const flow of this.#flows) flow.expire();
  }

  /** Takes in the limits of a new configuration. */
  configured(): void {
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
    this.#open++;
    response.once("close", () => {
      this.#open--;
      caller.done();
    });
    const id = this.#field(request, this.#options.headers.requestId);
    const table = this.#options.routes.current;
    if (table === undefined) {
      return this.#refuse(response, id, {
        status: 503,
        retryAfterMs: NO_CONFIG_RETRY_AFTER_MS,
      });
    }
    const path = request.url ?? "/";
    const route = table.find(request.headers.host ?? "", path);
    if (route === undefined) return this.#refuse(response, id, { status: 404 });
    const read = await readBody(request, table.config.limits.maxBodyBytes);
    if (read.kind === "broken") return;
    if (read.kind === "too-large") {
      response.shouldKeepAlive = false;
      return this.#refuse(response, id, { status: 413 });
    }
    if (!await caller.isConnected()) {
      return this.#requestLog.abandoned(id, arrivedAtMs);
    }
    await this.#serve(
      { request, response, caller, route, id, arrivedAtMs, body: read.body },
    );
  }

  async #serve(
    parts: {
      readonly request: IncomingMessage;
      readonly response: ServerResponse;
      readonly caller: CallerRequest;
      readonly route: MeshRoute;
      readonly id: string;
      readonly arrivedAtMs: number;
      readonly body: FlowRequest["body"];
    },
  ): Promise<void> {
    const { request, response, caller, route, id, arrivedAtMs, body } = parts;
    const times = this.#times(request, route, arrivedAtMs);
    if (!this.#options.ending.allows(times.deadlineMs, arrivedAtMs)) {
      return this.#refuse(response, id, {
        status: 503,
        retryAfterMs: ENDING_RETRY_AFTER_MS,
      });
    }
    const { random } = this.#options.flow;
    const target = chooseTarget(route.targets, random.fraction());
    if (target === undefined) {
      return this.#refuse(response, id, { status: 503 });
    }
    const headers = endToEndHeaders(request.rawHeaders, this.#droppedHeaders);
    headers.push("host", request.headers.host ?? "");
    const flow = new CallFlow({
      id,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers,
      body,
      route,
      service: target.service,
      ...times,
    }, this.#options.flow);
    this.#flows.add(flow);
    const result = await flow.run(caller.cancel);
    this.#flows.delete(flow);
    this.#deliver(response, id, result);
    this.#requestLog.ended({ id, route, flow, result, arrivedAtMs });
  }

  /** A caller that comes back has less time left than one that is new. */
  #times(
    request: IncomingMessage,
    route: MeshRoute,
    arrivedAtMs: number,
  ): Pick<FlowRequest, "deadlineMs" | "objectiveAtMs"> {
    const field = this.#field(request, this.#options.headers.timeoutMs);
    const given = Number(field);
    const hasTimeout = field !== "" && Number.isFinite(given) && given > 0;
    const waitMs = Math.min(
      hasTimeout ? given : route.timeoutMs,
      route.timeoutMs,
    );
    const longestMs = Math.max(
      waitMs,
      this.#longestWaitMs.get(route.name) ?? 0,
    );
    this.#longestWaitMs.set(route.name, longestMs);
    const spentMs = longestMs - waitMs;
    return {
      deadlineMs: arrivedAtMs + waitMs,
      objectiveAtMs: arrivedAtMs + route.objectiveMs - spentMs,
    };
  }

  #deliver(response: ServerResponse, id: string, result: FlowResult): void {
    if (response.destroyed) return;
    if (this.#isClosing) response.shouldKeepAlive = false;
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
        return this.#refuse(response, id, {
          status: 503,
          retryAfterMs: result.retryAfterMs,
        });
      case "failed":
        return this.#refuse(response, id, { status: 502 });
      case "timed-out":
        return this.#refuse(response, id, { status: 504 });
    }
  }

  #refuse(response: ServerResponse, id: string, answer: OwnAnswer): void {
    if (this.#isClosing) response.shouldKeepAlive = false;
    const headers = ["content-length", "0"];
    if (id !== "") headers.push(this.#options.headers.requestId, id);
    if (answer.retryAfterMs !== undefined) {
      headers.push("retry-after", (answer.retryAfterMs / 1_000).toFixed(3));
    }
    response.writeHead(answer.status, headers).end();
  }

  #field(request: IncomingMessage, name: string): string {
    const value = request.headers[name];
    return typeof value === "string" ? value : "";
  }
}
