import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import {
  type AdmissionLoad,
  loadWithoutOne,
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
 * Asks callers to close an unused connection early, before a daemon that drains
 * closes it: a request that crosses with the close would be cut.
 */
const KEEP_ALIVE_HINT = "timeout=5";
/** Advice to wait before another attempt, in s. */
const RETRY_AFTER_S = 1;

/** For whom an answer is written. */
export type AnswerReader =
  /** A caller gets a header for each field. */
  | { readonly kind: "caller"; readonly isLeaving: boolean }
  /** A daemon gets all fields in one header, with the load. */
  | { readonly kind: "peer"; readonly load: () => AdmissionLoad };

/**
 * Writes an answer to a caller or a peer.
 *
 * @example
 * ```ts ignore
 * const reader = { kind: "caller", isLeaving: false } as const;
 * new AnswerWriter(response, requestId, reader).refuse(notRun(Reason.NoRoute));
 * ```
 */
export class AnswerWriter {
  readonly #response: ServerResponse;
  readonly #requestId: string;
  readonly #reader: AnswerReader;

  /**
   * Creates a writer.
   *
   * @param response The response to write.
   * @param requestId Id to echo.
   * @param reader For whom the answer is.
   */
  constructor(
    response: ServerResponse,
    requestId: string,
    reader: AnswerReader,
  ) {
    this.#response = response;
    this.#requestId = requestId;
    this.#reader = reader;
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
    const headers: AnswerHead["headers"] = {
      "content-type": "application/json",
      "content-length": String(Buffer.byteLength(body)),
    };
    const isTemporary = status === 503 || status === 429;
    if (isTemporary) headers["retry-after"] = String(RETRY_AFTER_S);
    this.#addState(headers, refusal);
    this.#response.writeHead(status, headers);
    this.#response.end(body);
  }

  /**
   * Writes the head of a backend server's answer.
   *
   * @param head Status and headers, which are changed.
   */
  head(head: AnswerHead): void {
    if (this.isClosed) return;
    this.#addState(head.headers, RAN);
    this.#response.writeHead(head.status, head.headers);
  }

  /** Answers a peer that asks whether this daemon is in reach. */
  present(): void {
    if (this.isClosed) return;
    const headers: AnswerHead["headers"] = { connection: "close" };
    this.#addState(headers, PRESENT);
    this.#response.writeHead(204, headers);
    this.#response.end();
  }

  #addState(
    headers: AnswerHead["headers"],
    state: Pick<Refusal, "outcome" | "isRetryable"> & Partial<Refusal>,
  ): void {
    const reader = this.#reader;
    switch (reader.kind) {
      case "peer":
        headers[HEADER_PEER_ANSWER] = formatPeerAnswer({
          id: this.#requestId,
          outcome: state.outcome,
          reason: state.reason,
          isRetryable: state.isRetryable,
          ...(state === RAN ? loadWithoutOne(reader.load()) : reader.load()),
        });
        return;
      case "caller":
        headers[HEADER_REQUEST_ID] = this.#requestId;
        headers[HEADER_OUTCOME] = state.outcome;
        if (reader.isLeaving) headers.connection = "close";
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

const PRESENT = { outcome: Outcome.NotRun, isRetryable: false };
const RAN = { outcome: Outcome.Ran, isRetryable: false };
