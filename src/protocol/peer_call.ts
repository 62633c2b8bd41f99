import {
  type EndEvidence,
  formatEvidence,
  parseEvidence,
} from "./end_evidence.ts";
import type { CallOutcome, DestinationLoad, MeshCall } from "./mesh_call.ts";
import { MeshReason } from "./mesh_call.ts";
import { RequestKind } from "./mesh.ts";
import { decodeField } from "./percent_field.ts";

/** Header with the description of a request between daemons. */
export const HEADER_CALL = "sp-call";
/** Header with the description of an outcome between daemons. */
export const HEADER_RESULT = "sp-result";

/** Path prefix at which a daemon reports the status of a request, by its id. */
export const STATUS_PATH = "/.sesamepond/status/";
/** Precedes the age of the request whose status is queried, in ms. */
const AGE_MS_QUERY = "?ageMs=";
/** Path at which a daemon serves its newest configuration. */
export const CONFIG_PATH = "/.sesamepond/config";
/** Path at which a daemon takes reports about the versions of a service. */
export const ROLLOUT_PATH = "/.sesamepond/rollout";
/** Status of a request at its destination. */
export enum CallStatus {
  /** Not received; the destination refuses it if it arrives later. */
  Unknown = "unknown",
  /** Queued or running. */
  Open = "open",
  /** Finished; its response is in transit or was lost. */
  Ended = "ended",
}

/** Separates the fields: few bytes, as each call between domains has them. */
const SEPARATOR = ";";
/** Fields of the first version; later versions append theirs. */
const CALL_FIELDS = 10;
const RESULT_FIELDS = 10;

const KIND_CODES: Readonly<Record<RequestKind, string>> = {
  [RequestKind.Idempotent]: "i",
  [RequestKind.AtMostOnce]: "o",
  [RequestKind.Upload]: "u",
};
const KINDS_BY_CODE = new Map(
  Object.values(RequestKind).map((kind) => [KIND_CODES[kind], kind]),
);
/** Marks a request that a running request waits for. */
const SUBCALL_FLAG = "s";
const REASONS = new Set<string>(Object.values(MeshReason));

/** Description of a request, with times relative to when it is sent. */
export type CallDescription =
  & Omit<
    MeshCall,
    "method" | "path" | "headers" | "body" | "deadlineMs" | "objectiveAtMs"
  >
  & {
    /** Time left until the deadline. */
    readonly remainingMs: number;
    /** Time left to meet the latency objective; negative once missed. */
    readonly objectiveInMs: number;
    /** Newest configuration version that the sender knows. */
    readonly configVersion: number;
  };

/** Description of an outcome, without the response itself. */
export interface ResultDescription {
  readonly outcome:
    | { readonly kind: "answered"; readonly serviceMs: number }
    | Exclude<CallOutcome, { kind: "answered" }>;
  readonly load: DestinationLoad;
  readonly configVersion: number;
  /** Time from receiving the request's head to sending the response, in ms. */
  readonly heldMs: number;
  /** Ends of backend processes that the request is suspected of. */
  readonly evidence?: readonly EndEvidence[] | undefined;
}

/**
 * Formats the description of a request.
 *
 * @param call The description.
 * @returns The value of {@linkcode HEADER_CALL}.
 *
 * @example
 * ```ts ignore
 * headers.push(HEADER_CALL, formatCall(description));
 * ```
 */
export function formatCall(call: CallDescription): string {
  return [
    encodeURIComponent(call.id),
    encodeURIComponent(call.route),
    KIND_CODES[call.kind],
    call.priority,
    encodeURIComponent(call.callerService),
    encodeURIComponent(call.service),
    encodeURIComponent(call.backendId),
    Math.round(call.remainingMs),
    Math.round(call.objectiveInMs),
    call.configVersion,
    ...formatCallOptions(call),
  ].join(SEPARATOR);
}

/** Formats the last fields, of which those at the end may be absent. */
function formatCallOptions(call: CallDescription): readonly string[] {
  const evidence = encodeURIComponent(formatEvidence(call.evidence ?? []));
  const isLong = call.organisation !== undefined || call.isSubcall === true;
  if (!isLong) return formatOptional(call.namedLimitPerS, evidence);
  return [
    call.namedLimitPerS?.toFixed(2) ?? "",
    evidence,
    encodeURIComponent(call.organisation ?? ""),
    String(call.organisationPriority ?? ""),
    call.isSubcall === true ? SUBCALL_FLAG : "",
  ];
}

