import type { CallOutcome, DestinationLoad, MeshCall } from "./mesh_call.ts";
import { MeshReason } from "./mesh_call.ts";
import { RequestKind } from "./mesh.ts";

/** Header with which a daemon describes a request to another daemon. */
export const HEADER_CALL = "sp-call";
/** Header with which a daemon describes the outcome to another daemon. */
export const HEADER_RESULT = "sp-result";

/** Path under which a daemon asks another one what became of a request. */
export const STATUS_PATH = "/.sesamepond/status/";
/** Path under which a daemon asks for a place for a long body, by its id. */
export const BODY_PERMIT_PATH = "/.sesamepond/place/";
/** Sets off the time for which a place has use. */
const USEFUL_FIELD = "?usefulMs=";
/** Path at which a daemon hands out its newest configuration. */
export const CONFIG_PATH = "/.sesamepond/config";
/** What a destination knows of a request. */
export enum CallStatus {
  /** It never arrived, and will be refused if it still does. */
  Unknown = "unknown",
  /** It waits or runs. */
  Open = "open",
  /** It ended; its answer is on the way or lost. */
  Ended = "ended",
}

/** Fields are short and in a fixed order, as they cross domains on each call. */
const SEPARATOR = ";";
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
const REASONS = new Set<string>(Object.values(MeshReason));

/** The described part of a request, times relative to the sending. */
export type CallDescription =
  & Omit<
    MeshCall,
    "method" | "path" | "headers" | "body" | "deadlineMs" | "objectiveAtMs"
  >
  & {
    readonly remainingMs: number;
    readonly objectiveInMs: number;
    /** Newest configuration version that the sender knows. */
    readonly configVersion: number;
  };

/** What a daemon says of an outcome besides the answer itself. */
export interface ResultDescription {
  readonly outcome:
    | { readonly kind: "answered"; readonly serviceMs: number }
    | Exclude<CallOutcome, { kind: "answered" }>;
  readonly load: DestinationLoad;
  readonly configVersion: number;
  /** Time from the arrival of the request's head to the answer, in ms. */
  readonly heldMs: number;
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
  ].join(SEPARATOR);
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
  if (fields?.length !== CALL_FIELDS) return undefined;
  const [id, route, kindCode, , callerService, service, backendId] =
    fields as string[];
  const kind = KINDS_BY_CODE.get(kindCode!);
  const priority = Number(fields[3]);
  const remainingMs = Number(fields[7]);
  const objectiveInMs = Number(fields[8]);
  const configVersion = Number(fields[9]);
  const areFinite = Number.isFinite(priority) && Number.isFinite(remainingMs) &&
    Number.isFinite(objectiveInMs) && Number.isFinite(configVersion);
  if (kind === undefined || !areFinite) return undefined;
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
  };
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
    ...outcomeFields(outcome),
    load.running,
    load.queued,
    load.limit,
    Math.round(load.waitMs),
    load.failureShare.toFixed(2),
    configVersion,
    Math.round(result.heldMs),
  ].join(SEPARATOR);
}

/**
 * Formats the target of a question for a place for a long body.
 *
 * @param id Id of the request.
 * @param usefulMs Time for which a place has use.
 * @returns The target.
 *
 * @example
 * ```ts
 * formatBodyPermitTarget("a", 500);
 * ```
 */
export function formatBodyPermitTarget(id: string, usefulMs: number): string {
  return `${BODY_PERMIT_PATH}${encodeURIComponent(id)}${USEFUL_FIELD}${
    Math.floor(usefulMs)
  }`;
}

/**
 * Parses the target of a question for a place.
 *
 * @param target The target, which starts with {@linkcode BODY_PERMIT_PATH}.
 * @returns Id and time; one that is not said is infinite.
 *
 * @example
 * ```ts
 * parseBodyPermitTarget(formatBodyPermitTarget("a", 500)); // { id: "a", usefulMs: 500 }
 * ```
 */
export function parseBodyPermitTarget(
  target: string,
): { readonly id: string; readonly usefulMs: number } {
  const [id, useful] = target.slice(BODY_PERMIT_PATH.length).split(
    USEFUL_FIELD,
  );
  const usefulMs = Number(useful ?? Infinity);
  return {
    id: decodeURIComponent(id!),
    usefulMs: Number.isNaN(usefulMs) ? Infinity : usefulMs,
  };
}

/** A request or an answer as the head of a frame carries it. */
export interface FrameHead {
  /** Value of {@linkcode HEADER_CALL} or {@linkcode HEADER_RESULT}. */
  readonly description: string;
  /** Method and path of a request, or status of an answer. */
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
    // The head is not one of ours.
    return undefined;
  }
  if (!Array.isArray(parts) || parts.length !== 3) return undefined;
  const [description, start, headers] = parts;
  const isReadable = typeof description === "string" && Array.isArray(start) &&
    Array.isArray(headers) && headers.length % 2 === 0 &&
    headers.every((field) => typeof field === "string");
  return isReadable ? { description, start, headers } : undefined;
}

function outcomeFields(
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
  if (fields.length !== RESULT_FIELDS) return undefined;
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
  return {
    outcome,
    load: { running, queued, limit, waitMs, failureShare },
    configVersion,
    heldMs,
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
  if (!REASONS.has(detail)) return undefined;
  const reason = detail as MeshReason;
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
  try {
    return fields.map(decodeURIComponent);
  } catch {
    // A malformed escape: the header is not one of ours.
    return undefined;
  }
}
