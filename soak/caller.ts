import { type Agent, request as sendRequest } from "node:http";
import type { SentRequest } from "./violations.ts";

/** How a caller sends a request. */
export interface CallerOptions {
  /** Keeps connections open for further requests. */
  readonly agent: Agent;
  /** Port of the daemon that takes the request. */
  readonly port: number;
  /** Time after which it leaves without an answer, in ms. */
  readonly disconnectAfterMs?: number | undefined;
}

/**
 * Sends a request and notes in it what its caller saw.
 *
 * @param request The request.
 * @param options Where it goes, and how long the caller stays.
 * @returns Once it has ended; never rejects.
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
        host: "shop.example",
        "x-attempt-id": request.id,
        "x-deadline-ms": String(request.timeoutMs),
      },
    }, (response) => {
      let answer = "";
      response.on("data", (chunk) => answer += String(chunk));
      response.on("end", () => {
        clearTimeout(leaving);
        request.status = response.statusCode ?? 0;
        request.answer = answer;
        end();
      });
      response.on("error", fail);
    });
    const leave = () => {
      request.disconnectedAtMs = performance.now();
      outgoing.destroy();
    };
    const leaving = options.disconnectAfterMs === undefined
      ? undefined
      : setTimeout(leave, options.disconnectAfterMs);
    // No answer is an answer too: the status stays 0.
    outgoing.on("error", fail);
    outgoing.setTimeout(request.timeoutMs * 2, () => outgoing.destroy());
    outgoing.end(request.body);
  });
}
