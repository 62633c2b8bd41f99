import type { ServerResponse } from "node:http";
import {
  MAX_SHORT_BODY_BYTES,
  PROCESS_BYTES,
} from "../transport/http/held_bytes.ts";
import { refuseLongBody } from "../transport/http/refuse_further_bytes.ts";
import type { ForwardResult } from "./forward_types.ts";

/** Status of a response that does not say whether the request has run. */
const BAD_GATEWAY_STATUS = 502;

/** A response that this daemon generates itself. */
export interface LocalReply {
  readonly status: number;
  readonly retryAfterMs?: number;
}

/**
 * Writes the responses to callers.
 *
 * @example
 * ```ts ignore
 * replies.reject(response, id, { status: 503, retryAfterMs: 50 });
 * ```
 */
export class ReplyWriter {
  readonly #requestIdHeader: string;
  #isKeepAliveDisabled = false;

  /**
   * Creates a writer.
   *
   * @param requestIdHeader Name of the header with the id of a request.
   */
  constructor(requestIdHeader: string) {
    this.#requestIdHeader = requestIdHeader;
  }

  /** Closes each connection after its next response. */
  disableKeepAlive(): void {
    this.#isKeepAliveDisabled = true;
  }

  /**
   * Writes the result of forwarding a request.
   *
   * @param response Where it is written; it may be closed.
   * @param id Id of the request.
   * @param result The result.
   */
  respond(response: ServerResponse, id: string, result: ForwardResult): void {
    if (response.destroyed) return;
    switch (result.kind) {
      case "answered": {
        if (this.#isKeepAliveDisabled) response.shouldKeepAlive = false;
        const { status, headers, body } = result.answer;
        // A caller may take its time to read a long response.
        if (body.length > MAX_SHORT_BODY_BYTES) {
          PROCESS_BYTES.add(body.length);
          response.once("close", () => PROCESS_BYTES.add(-body.length));
        }
        response.writeHead(status, [
          ...headers,
          "content-length",
          String(body.length),
        ]).end(body);
        return;
      }
      case "refused":
        return this.reject(response, id, {
          status: 503,
          retryAfterMs: result.retryAfterMs,
        });
      case "failed":
        return this.reject(response, id, { status: BAD_GATEWAY_STATUS });
      case "timed-out":
        return this.reject(response, id, { status: 504 });
    }
  }

  /**
   * Writes a response that this daemon generates itself.
   *
   * @param response Where it is written.
   * @param id Id of the request; empty if it has none.
   * @param reply The response.
   */
  reject(response: ServerResponse, id: string, reply: LocalReply): void {
    if (this.#isKeepAliveDisabled) response.shouldKeepAlive = false;
    if (!response.req.complete) refuseLongBody(response.req, response);
    const headers = ["content-length", "0"];
    if (id !== "") headers.push(this.#requestIdHeader, id);
    if (reply.retryAfterMs !== undefined) {
      headers.push("retry-after", (reply.retryAfterMs / 1_000).toFixed(3));
    }
    response.writeHead(reply.status, headers).end();
  }
}
