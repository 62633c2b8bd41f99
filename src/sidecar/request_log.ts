import type { MeshRoute } from "../protocol/mesh.ts";
import type { RouteTableHolder } from "../state/route_table_holder.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { LogRateLimiter } from "../transport/observe/log_rate_limiter.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import type { RequestForwarder } from "./request_forwarder.ts";
import type { ForwardResult } from "./forward_types.ts";

/** One of this many served requests is logged. */
const LOG_SAMPLE_INTERVAL = 50;
/** Most log lines about failed requests in a second. */
const MAX_FAILURE_LINES_PER_S = 100;

/** Options of a {@linkcode RequestLog}. */
export interface RequestLogOptions {
  readonly routes: RouteTableHolder;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
}

/** How a request ended. */
export interface RequestEnd {
  readonly id: string;
  readonly route: MeshRoute;
  readonly forwarder: RequestForwarder;
  readonly result: ForwardResult;
  /** Monotonic time at which its head was read. */
  readonly arrivedAtMs: number;
}

/**
 * Counts the ends of requests, and logs failures and a sample of the others.
 *
 * @example
 * ```ts ignore
 * const end = { id, route, forwarder, result, arrivedAtMs };
 * new RequestLog(options).recordEnd(end);
 * ```
 */
export class RequestLog {
  readonly #options: RequestLogOptions;
  readonly #failureLines: LogRateLimiter;
  #servedCount = 0;

  /**
   * Creates a log without entries.
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
   * @param end The request and its result.
   */
  recordEnd(end: RequestEnd): void {
    const { result, arrivedAtMs } = end;
    const { metrics } = this.#options;
    const reason = "reason" in result ? result.reason : "";
    metrics.count("requests_total", { result: result.kind, reason });
    metrics.observe("request_ms", performance.now() - arrivedAtMs);
    const isServed = result.kind === "answered" && result.answer.status < 500;
    if (isServed && this.#servedCount++ % LOG_SAMPLE_INTERVAL !== 0) return;
    if (!isServed && !this.#failureLines.allows(arrivedAtMs)) return;
    this.#write(end);
  }

  /**
   * Records a request whose caller left before it was read.
   *
   * @param id Id of the request.
   * @param arrivedAtMs Monotonic time at which its head was read.
   */
  recordAbandoned(id: string, arrivedAtMs: number): void {
    this.#options.metrics.count("requests_abandoned_total");
    if (!this.#failureLines.allows(arrivedAtMs)) return;
    this.#options.log.info("request-abandoned", { id });
  }

  #write(end: RequestEnd): void {
    const { id, route, forwarder, result, arrivedAtMs } = end;
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
      steps: forwarder.steps,
    });
  }
}
