import type { MeshRoute } from "../protocol/mesh.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { LogRateLimiter } from "../transport/observe/log_rate_limiter.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import type { CallFlow } from "./call_flow.ts";
import type { FlowResult } from "./flow_types.ts";

/** One of this many answered requests is logged. */
const LOGGED_SHARE = 50;
/** Most lines about requests that fail in a second. */
const MAX_FAILURE_LINES_PER_S = 100;

/** Where the ends of requests are recorded. */
export interface RequestLogOptions {
  readonly routes: RouteTableHolder;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
}

/** How a request ended. */
export interface RequestEnd {
  readonly id: string;
  readonly route: MeshRoute;
  readonly flow: CallFlow;
  readonly result: FlowResult;
  /** Monotonic time. */
  readonly arrivedAtMs: number;
}

/**
 * Counts the ends of requests, and logs failures and a share of the others.
 *
 * @example
 * ```ts ignore
 * new RequestLog(options).ended({ id, route, flow, result, arrivedAtMs });
 * ```
 */
export class RequestLog {
  readonly #options: RequestLogOptions;
  readonly #failureLines: LogRateLimiter;
  #answered = 0;

  /**
   * Creates a log without lines.
   *
   * @param options Log, metrics and configuration.
   */
  constructor(options: RequestLogOptions) {
    this.#options = options;
    this.#failureLines = new LogRateLimiter(
      options.log,
      MAX_FAILURE_LINES_PER_S,
    );
  }

  /**
   * Records the end of a request.
   *
   * @param end How it ended.
   */
  ended(end: RequestEnd): void {
    const { result, arrivedAtMs } = end;
    const { metrics } = this.#options;
    const reason = "reason" in result ? result.reason : "";
    metrics.count("requests_total", { result: result.kind, reason });
    metrics.observe("request_ms", performance.now() - arrivedAtMs);
    const isServed = result.kind === "answered" && result.answer.status < 500;
    if (isServed && this.#answered++ % LOGGED_SHARE !== 0) return;
    if (!isServed && !this.#failureLines.allows(arrivedAtMs)) return;
    this.#write(end);
  }

  /**
   * Records a request whose caller had left before it was read.
   *
   * @param id Id of the request.
   * @param arrivedAtMs Monotonic time at which its head was read.
   */
  abandoned(id: string, arrivedAtMs: number): void {
    this.#options.metrics.count("requests_abandoned_total");
    if (!this.#failureLines.allows(arrivedAtMs)) return;
    this.#options.log.info("request-abandoned", { id });
  }

  #write(end: RequestEnd): void {
    const { id, route, flow, result, arrivedAtMs } = end;
    this.#options.log.info("request-ended", {
      id,
      route: route.name,
      result: result.kind,
      status: result.kind === "answered" ? result.answer.status : undefined,
      reason: "reason" in result ? result.reason : undefined,
      retryAfterMs: "retryAfterMs" in result
        ? Math.round(result.retryAfterMs)
        : undefined,
      tookMs: Math.round(performance.now() - arrivedAtMs),
      configVersion: this.#options.routes.version,
      steps: flow.steps,
    });
  }
}
