import type { Buffer } from "node:buffer";
import type { EndEvidence } from "./end_evidence.ts";
import type { RequestKind } from "./mesh.ts";

/** A request to one backend server. */
export interface MeshCall {
  /** Id of the caller's attempt. */
  readonly id: string;
  readonly method: string;
  /** Path with the query, as it was received. */
  readonly path: string;
  /** End-to-end headers, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly route: string;
  readonly kind: RequestKind;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Service whose local daemon received the request. */
  readonly callerService: string;
  readonly service: string;
  /** Id of the backend server that should run it. */
  readonly backendId: string;
  /** Time until which the caller waits, on this process's monotonic clock. */
  readonly deadlineMs: number;
  /** Time until which a response meets its latency objective, on that clock. */
  readonly objectiveAtMs: number;
  /**
   * Limit per second that the backend server named in the last response that
   * the sender has passed on; absent if it named none.
   */
  readonly namedLimitPerS?: number | undefined;
  /** Ends of backend processes that the request is suspected of. */
  readonly evidence?: readonly EndEvidence[] | undefined;
  /** Organisation of the caller, if it has one. */
  readonly organisation?: string | undefined;
  /** Rank of the organisation; 0 is the most urgent. */
  readonly organisationPriority?: number | undefined;
  /** Whether a running request probably waits for it. */
  readonly isSubcall?: boolean | undefined;
}

/** The complete response of a backend server. */
export interface MeshAnswer {
  readonly status: number;
  /** End-to-end headers, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Why a request got no response from a backend server. */
export enum MeshReason {
  /** No backend server is known that could run it. */
  NoBackend = "no-backend",
  /** The addressed backend server was replaced by another one. */
  Replaced = "replaced",
  /** The backend server or its daemon is draining or stopping. */
  Leaving = "leaving",
  /** The queue is too long to serve the request in time. */
  Overloaded = "overloaded",
  /** The deadline passed while the request was queued. */
  Expired = "expired",
  /** The backend server reported that it did not run the request. */
  Shed = "shed",
  /** No connection could be opened. */
  Unreachable = "unreachable",
  /** The backend process ended while it was running the request. */
  Ended = "ended",
  /** Another request that is suspected of such an end is running. */
  Isolated = "isolated",
  /** Too many backend processes have ended under the request. */
  Quarantined = "quarantined",
  /** The connection ended before a complete response. */
  Broken = "broken",
  /** The response does not belong to this request. */
  Malformed = "malformed",
  /** The caller disconnected. */
  Cancelled = "cancelled",
  /** The timeout of the route or the caller passed at the backend server. */
  TimedOut = "timed-out",
  /** A reason of a later version, which this one does not know. */
  Other = "other",
}

/** Outcome of sending a request to one backend server. */
export type CallOutcome =
  | {
    readonly kind: "answered";
    readonly answer: MeshAnswer;
    /** Time that the backend server took, in ms. */
    readonly serviceMs: number;
  }
  | {
    readonly kind: "not-run";
    readonly reason: MeshReason;
    /** Whether the request reached the backend server, which rejected it. */
    readonly hasReachedBackend: boolean;
    /** Time after which a retry may succeed. */
    readonly retryAfterMs: number;
  }
  | { readonly kind: "unknown"; readonly reason: MeshReason };

/** Load of a destination, reported with each of its responses. */
export interface DestinationLoad {
  readonly running: number;
  readonly queued: number;
  readonly limit: number;
  /** Expected queueing time of one more request of the same priority. */
  readonly waitMs: number;
  /** Share of recent requests that failed at the backend server, 0 to 1. */
  readonly failureShare: number;
  /** How long work takes at this moment, relative to usual. */
  readonly pace: number;
  /** Requests per second that the backend server takes; absent if unlimited. */
  readonly limitPerS?: number | undefined;
}

/**
 * Builds the outcome of a request that never reached the backend server.
 *
 * @param reason Why it was not sent.
 * @param retryAfterMs Time after which a retry may succeed, in ms.
 * @returns The outcome.
 *
 * @example
 * ```ts
 * notRunOutcome(MeshReason.Leaving).kind; // "not-run"
 * ```
 */
export function notRunOutcome(
  reason: MeshReason,
  retryAfterMs = 0,
): CallOutcome {
  return { kind: "not-run", reason, hasReachedBackend: false, retryAfterMs };
}
