import type { IncomingMessage, ServerResponse } from "node:http";
import { messageOf } from "../../protocol/step_error.ts";
import type { EventLog } from "../observe/event_log.ts";
import { LogRateLimiter } from "../observe/log_rate_limiter.ts";
import type { TextMetrics } from "../observe/text_metrics.ts";

/** Most log lines about failed handlers of one server in a second. */
const MAX_FAILURE_LINES_PER_S = 5;

/** Handles the requests of an HTTP server. */
type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Options of {@linkcode guardHandler}. */
export interface GuardOptions {
  /** Name of the server in logs and metrics. */
  readonly server: string;
  /** Status of the response to a request whose handler failed. */
  readonly status: number;
  readonly log: EventLog;
  /** Counts the failures, if given. */
  readonly metrics?: TextMetrics;
}

/**
 * Contains the failures of a handler, so that no request ends the process.
 *
 * @param handler Handles a request; may reject.
 * @param options Name of the server, and the response to a failed request.
 * @returns A listener that never throws.
 *
 * @example
 * ```ts ignore
 * createServer(guardHandler(handle, { server: "peers", status: 400, log, metrics }));
 * ```
 */
export function guardHandler(
  handler: Handler,
  options: GuardOptions,
): (request: IncomingMessage, response: ServerResponse) => void {
  const { server, status, log, metrics } = options;
  const lines = new LogRateLimiter(log, MAX_FAILURE_LINES_PER_S);
  return (request, response) => {
    handler(request, response).catch((error: unknown) => {
      metrics?.count("handler_failures_total", { server });
      if (lines.allows(performance.now())) {
        log.error("handler-failed", {
          server,
          peer: request.socket.remoteAddress,
          reason: messageOf(error),
        });
      }
      if (response.headersSent) {
        response.destroy();
        return;
      }
      response.shouldKeepAlive = false;
      response.writeHead(status, { "content-length": 0 }).end();
    });
  };
}
