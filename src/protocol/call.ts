import type { Readable } from "node:stream";
import type { Rank } from "./rank.ts";
import type { Refusal } from "./outcome.ts";
import type { StepError } from "./step_error.ts";

/** The body of a call. */
export type CallBody =
  | { readonly kind: "none" }
  | { readonly kind: "buffered"; readonly bytes: Uint8Array }
  | { readonly kind: "stream"; readonly stream: Readable };

/** One attempt to execute a request on a backend server. */
export interface Call {
  /** Id of the attempt. */
  readonly id: string;
  readonly service: string;
  readonly rank: Rank;
  readonly caller: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** End-to-end headers, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: CallBody;
  /** Monotonic time after which the response is of no use. */
  readonly deadlineMs: number;
  /** Depth of the call in its call tree. */
  readonly depth: number;
  readonly fingerprint: string;
  readonly contentDigest: string;
  readonly idempotencyKey: string | undefined;
  /**
   * Whether a destination without a free slot should refuse the call instead of
   * queueing it, because another destination seems to have a free slot.
   */
  readonly isRedirectable: boolean;
  /** Shared by all calls of one call tree on this daemon. */
  readonly retries: RetryAllowance;
}

/** Number of retries that a call tree has left. */
export interface RetryAllowance {
  left: number;
}

/** Status and headers of a response. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
}

/** Receives a response: a refusal, or a head, then data, then its end. */
export interface AnswerSink {
  /** The system responds instead of the backend server; no event follows. */
  onRefused(refusal: Refusal): void;
  /** The backend server responds. */
  onHead(head: AnswerHead): void;
  /** Returns false to pause until {@linkcode Execution.resume}. */
  onData(chunk: Uint8Array): boolean;
  onEnd(): void;
  /** The response ended before it was complete, but after its head. */
  onAborted(error: StepError): void;
}

/** Handle of a call in progress. */
export interface Execution {
  /** Cancels the call; its response is no longer needed. */
  cancel(): void;
  /** Asks for more data after a pause. */
  resume(): void;
}
