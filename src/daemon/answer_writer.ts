import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { AnswerHead } from "../protocol/call.ts";
import {
  HEADER_OUTCOME,
  HEADER_REASON,
  HEADER_REQUEST_ID,
  HEADER_RETRY,
} from "../protocol/headers.ts";
import { Outcome, type Refusal, statusOf } from "../protocol/outcome.ts";

/** Advice to wait before another attempt, in s. */
const RETRY_AFTER_S = 1;

/**
 * Writes an answer to a caller or a peer.
 *
 * @example
 * ```ts ignore
 * const writer = new AnswerWriter(response, requestId);
 * writer.refuse(notRun(Reason.NoRoute));
 * ```
 */
export class AnswerWriter {
  readonly #response: ServerResponse;
  readonly #requestId: string;
  readonly #headers: Readonly<Record<string, string>>;

  /**
   * Creates a writer.
   *
   * @param response The response to write.
   * @param requestId Id to echo.
   * @param headers Further headers of each answer.
   */
  constructor(
    response: ServerResponse,
    requestId: string,
    headers: Readonly<Record<string, string>> = {},
  ) {
    this.#response = response;
    this.#requestId = requestId;
    this.#headers = headers;
  }

  /** Whether the receiver is gone. */
  get isClosed(): boolean {
    return this.#response.destroyed || this.#response.writableEnded;
  }

  /**
   * Writes an answer that the system makes itself.
   *
   * @param refusal Outcome and reason.
   */
  refuse(refusal: Refusal): void {
    if (this.isClosed) return;
    const status = statusOf(refusal.reason);
    const body = `${
      JSON.stringify({
        outcome: refusal.outcome,
        reason: refusal.reason,
        requestId: this.#requestId,
      })
    }\n`;
    const headers: Record<string, string> = {
      ...this.#headers,
      "content-type": "application/json",
      "content-length": String(Buffer.byteLength(body)),
      [HEADER_REQUEST_ID]: this.#requestId,
      [HEADER_OUTCOME]: refusal.outcome,
      [HEADER_REASON]: refusal.reason,
      [HEADER_RETRY]: refusal.retryable ? "yes" : "no",
    };
    const isTemporary = status === 503 || status === 429;
    if (isTemporary) headers["retry-after"] = String(RETRY_AFTER_S);
    this.#response.writeHead(status, headers);
    this.#response.end(body);
  }

  /**
   * Writes the head of a backend server's answer.
   *
   * @param head Status and headers.
   */
  head(head: AnswerHead): void {
    if (this.isClosed) return;
    this.#response.writeHead(head.status, {
      ...head.headers,
      ...this.#headers,
      [HEADER_REQUEST_ID]: this.#requestId,
      [HEADER_OUTCOME]: Outcome.Ran,
    });
  }

  /**
   * Writes a part of the body.
   *
   * @param chunk The part.
   * @param onDrain Called once more may be written, where that is not now.
   * @returns Whether more may be written now.
   */
  data(chunk: Uint8Array, onDrain: () => void): boolean {
    if (this.isClosed) return true;
    if (this.#response.write(chunk)) return true;
    this.#response.once("drain", onDrain);
    return false;
  }

  /** Ends the answer. */
  end(): void {
    if (!this.isClosed) this.#response.end();
  }

  /** Breaks the connection, so that a cut answer is not taken for whole. */
  cut(): void {
    this.#response.destroy();
  }
}
