import type { CallOutcome, MeshCall } from "../protocol/mesh_call.ts";
import { MeshReason, notRunOutcome } from "../protocol/mesh_call.ts";
import type { StackResult } from "../transport/http/connection_stack.ts";
import { endToEndHeaders } from "../transport/http/header_filter.ts";
import type { EdgeHeaders } from "./ports.ts";

/** Headers of an answer that speak of one connection or its framing. */
const FRAMING_HEADERS = new Set(["content-length"]);
/** Status of an answer that names another backend server. */
const MISDIRECTED_STATUS = 421;

/** The head of an answer, with the request that it should belong to. */
export interface ResponseHead {
  readonly call: MeshCall;
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly headerNames: EdgeHeaders;
}

/** What came back for a request. */
export interface ClassifyResponseOptions {
  readonly call: MeshCall;
  readonly result: StackResult;
  readonly headerNames: EdgeHeaders;
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
export function isMatchingResponse(head: ResponseHead): boolean {
  const headersByName = toHeaderMap(head.headers);
  return isRejection(head, headersByName) ||
    isValidResponse(head, headersByName);
}

function isValidResponse(
  head: ResponseHead,
  fields: ReadonlyMap<string, string>,
): boolean {
  const { call, status, headerNames } = head;
  if (fields.get(headerNames.requestId) !== call.id) return false;
  if (fields.has("content-encoding")) return false;
  return status >= 300 || fields.has(headerNames.answerProof);
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
export function classifyResponse(
  options: ClassifyResponseOptions,
): CallOutcome {
  const { call, result, headerNames, serviceMs } = options;
  if (result.kind === "failed") {
    return result.sent
      ? { kind: "unknown", reason: MeshReason.Broken }
      : notRunOutcome(MeshReason.Unreachable);
  }
  const { status, headers, body } = result;
  const head = { call, status, headers, headerNames };
  const headersByName = toHeaderMap(headers);
  if (isRejection(head, headersByName)) {
    return {
      kind: "not-run",
      reason: MeshReason.Shed,
      arrived: true,
      retryAfterMs: 0,
    };
  }
  if (!isValidResponse(head, headersByName)) {
    return { kind: "unknown", reason: MeshReason.Malformed };
  }
  const kept = endToEndHeaders(headers, FRAMING_HEADERS);
  return {
    kind: "answered",
    answer: { status, headers: kept, body },
    serviceMs,
  };
}

/** A rejection that names another request says nothing of this one. */
function isRejection(
  head: ResponseHead,
  fields: ReadonlyMap<string, string>,
): boolean {
  const { call, status, headerNames } = head;
  const id = fields.get(headerNames.requestId);
  if (id !== undefined && id !== call.id) return false;
  return fields.has(headerNames.notRun) || status === MISDIRECTED_STATUS;
}

function toHeaderMap(headers: readonly string[]): ReadonlyMap<string, string> {
  const headersByName = new Map<string, string>();
  for (let index = 0; index < headers.length; index += 2) {
    headersByName.set(headers[index]!.toLowerCase(), headers[index + 1]!);
  }
  return headersByName;
}
