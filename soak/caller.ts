import { type Agent, request as sendRequest } from "node:http";
import type { SentRequest } from "./violations.ts";

/** How a caller sends a request. */
export interface CallerOptions {
  /** Agent that keeps connections open for further requests. */
  readonly agent: Agent;
  /** Port of the ingress daemon. */
  readonly port: number;
  /** Time after which the caller disconnects without a response, in ms. */
  readonly disconnectAfterMs?: number | undefined;
}

/**
 * Sends a request and records its result in it.
 *
 * @param request The request; its fields for the result are set.
 * @param options Connection, and time after which the caller disconnects.
 * @returns Resolves when the request has ended; never rejects.
 */
export function sendAsCaller(
  request: SentRequest,
  options: CallerOptions,
): Promise<void> {
  return new Promise((resolve) => {
    const end = () => {
      request.endedAtMs = Math.min(request.endedAtMs, performance.now());
      resolve();
    };
    const fail = (error: NodeJS.ErrnoException) => {
      request.error = error.code ?? error.message;
      end();
    };
    const outgoing = sendRequest({
      agent: options.agent,
      host: "127.0.0.1",
      port: options.port,
      method: request.isIdempotent ? "GET" : "POST",
      path: request.path,
      headers: {
        ...request.headers,
        host: "shop.example",
        "x-attempt-id": request.id,
        "x-deadline-ms": String(request.timeoutMs),
      },
    }, (response) => {
      let body = "";
      response.on("data", (chunk) => body += String(chunk));
      response.on("end", () => {
        clearTimeout(disconnectTimer);
        request.status = response.statusCode ?? 0;
        request.retryAfterS = Number(response.headers["retry-after"] ?? 0);
        request.answer = body;
        end();
      });
      response.on("error", fail);
    });
    const disconnect = () => {
      request.disconnectedAtMs = performance.now();
      outgoing.destroy();
    };
    const disconnectTimer = options.disconnectAfterMs === undefined
      ? undefined
      : setTimeout(disconnect, options.disconnectAfterMs);
    // Without a response the status stays 0.
    outgoing.on("error", fail);
    outgoing.setTimeout(request.timeoutMs * 2, () => outgoing.destroy());
    outgoing.end(request.body);
  });
}
