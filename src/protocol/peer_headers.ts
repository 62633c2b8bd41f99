import { MAX_TIMEOUT_MS } from "./limits.ts";
import { Outcome, Reason } from "./outcome.ts";
import { type Rank, RANKS } from "./rank.ts";

/** Header with the fields of a call between daemons. */
export const HEADER_PEER_CALL = "x-sesamepond-call";
/** Header with the state of a response between daemons. */
export const HEADER_PEER_ANSWER = "x-sesamepond-answer";

/** Header that marks a reachability probe on the port for calls. */
export const HEADER_PEER_PROBE = "x-sesamepond-question";

/** Fields of a call between daemons; a single header is cheaper than many. */
export interface PeerCallHeader {
  readonly id: string;
  readonly service: string;
  readonly rank: Rank;
  readonly caller: string;
  /** Time left, in ms: daemons' clocks differ, so no point in time is sent. */
  readonly timeoutMs: number;
  readonly depth: number;
  readonly retriesLeft: number;
  readonly isRedirectable: boolean;
  readonly contentDigest: string;
  /** Last field on the wire, as it may contain the separator. */
  readonly fingerprint: string;
}

/** State of a response between daemons. */
export interface PeerAnswerHeader {
  readonly id: string;
  readonly outcome: Outcome;
  /** Set where the system responded instead of the backend server. */
  readonly reason: Reason | undefined;
  readonly isRetryable: boolean;
  readonly running: number;
  readonly queued: number;
  readonly limit: number;
}

const CALL_FIELDS = 10;
const ANSWER_FIELDS = 7;
const OUTCOMES: ReadonlySet<string> = new Set(Object.values(Outcome));
const REASONS: ReadonlySet<string> = new Set(Object.values(Reason));

/**
 * Formats the header of a call.
 *
 * @param call The fields.
 * @returns The header's value.
 *
 * @example
 * ```ts ignore
 * headers.push(HEADER_PEER_CALL, formatPeerCall(call));
 * ```
 */
export function formatPeerCall(call: PeerCallHeader): string {
  return `${call.id};${call.service};${call.rank};${call.caller};` +
    `${call.timeoutMs};${call.depth};${call.retriesLeft};` +
    `${call.isRedirectable ? "1" : "0"};` +
    `${call.contentDigest};${call.fingerprint}`;
}

/**
 * Parses the header of a call.
 *
 * @param text The header's value, if it was sent.
 * @returns The fields; `undefined` where one is missing or out of range.
 *
 * @example
 * ```ts
 * parsePeerCall("nonsense"); // undefined
 * ```
 */
export function parsePeerCall(
  text: string | undefined,
): PeerCallHeader | undefined {
  const parts = (text ?? "").split(";");
  if (parts.length < CALL_FIELDS) return undefined;
  const [id, service, rank, caller] = parts as [string, string, Rank, string];
  const timeoutMs = Number(parts[4]);
  const depth = Number(parts[5]);
  const retriesLeft = Number(parts[6]);
  const isValid = id !== "" && service !== "" && caller !== "" &&
    RANKS.includes(rank) && timeoutMs > 0 && timeoutMs <= MAX_TIMEOUT_MS &&
    isCount(depth) && isCount(retriesLeft);
  if (!isValid) return undefined;
  return {
    id,
    service,
    rank,
    caller,
    timeoutMs,
    depth,
    retriesLeft,
    isRedirectable: parts[7] === "1",
    contentDigest: parts[8]!,
    fingerprint: parts.slice(CALL_FIELDS - 1).join(";"),
  };
}

/**
 * Formats the header of a response.
 *
 * @param answer The fields.
 * @returns The header's value.
 *
 * @example
 * ```ts ignore
 * response.setHeader(HEADER_PEER_ANSWER, formatPeerAnswer(answer));
 * ```
 */
export function formatPeerAnswer(answer: PeerAnswerHeader): string {
  const retry = answer.isRetryable ? "1" : "0";
  return `${answer.id};${answer.outcome};${answer.reason ?? ""};${retry};` +
    `${answer.running};${answer.queued};${answer.limit}`;
}

/**
 * Parses the header of a response.
 *
 * @param text The header's value, if it was sent.
 * @returns The fields; `undefined` where it is malformed.
 *
 * @example
 * ```ts
 * parsePeerAnswer("a;ran;;0;1;0;8")?.limit; // 8
 * ```
 */
export function parsePeerAnswer(
  text: string | undefined,
): PeerAnswerHeader | undefined {
  const parts = (text ?? "").split(";");
  if (parts.length !== ANSWER_FIELDS) return undefined;
  const [id, outcome, reason, retry] = parts as [
    string,
    string,
    string,
    string,
  ];
  const running = Number(parts[4]);
  const queued = Number(parts[5]);
  const limit = Number(parts[6]);
  const isValid = OUTCOMES.has(outcome) &&
    (reason === "" || REASONS.has(reason)) &&
    isCount(running) && isCount(queued) && isCount(limit);
  if (!isValid) return undefined;
  return {
    id,
    outcome: outcome as Outcome,
    reason: reason === "" ? undefined : reason as Reason,
    isRetryable: retry === "1",
    running,
    queued,
    limit,
  };
}

function isCount(value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0;
}