/**
 * Parses the description of a request.
 *
 * @param value Value of {@linkcode HEADER_CALL}.
 * @returns The description; `undefined` where it cannot be read.
 *
 * @example
 * ```ts
 * parseCall("nonsense"); // undefined
 * ```
 */
export function parseCall(value: string): CallDescription | undefined {
  const fields = decodeFields(value);
  if (fields === undefined || fields.length < CALL_FIELDS) return undefined;
  const [id, route, kindCode, , callerService, service, backendId] =
    fields as string[];
  // The strictest guarantee holds for a kind of a later version.
  const kind = KINDS_BY_CODE.get(kindCode!) ?? RequestKind.AtMostOnce;
  const priority = Number(fields[3]);
  const remainingMs = Number(fields[7]);
  const objectiveInMs = Number(fields[8]);
  const configVersion = Number(fields[9]);
  const areFinite = Number.isFinite(priority) && Number.isFinite(remainingMs) &&
    Number.isFinite(objectiveInMs) && Number.isFinite(configVersion);
  if (!areFinite) return undefined;
  return {
    id: id!,
    route: route!,
    kind,
    priority,
    callerService: callerService!,
    service: service!,
    backendId: backendId!,
    remainingMs,
    objectiveInMs,
    configVersion,
    ...parseLimit(fields[CALL_FIELDS], "namedLimitPerS"),
    ...parseEvidenceField(fields[CALL_FIELDS + 1]),
    ...parseOrganisation(fields[CALL_FIELDS + 2], fields[CALL_FIELDS + 3]),
    ...(fields[CALL_FIELDS + 4] === SUBCALL_FLAG ? { isSubcall: true } : {}),
  };
}

function parseOrganisation(
  name: string | undefined,
  priorityText: string | undefined,
): Pick<MeshCall, "organisation" | "organisationPriority"> {
  if (name === undefined || name === "") return {};
  const priority = Number(priorityText || NaN);
  return Number.isFinite(priority)
    ? { organisation: name, organisationPriority: priority }
    : { organisation: name };
}

/**
 * Formats the description of an outcome.
 *
 * @param result The description.
 * @returns The value of {@linkcode HEADER_RESULT}.
 *
 * @example
 * ```ts ignore
 * headers.push(HEADER_RESULT, formatResult(result));
 * ```
 */
export function formatResult(result: ResultDescription): string {
  const { outcome, load, configVersion } = result;
  return [
    ...formatOutcome(outcome),
    load.running,
    load.queued,
    load.limit,
    Math.round(load.waitMs),
    load.failureShare.toFixed(2),
    configVersion,
    Math.round(result.heldMs),
    load.pace.toFixed(2),
    ...formatOptional(load.limitPerS, formatEvidence(result.evidence ?? [])),
  ].join(SEPARATOR);
}

/**
 * Formats the target of a status query.
 *
 * @param id Id of the request in question.
 * @param ageMs Time since it was sent, in ms.
 * @returns Path and query.
 *
 * @example
 * ```ts
 * formatStatusTarget("a", 500);
 * ```
 */
export function formatStatusTarget(id: string, ageMs: number): string {
  return `${STATUS_PATH}${encodeURIComponent(id)}${AGE_MS_QUERY}${
    Math.ceil(ageMs)
  }`;
}

/**
 * Parses the target of a status query.
 *
 * @param target The target, which starts with {@linkcode STATUS_PATH}.
 * @returns The id and the age, which is 0 if it is missing; `undefined` where
 * one of them cannot be read.
 *
 * @example
 * ```ts
 * parseStatusTarget(formatStatusTarget("a", 500)); // { id: "a", ageMs: 500 }
 * ```
 */
export function parseStatusTarget(
  target: string,
): { readonly id: string; readonly ageMs: number } | undefined {
  const [encodedId, ageText] = target.slice(STATUS_PATH.length)
    .split(AGE_MS_QUERY);
  const id = decodeField(encodedId!);
  const ageMs = Number(ageText ?? 0);
  return id === undefined || Number.isNaN(ageMs) ? undefined : { id, ageMs };
}

/** Head of a frame with a request or a response. */
export interface FrameHead {
  /** Value of {@linkcode HEADER_CALL} or {@linkcode HEADER_RESULT}. */
  readonly description: string;
  /** Start line: method and path of a request, or status of a response. */
  readonly start: readonly (string | number)[];
  /** Names and values in turn. */
  readonly headers: readonly string[];
}

/**
 * Formats the head of a frame.
 *
 * @param head The head.
 * @returns Its text.
 *
 * @example
 * ```ts
 * formatFrameHead({ description: "a", start: [200], headers: [] });
 * ```
 */
export function formatFrameHead(head: FrameHead): string {
  return JSON.stringify([head.description, head.start, head.headers]);
}

