import type { Readable } from "node:stream";
import type { Rank } from "./rank.ts";
import type { Refusal } from "./outcome.ts";
import type { StepError } from "./step_error.ts";

/** The body of a call. */
export type CallBody =
  | { readonly kind: "none" }
  | { readonly kind: "buffered"; readonly bytes: Uint8Array }
  | { readonly kind: "stream"; readonly stream: Readable };

/** One attempt to have a request executed by a backend server. */
export interface Call {
  /** Unique for the attempt. */
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
  /** Monotonic time by which the answer is of use. */
  readonly deadlineMs: number;
  readonly depth: number;
  readonly fingerprint: string;
  readonly contentDigest: string;
  readonly idempotencyKey: string | undefined;
  /**
   * Whether a destination without a free slot is to refuse the call instead of
   * queueing it, as another one seems to have a slot.
   */
  readonly isRedirectable: boolean;
  /** Retries left to the call tree, shared by all of its calls here. */
  readonly retries: RetryAllowance;
}

/** Retries that a call tree may still make. */
export interface RetryAllowance {
  left: number;
}

/** Status and headers of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
}

/** Receives an answer: either a refusal, or a head, data and an end. */
export interface AnswerSink {
  /** The system answers itself; nothing follows. */
  onRefused(refusal: Refusal): void;
  /** The backend server answers. */
  onHead(head: AnswerHead): void;
  /** Returns false to pause until {@linkcode Execution.resume}. */
  onData(chunk: Uint8Array): boolean;
  onEnd(): void;
  /** The answer was cut short after its head. */
  onAborted(error: StepError): void;
}

/** A call that is under way. */
export interface Execution {
  /** Gives up the answer. */
  cancel(): void;
  /** Asks for more data after a pause. */
  resume(): void;
}
