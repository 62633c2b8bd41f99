import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import {
  type AdmissionLoad,
  loadAfterCompletion,
} from "../coordination/admission/admission_queue.ts";
import type { AnswerHead } from "../protocol/call.ts";
import {
  HEADER_OUTCOME,
  HEADER_REASON,
  HEADER_REQUEST_ID,
  HEADER_RETRY,
} from "../protocol/headers.ts";
import { Outcome, type Refusal, statusOf } from "../protocol/outcome.ts";
import {
  formatPeerAnswer,
  HEADER_PEER_ANSWER,
} from "../protocol/peer_headers.ts";

/**
 * Keep-alive timeout advertised to callers, in s. They close idle connections
 * well before a draining daemon does; a request sent as the daemon closes the
 * connection would be lost.
 */
const KEEP_ALIVE_HINT = "timeout=5";
/** Value of the `retry-after` header, in s. */
const RETRY_AFTER_S = 1;

/** The kind of client that a response is written for. */
export type ResponseRecipient =
  /** A caller gets one header per field. */
  | { readonly kind: "caller"; readonly isDraining: boolean }
  /** A peer daemon gets all fields and the load in one header. */
  | { readonly kind: "peer"; readonly load: () => AdmissionLoad };

/**
 * Writes a response to a caller or a peer.
 *
 * @example
 * ```ts ignore
 * const recipient = { kind: "caller", isDraining: false } as const;
 * new ResponseWriter(response, requestId, recipient)
 *   .refuse(notRun(Reason.NoRoute));
 * ```
 */
export class ResponseWriter {
  readonly #response: ServerResponse;
  readonly #requestId: string;
  readonly #recipient: ResponseRecipient;

  /**
   * Creates a writer.
   *
   * @param response The response to write.
   * @param requestId Request id to send back.
   * @param recipient Kind of client.
   */
  constructor(
    response: ServerResponse,
    requestId: string,
    recipient: ResponseRecipient,
  ) {
    this.#response = response;
    this.#requestId = requestId;
    this.#recipient = recipient;
  }

  /** Whether nothing more can be written. */
  get isClosed(): boolean {
    return this.#response.destroyed || this.#response.writableEnded;
  }

  /**
   * Writes a response that the daemon itself generates.
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
    const headers: AnswerHead["headers"] = {
      "content-type": "application/json",
      "content-length": String(Buffer.byteLength(body)),
    };
    const isTemporary = status === 503 || status === 429;
    if (isTemporary) headers["retry-after"] = String(RETRY_AFTER_S);
    this.#addOutcome(headers, refusal);
    this.#response.writeHead(status, headers);
    this.#response.end(body);
  }

  /**
   * Writes the head of a backend server's response.
   *
   * @param head Status and headers; the headers are modified.
   */
  writeHead(head: AnswerHead): void {
    if (this.isClosed) return;
    this.#addOutcome(head.headers, RAN);
    this.#response.writeHead(head.status, head.headers);
  }

  /** Writes an empty response to a peer's reachability probe. */
  writeEmpty(): void {
    if (this.isClosed) return;
    const headers: AnswerHead["headers"] = { connection: "close" };
    this.#addOutcome(headers, REACHABLE);
    this.#response.writeHead(204, headers);
    this.#response.end();
  }

  #addOutcome(
    headers: AnswerHead["headers"],
    state: Pick<Refusal, "outcome" | "isRetryable"> & Partial<Refusal>,
  ): void {
    const recipient = this.#recipient;
    switch (recipient.kind) {
      case "peer":
        headers[HEADER_PEER_ANSWER] = formatPeerAnswer({
          id: this.#requestId,
          outcome: state.outcome,
          reason: state.reason,
          isRetryable: state.isRetryable,
          ...(state === RAN
            ? loadAfterCompletion(recipient.load())
            : recipient.load()),
        });
        return;
      case "caller":
        headers[HEADER_REQUEST_ID] = this.#requestId;
        headers[HEADER_OUTCOME] = state.outcome;
        if (recipient.isDraining) headers.connection = "close";
        else headers["keep-alive"] = KEEP_ALIVE_HINT;
        if (state.reason === undefined) return;
        headers[HEADER_REASON] = state.reason;
        headers[HEADER_RETRY] = state.isRetryable ? "yes" : "no";
        return;
    }
  }

  /**
   * Writes a part of the body.
   *
   * @param chunk The part.
   * @param onDrain Called once the buffer has drained, if it is full now.
   * @returns Whether more may be written now.
   */
  writeData(chunk: Uint8Array, onDrain: () => void): boolean {
    if (this.isClosed) return true;
    if (this.#response.write(chunk)) return true;
    this.#response.once("drain", onDrain);
    return false;
  }

  /** Ends the response. */
  end(): void {
    if (!this.isClosed) this.#response.end();
  }

  /** Closes the connection, so that a partial response cannot pass as whole. */
  abort(): void {
    this.#response.destroy();
  }
}

const REACHABLE = { outcome: Outcome.NotRun, isRetryable: false };
const RAN = { outcome: Outcome.Ran, isRetryable: false };
