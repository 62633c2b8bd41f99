import type { IncomingMessage } from "node:http";
import type { BodyRead } from "../transport/http/read_body.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { LogRateLimiter } from "../transport/observe/log_rate_limiter.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";

/** Log lines per second on refused bodies. */
const MAX_LINES_PER_S = 10;

/** A body that was refused. */
export type RefusedBody = Exclude<
  BodyRead,
  { readonly kind: "whole" } | { readonly kind: "broken" }
>;

/** Options of a {@linkcode BodyRefusalLog}. */
export interface BodyRefusalLogOptions {
  /** Name of the server that refuses the bodies. */
  readonly server: string;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
}

/**
 * Counts and logs the request bodies that a server refuses.
 *
 * @example
 * ```ts ignore
 * const refusals = new BodyRefusalLog({ server: "ingress", log, metrics });
 * refusals.record(request, id, { kind: "too-large" });
 * ```
 */
export class BodyRefusalLog {
  readonly #options: BodyRefusalLogOptions;
  readonly #lines: LogRateLimiter;

  /** Creates a log of one server. */
  constructor(options: BodyRefusalLogOptions) {
    this.#options = options;
    this.#lines = new LogRateLimiter(options.log, MAX_LINES_PER_S);
  }

  /**
   * Records a refusal.
   *
   * @param request The request.
   * @param id Id of the request; "" if it has none.
   * @param read Why its body was refused.
   */
  record(request: IncomingMessage, id: string, read: RefusedBody): void {
    const { server, log, metrics } = this.#options;
    const reason = read.kind === "refused" ? read.refusal : read.kind;
    metrics.count("bodies_refused_total", { server, reason });
    if (!this.#lines.allows(performance.now())) return;
    log.warn("body-refused", {
      server,
      request: id,
      peer: request.socket.remoteAddress,
      reason,
      length: request.headers["content-length"] ?? "",
    });
  }
}
