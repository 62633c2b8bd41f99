import type { CallOutcome, MeshCall } from "../protocol/mesh_call.ts";
import { MeshReason, notRunOutcome } from "../protocol/mesh_call.ts";
import { isHttpStatus } from "../protocol/response_status.ts";
import type {
  PoolResponseHead,
  PoolResult,
} from "../transport/http/lifo_connection_pool.ts";
import { endToEndHeaders } from "../transport/http/header_filter.ts";
import type { EdgeHeaders, LoadHeader } from "./ports.ts";

/** Headers that describe the framing of one response. */
const FRAMING_HEADERS = new Set(["content-length"]);
/** HTTP status of a backend server that is not the expected one. */
const MISDIRECTED_STATUS = 421;

/** The head of a response, with the request that it should belong to. */
export interface ResponseHead extends PoolResponseHead {
  readonly call: MeshCall;
  readonly headerNames: EdgeHeaders;
}

/** A request and the result of sending it. */
export interface ClassifyResponseOptions {
  readonly call: MeshCall;
  readonly result: PoolResult;
  readonly headerNames: EdgeHeaders;
  /** Time that the backend server took, in ms. */
  readonly serviceMs: number;
}

/**
 * Reports whether a response comes from the backend server and belongs to this
 * request.
 *
 * @param head The head of the response, and the request.
 * @returns Whether it does; never for a response with a content encoding.
 *
 * @example
 * ```ts ignore
 * isMatchingResponse({ call, status: 200, headers, headerNames });
 * ```
 */
export function isMatchingResponse(head: ResponseHead): boolean {
  const fields = toHeaderMap(head.headers);
  return isRejection(head, fields) || isValidResponse(head, fields);
}

function isValidResponse(
  head: ResponseHead,
  fields: ReadonlyMap<string, string>,
): boolean {
  const { call, status, headerNames } = head;
  if (!isHttpStatus(status)) return false;
  if (fields.get(headerNames.requestId) !== call.id) return false;
  if (fields.has("content-encoding")) return false;
  return status >= 300 || fields.has(headerNames.answerProof);
}

/**
 * Turns the result of sending a request into its outcome.
 *
 * @param options The request and the result.
 * @returns The outcome.
 *
 * @example
 * ```ts ignore
 * const outcome = classifyResponse({ call, result, headerNames, serviceMs });
 * ```
 */
export function classifyResponse(
  options: ClassifyResponseOptions,
): CallOutcome {
  const { call, result, headerNames, serviceMs } = options;
  if (result.kind === "failed") {
    if (!result.sent) return notRunOutcome(MeshReason.Unreachable);
    const reason = result.hasExpired ? MeshReason.TimedOut : MeshReason.Broken;
    return { kind: "unknown", reason };
  }
  const { status, headers, isFirst, body } = result;
  const head = { call, status, headers, isFirst, headerNames };
  const fields = toHeaderMap(headers);
  if (isRejection(head, fields)) {
    return {
      kind: "not-run",
      reason: MeshReason.Shed,
      hasReachedBackend: true,
      retryAfterMs: 0,
    };
  }
  if (!isValidResponse(head, fields)) {
    return { kind: "unknown", reason: MeshReason.Malformed };
  }
  const kept = endToEndHeaders(headers, FRAMING_HEADERS);
  return {
    kind: "answered",
    answer: { status, headers: kept, body },
    serviceMs,
  };
}

/**
 * Reads how fast the backend server works at this moment.
 *
 * @param headers Alternating names and values.
 * @param header The header that says so.
 * @returns How long work takes relative to usual; `undefined` if not said.
 *
 * @example
 * ```ts ignore
 * const pace = readPace(result.headers, headerNames.load);
 * ```
 */
export function readPace(
  headers: readonly string[],
  header: LoadHeader,
): number | undefined {
  const value = findHeader(headers, header.name);
  return value === undefined ? undefined : header.decodePace(value);
}

/**
 * Reports whether a response says that its backend server leaves.
 *
 * @param headers Alternating names and values.
 * @param name Lower-case name of the header.
 * @returns Whether it does.
 *
 * @example
 * ```ts
 * saysLeaving(["server-leaving", "1"], "server-leaving"); // true
 * ```
 */
export function saysLeaving(
  headers: readonly string[],
  name: string,
): boolean {
  return findHeader(headers, name) === "1";
}

/** What a response says about the limit of its backend server. */
export type NamedLimit =
  | { readonly kind: "limited"; readonly limitPerS: number }
  | { readonly kind: "unlimited" }
  | { readonly kind: "unreadable"; readonly value: string };

/**
 * Reads the limit that the backend server names.
 *
 * @param headers Alternating names and values.
 * @param name Lower-case name of the header.
 * @returns The limit.
 *
 * @example
 * ```ts
 * readLimit(["server-limit", "37.8"], "server-limit");
 * // { kind: "limited", limitPerS: 37.8 }
 * ```
 */
export function readLimit(
  headers: readonly string[],
  name: string,
): NamedLimit {
  const value = findHeader(headers, name);
  if (value === undefined) return { kind: "unlimited" };
  const limitPerS = Number(value);
  const isLimit = value.trim() !== "" && Number.isFinite(limitPerS) &&
    limitPerS >= 0;
  return isLimit ? { kind: "limited", limitPerS } : {
    kind: "unreadable",
    value,
  };
}

/**
 * A rejection that names another request does not apply to this one. One that
 * names none may be a late copy, unless the connection has carried no other.
 */
function isRejection(
  head: ResponseHead,
  fields: ReadonlyMap<string, string>,
): boolean {
  const { call, status, isFirst, headerNames } = head;
  if (!isHttpStatus(status)) return false;
  const id = fields.get(headerNames.requestId);
  if (id === undefined ? !isFirst : id !== call.id) return false;
  return fields.has(headerNames.notRun) || status === MISDIRECTED_STATUS;
}

function findHeader(
  headers: readonly string[],
  name: string,
): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === name) return headers[index + 1]!;
  }
  return undefined;
}

function toHeaderMap(headers: readonly string[]): ReadonlyMap<string, string> {
  const fields = new Map<string, string>();
  for (let index = 0; index < headers.length; index += 2) {
    fields.set(headers[index]!.toLowerCase(), headers[index + 1]!);
  }
  return fields;
}
