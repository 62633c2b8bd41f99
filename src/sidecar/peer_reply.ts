import type { Buffer } from "node:buffer";
import type { CancelSignal } from "../protocol/cancellation.ts";
import type { EndEvidence } from "../protocol/end_evidence.ts";
import type {
  CallOutcome,
  DestinationLoad,
  MeshCall,
} from "../protocol/mesh_call.ts";
import { MeshReason, notRunOutcome } from "../protocol/mesh_call.ts";
import {
  formatFrameHead,
  HEADER_RESULT,
  parseFrameHead,
  parseResult,
  type ResultDescription,
} from "../protocol/peer_call.ts";
import type { CallChannel } from "../transport/channel/mod.ts";

/** Range of the statuses of final responses. */
const MIN_STATUS = 200;
const MAX_STATUS = 999;

/** Outcome of a request with the metadata of the reply. */
export interface PeerResult {
  readonly outcome: CallOutcome;
  readonly load?: DestinationLoad;
  readonly configVersion?: number;
  /** Network time of the request and its response, in ms. */
  readonly transitMs?: number;
  /** Ends of backend processes that the request is suspected of. */
  readonly evidence?: readonly EndEvidence[] | undefined;
  /** Time that a large body waited for a transfer permit, in ms. */
  readonly permitWaitMs?: number;
}

/**
 * Finds the description of an outcome among header fields.
 *
 * @param headers Names and values in turn.
 * @returns The description; `undefined` if there is none.
 *
 * @example
 * ```ts
 * findResult(["date", "today"]); // undefined
 * ```
 */
export function findResult(
  headers: readonly string[],
): ResultDescription | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() !== HEADER_RESULT) continue;
    return parseResult(headers[index + 1]!);
  }
  return undefined;
}

/** Reply to a request, over a channel or over a connection of its own. */
export type PeerReply =
  | { readonly kind: "failed"; readonly sent: boolean }
  | {
    readonly kind: "answer";
    readonly description: ResultDescription | undefined;
    readonly status: number;
    /** Names and values in turn. */
    readonly headers: readonly string[];
    readonly body: Buffer;
  };

/**
 * Sends a request over a channel.
 *
 * @param channel The channel.
 * @param parts The request, its description, and the signal that aborts it.
 * @returns The reply; never rejects.
 *
 * @example
 * ```ts ignore
 * const reply = await sendOverChannel(channel, { call, description, signal });
 * ```
 */
export async function sendOverChannel(
  channel: CallChannel,
  parts: {
    readonly call: MeshCall;
    readonly description: string;
    readonly signal: CancelSignal;
  },
): Promise<PeerReply> {
  const { call, description, signal } = parts;
  const { method, path, headers } = call;
  const head = formatFrameHead({ description, start: [method, path], headers });
  const result = await channel.send({ head, body: call.body }, signal);
  if (result.kind === "failed") return result;
  const replyHead = parseFrameHead(result.head);
  const status = replyHead?.start[0];
  const isValid = typeof status === "number" && Number.isInteger(status) &&
    status >= MIN_STATUS && status <= MAX_STATUS;
  return {
    kind: "answer",
    // Without a description, the reply counts as malformed.
    description: isValid ? parseResult(replyHead!.description) : undefined,
    status: isValid ? status : 0,
    headers: replyHead?.headers ?? [],
    body: result.body,
  };
}

/**
 * Turns a reply into the outcome of a request.
 *
 * @param reply The reply.
 * @param hasNeverArrived Whether the destination reported that the request
 * never arrived.
 * @param tookMs Time since the request was sent, in ms.
 * @returns The outcome with the metadata of the reply.
 *
 * @example
 * ```ts ignore
 * const { outcome } = toPeerResult(reply, false, 12);
 * ```
 */
export function toPeerResult(
  reply: PeerReply,
  hasNeverArrived: boolean,
  tookMs: number,
): PeerResult {
  if (reply.kind === "failed") {
    const mayHaveRun = reply.sent && !hasNeverArrived;
    return {
      outcome: mayHaveRun
        ? { kind: "unknown", reason: MeshReason.Broken }
        : notRunOutcome(MeshReason.Unreachable),
    };
  }
  const { description } = reply;
  if (description === undefined) {
    return { outcome: { kind: "unknown", reason: MeshReason.Malformed } };
  }
  const { outcome, load, configVersion, heldMs, evidence } = description;
  const transitMs = Math.max(0, tookMs - heldMs);
  if (outcome.kind !== "answered") {
    return { outcome, load, configVersion, transitMs, evidence };
  }
  const headers = withoutConnectionHeaders(reply.headers);
  return {
    outcome: {
      kind: "answered",
      answer: { status: reply.status, headers, body: reply.body },
      serviceMs: outcome.serviceMs,
    },
    load,
    configVersion,
    transitMs,
    evidence,
  };
}

const CONNECTION_HEADERS = new Set([
  HEADER_RESULT,
  "connection",
  "keep-alive",
  "content-length",
  "transfer-encoding",
]);

function withoutConnectionHeaders(headers: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    if (CONNECTION_HEADERS.has(headers[index]!.toLowerCase())) continue;
    kept.push(headers[index]!, headers[index + 1]!);
  }
  return kept;
}