/**
 * Parses the head of a frame.
 *
 * @param text Its text.
 * @returns The head; `undefined` where it cannot be read.
 *
 * @example
 * ```ts
 * parseFrameHead("nonsense"); // undefined
 * ```
 */
export function parseFrameHead(text: string): FrameHead | undefined {
  let parts: unknown;
  try {
    parts = JSON.parse(text);
  } catch {
    // Not the head of a frame.
    return undefined;
  }
  if (!Array.isArray(parts) || parts.length !== 3) return undefined;
  const [description, start, headers] = parts;
  const isValid = typeof description === "string" && Array.isArray(start) &&
    start.every((part) =>
      typeof part === "string" || typeof part === "number"
    ) &&
    Array.isArray(headers) && headers.length % 2 === 0 &&
    headers.every((field) => typeof field === "string");
  return isValid ? { description, start, headers } : undefined;
}

/** Formats the last fields, which are left out where they say nothing. */
function formatOptional(
  limitPerS: number | undefined,
  evidence: string,
): readonly string[] {
  const limit = limitPerS === undefined ? "" : limitPerS.toFixed(2);
  if (evidence !== "") return [limit, evidence];
  return limit === "" ? [] : [limit];
}

function parseEvidenceField(
  field: string | undefined,
): { readonly evidence?: readonly EndEvidence[] } {
  const evidence = parseEvidence(field);
  return evidence.length === 0 ? {} : { evidence };
}

function parseLimit<Name extends string>(
  field: string | undefined,
  name: Name,
): { readonly [Key in Name]?: number } {
  const limitPerS = Number(field ?? NaN);
  const isLimit = Number.isFinite(limitPerS) && limitPerS > 0;
  return isLimit ? { [name]: limitPerS } as { [Key in Name]: number } : {};
}

function formatOutcome(
  outcome: ResultDescription["outcome"],
): readonly (string | number)[] {
  switch (outcome.kind) {
    case "answered":
      return ["a", Math.round(outcome.serviceMs), ""];
    case "not-run":
      return [
        outcome.hasReachedBackend ? "r" : "n",
        outcome.reason,
        Math.round(outcome.retryAfterMs),
      ];
    case "unknown":
      return ["u", outcome.reason, ""];
  }
}

/**
 * Parses the description of an outcome.
 *
 * @param value Value of {@linkcode HEADER_RESULT}.
 * @returns The description; `undefined` where it cannot be read.
 *
 * @example
 * ```ts
 * parseResult("nonsense"); // undefined
 * ```
 */
export function parseResult(value: string): ResultDescription | undefined {
  const fields = value.split(SEPARATOR);
  if (fields.length < RESULT_FIELDS) return undefined;
  const outcome = parseOutcome(fields[0]!, fields[1]!, Number(fields[2]));
  if (outcome === undefined) return undefined;
  const numbers: number[] = [];
  for (let index = 3; index < RESULT_FIELDS; index++) {
    const number = Number(fields[index]);
    if (!Number.isFinite(number)) return undefined;
    numbers.push(number);
  }
  const [running, queued, limit, waitMs, failureShare, configVersion, heldMs] =
    numbers as [number, number, number, number, number, number, number];
  const pace = Number(fields[RESULT_FIELDS]) || 1;
  return {
    outcome,
    load: {
      running,
      queued,
      limit,
      waitMs,
      failureShare,
      pace,
      ...parseLimit(fields[RESULT_FIELDS + 1], "limitPerS"),
    },
    configVersion,
    heldMs,
    ...parseEvidenceField(fields[RESULT_FIELDS + 2]),
  };
}

function parseOutcome(
  code: string,
  detail: string,
  retryAfterMs: number,
): ResultDescription["outcome"] | undefined {
  if (code === "a") {
    const serviceMs = Number(detail);
    return Number.isFinite(serviceMs)
      ? { kind: "answered", serviceMs }
      : undefined;
  }
  const reason = REASONS.has(detail) ? detail as MeshReason : MeshReason.Other;
  if (code === "u") return { kind: "unknown", reason };
  if (code !== "r" && code !== "n") return undefined;
  return {
    kind: "not-run",
    reason,
    hasReachedBackend: code === "r",
    retryAfterMs: Number.isFinite(retryAfterMs) ? retryAfterMs : 0,
  };
}

function decodeFields(value: string): string[] | undefined {
  const fields = value.split(SEPARATOR);
  if (!value.includes("%")) return fields;
  const decoded = fields.map(decodeField);
  return decoded.every((field) => field !== undefined) ? decoded : undefined;
}
