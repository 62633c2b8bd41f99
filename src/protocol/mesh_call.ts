import type { Buffer } from "node:buffer";
import type { RequestKind } from "./mesh.ts";

/** A request on its way to one backend server. */
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
  /** Service beside which the request entered. */
  readonly callerService: string;
  readonly service: string;
  /** Id of the backend server that is to run it. */
  readonly backendId: string;
  /** Monotonic time of this process until which the caller waits. */
  readonly deadlineMs: number;
  /** Monotonic time of this process until which an answer has its full use. */
  readonly objectiveAtMs: number;
}

/** The answer of a backend server, whole. */
export interface MeshAnswer {
  readonly status: number;
  /** End-to-end headers, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Why a request has no answer of a backend server. */
export enum MeshReason {
  /** The daemon knows no backend server beside it. */
  NoBackend = "no-backend",
  /** Another backend server is there by now. */
  Replaced = "replaced",
  /** The backend server or its daemon leaves. */
  Leaving = "leaving",
  /** It cannot be served in time behind what waits already. */
  Overloaded = "overloaded",
  /** The deadline passed while it waited. */
  Expired = "expired",
  /** The backend server said that it did not run it. */
  Shed = "shed",
  /** No connection could be opened. */
  Unreachable = "unreachable",
  /** The connection ended without a whole answer. */
  Broken = "broken",
  /** The answer is not one to this request. */
  Malformed = "malformed",
  /** The caller has gone. */
  Cancelled = "cancelled",
  /** The time of the route or the caller ran out at the backend server. */
  TimedOut = "timed-out",
}

/** What came of sending a request to one backend server. */
export type CallOutcome =
  | {
    readonly kind: "answered";
    readonly answer: MeshAnswer;
    /** Time that the backend server took. */
    readonly serviceMs: number;
  }
  | {
    readonly kind: "not-run";
    readonly reason: MeshReason;
    /** Whether it reached the backend server, which rejected it. */
    readonly hasReachedBackend: boolean;
    /** Time after which a new try has a chance. */
    readonly retryAfterMs: number;
  }
  | { readonly kind: "unknown"; readonly reason: MeshReason };

/** Load of a destination, as each of its answers reports it. */
export interface DestinationLoad {
  readonly running: number;
  readonly queued: number;
  readonly limit: number;
  /** Expected wait of one more request of the same priority. */
  readonly waitMs: number;
  /** Share of the recent requests that the backend server failed, 0 to 1. */
  readonly failureShare: number;
}

/**
 * Builds the outcome of a request that never reached the backend server.
 *
 * @param reason Why it was not sent.
 * @param retryAfterMs Time after which a new try has a chance.
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
