import type { Buffer } from "node:buffer";
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

/** Outcome of a request with what came beside it. */
export interface PeerResult {
  readonly outcome: CallOutcome;
  readonly load?: DestinationLoad;
  readonly configVersion?: number;
  /** Time that the request and its answer were on their way, in ms. */
  readonly transitMs?: number;
  /** Time that a long body waited for a place on the way, in ms. */
  readonly permitWaitMs?: number;
}

/**
 * Finds the description of a result among header fields.
 *
 * @param headers Names and values in turn.
 * @returns The description; `undefined` where there is none.
 *
 * @example
 * ```ts
 * resultOf(["date", "today"]); // undefined
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

/** What came back for a request, over whatever way. */
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
 * @param parts The request, its description, and what ends it.
 * @returns What came back; never rejects.
 *
 * @example
 * ```ts ignore
 * const reply = await sendOver(channel, { call, description, signal });
 * ```
 */
export async function sendOverChannel(
  channel: CallChannel,
  parts: {
    readonly call: MeshCall;
    readonly description: string;
    readonly signal: AbortSignal;
  },
): Promise<PeerReply> {
  const { call, description, signal } = parts;
  const { method, path, headers } = call;
  const head = formatFrameHead({ description, start: [method, path], headers });
  const result = await channel.send({ head, body: call.body }, signal);
  if (result.kind === "failed") return result;
  const answer = parseFrameHead(result.head);
  return {
    kind: "answer",
    description: answer && parseResult(answer.description),
    status: Number(answer?.start[0]),
    headers: answer?.headers ?? [],
    body: result.body,
  };
}

/**
 * Turns what came back into the outcome of a request.
 *
 * @param reply What came back.
 * @param hasNeverArrived Whether the destination said so.
 * @param tookMs Time since the request was sent, in ms.
 * @returns The outcome with what came beside it.
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
  const { outcome, load, configVersion, heldMs } = description;
  const transitMs = Math.max(0, tookMs - heldMs);
  if (outcome.kind !== "answered") {
    return { outcome, load, configVersion, transitMs };
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
