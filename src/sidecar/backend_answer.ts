import type { CallOutcome, MeshCall } from "../protocol/mesh_call.ts";
import { MeshReason, notRunOutcome } from "../protocol/mesh_call.ts";
import type { PoolResult } from "../transport/http/lifo_connection_pool.ts";
import { endToEndHeaders } from "../transport/http/header_filter.ts";
import type { EdgeHeaders } from "./ports.ts";

/** Headers of an answer that speak of one connection or its framing. */
const ANSWER_FRAMING = new Set(["content-length"]);
/** Status of an answer that names another backend server. */
const MISDIRECTED = 421;

/** The head of an answer, with the request that it should belong to. */
export interface AnswerHead {
  readonly call: MeshCall;
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly names: EdgeHeaders;
}

/** What came back for a request. */
export interface AnswerOptions {
  readonly call: MeshCall;
  readonly result: PoolResult;
  readonly names: EdgeHeaders;
  /** Time that the backend server took. */
  readonly serviceMs: number;
}

/**
 * Says whether an answer is the backend server's to this very request.
 *
 * @param head The head of the answer, and the request.
 * @returns Whether it is; an encoded body never is.
 *
 * @example
 * ```ts ignore
 * isOwnAnswer({ call, status: 200, headers, names });
 * ```
 */
export function isOwnAnswer(head: AnswerHead): boolean {
  const fields = headerMap(head.headers);
  return isRejection(head, fields) || isAnswer(head, fields);
}

function isAnswer(
  head: AnswerHead,
  fields: ReadonlyMap<string, string>,
): boolean {
  const { call, status, names } = head;
  if (fields.get(names.requestId) !== call.id) return false;
  if (fields.has("content-encoding")) return false;
  return status >= 300 || fields.has(names.answerProof);
}

/**
 * Turns what came back into the outcome of a request.
 *
 * @param options The request and what came back.
 * @returns The outcome.
 *
 * @example
 * ```ts ignore
 * const outcome = classifyAnswer({ call, result, names, serviceMs });
 * ```
 */
export function classifyAnswer(options: AnswerOptions): CallOutcome {
  const { call, result, names, serviceMs } = options;
  if (result.kind === "failed") {
    return result.sent
      ? { kind: "unknown", reason: MeshReason.Broken }
      : notRunOutcome(MeshReason.Unreachable);
  }
  const { status, headers, body } = result;
  const head = { call, status, headers, names };
  const fields = headerMap(headers);
  if (isRejection(head, fields)) {
    return {
      kind: "not-run",
      reason: MeshReason.Shed,
      arrived: true,
      retryAfterMs: 0,
    };
  }
  if (!isAnswer(head, fields)) {
    return { kind: "unknown", reason: MeshReason.Malformed };
  }
  const kept = endToEndHeaders(headers, ANSWER_FRAMING);
  return {
    kind: "answered",
    answer: { status, headers: kept, body },
    serviceMs,
  };
}

/** A rejection that names another request says nothing of this one. */
function isRejection(
  head: AnswerHead,
  fields: ReadonlyMap<string, string>,
): boolean {
  const { call, status, names } = head;
  const id = fields.get(names.requestId);
  if (id !== undefined && id !== call.id) return false;
  return fields.has(names.notRun) || status === MISDIRECTED;
}

function headerMap(headers: readonly string[]): ReadonlyMap<string, string> {
  const fields = new Map<string, string>();
  for (let index = 0; index < headers.length; index += 2) {
    fields.set(headers[index]!.toLowerCase(), headers[index + 1]!);
  }
  return fields;
}
