import type { MeshCall } from "./mesh_call.ts";
import { decodeField } from "./percent_field.ts";

/** Path prefix at which a daemon grants transfer permits for large bodies. */
export const TRANSFER_PERMIT_PATH = "/.sesamepond/place/";
/**
 * Header of a request for a transfer permit with the body's description, which
 * daemons of an earlier version neither send nor read.
 */
export const HEADER_TRANSFER = "sp-transfer";
/** Precedes the longest time that a sender waits for a permit, in ms. */
const USEFUL_MS_QUERY = "?usefulMs=";
/** Separates the fields; later versions append theirs. */
const SEPARATOR = ";";
/** Largest size that is believed, in bytes; daemons accept no larger bodies. */
const MAX_BYTES = 256 * 1024 * 1024;
/** Marks a body of a request that a running request waits for. */
const SUBCALL_FLAG = "s";

/**
 * Formats the target of a request for a transfer permit.
 *
 * @param id Id of the request whose body is to be sent.
 * @param maxWaitMs Longest time that the sender waits for a permit, in ms.
 * @returns Path and query.
 *
 * @example
 * ```ts
 * formatTransferPermitTarget("a", 500);
 * ```
 */
export function formatTransferPermitTarget(
  id: string,
  maxWaitMs: number,
): string {
  return `${TRANSFER_PERMIT_PATH}${encodeURIComponent(id)}${USEFUL_MS_QUERY}${
    Math.floor(maxWaitMs)
  }`;
}

/**
 * Parses the target of a request for a transfer permit.
 *
 * @param target The target, which starts with {@linkcode TRANSFER_PERMIT_PATH}.
 * @returns The id and the longest wait, which is `Infinity` if it is missing;
 * `undefined` where the id cannot be read.
 *
 * @example
 * ```ts
 * parseTransferPermitTarget(formatTransferPermitTarget("a", 500)); // { id: "a", maxWaitMs: 500 }
 * ```
 */
export function parseTransferPermitTarget(
  target: string,
): { readonly id: string; readonly maxWaitMs: number } | undefined {
  const [encodedId, maxWaitText] = target.slice(TRANSFER_PERMIT_PATH.length)
    .split(USEFUL_MS_QUERY);
  const id = decodeField(encodedId!);
  if (id === undefined) return undefined;
  const maxWaitMs = Number(maxWaitText ?? Infinity);
  return { id, maxWaitMs: Number.isNaN(maxWaitMs) ? Infinity : maxWaitMs };
}

/** The body for which a transfer permit is requested. */
export interface TransferMessage {
  /** Size of the body, in bytes. */
  readonly bytes?: number;
  /** Rank of the route; 0 is the most urgent. */
  readonly priority?: number;
  /** Organisation of the caller, if it has one. */
  readonly organisation?: string;
  /** Rank of the organisation; 0 is the most urgent. */
  readonly organisationPriority?: number;
  /** Whether a running request probably waits for it. */
  readonly isSubcall?: boolean;
}

/**
 * Formats the headers of a request for a transfer permit. Without organisations,
 * permits are granted in the order of arrival, so that there are none.
 *
 * @param call The request whose body is to be sent.
 * @returns Names and values in turn.
 *
 * @example
 * ```ts ignore
 * formatTransferHeaders(call); // ["sp-transfer", "60000;1;acme;0;"]
 * ```
 */
export function formatTransferHeaders(
  call: Pick<
    MeshCall,
    "body" | "priority" | "organisation" | "organisationPriority" | "isSubcall"
  >,
): readonly string[] {
  const { body, priority, organisation, organisationPriority } = call;
  const isSubcall = call.isSubcall === true;
  if (organisation === undefined && !isSubcall) return [];
  const fields = [
    body?.length ?? "",
    priority,
    encodeURIComponent(organisation ?? ""),
    organisationPriority ?? "",
    isSubcall ? SUBCALL_FLAG : "",
  ];
  return [HEADER_TRANSFER, fields.join(SEPARATOR)];
}

/**
 * Parses the description of a body. A field that is missing or cannot be read is
 * left out.
 *
 * @param value Value of {@linkcode HEADER_TRANSFER}, if there is one.
 * @returns The description.
 *
 * @example
 * ```ts
 * parseTransfer("60000;1;acme"); // { bytes: 60_000, priority: 1, organisation: "acme" }
 * ```
 */
export function parseTransfer(value: string | undefined): TransferMessage {
  const [bytesText, priorityText, nameText, rankText, flag] =
    value?.split(SEPARATOR) ?? [];
  const bytes = parseNumber(bytesText);
  const priority = parseNumber(priorityText);
  const organisation = decodeField(nameText ?? "");
  const organisationPriority = parseNumber(rankText);
  const isSize = bytes !== undefined && bytes > 0 && bytes <= MAX_BYTES;
  return {
    ...(isSize ? { bytes } : {}),
    ...(priority === undefined ? {} : { priority }),
    ...(organisation === undefined || organisation === ""
      ? {}
      : { organisation }),
    ...(organisationPriority === undefined ? {} : { organisationPriority }),
    ...(flag === SUBCALL_FLAG ? { isSubcall: true } : {}),
  };
}

function parseNumber(text: string | undefined): number | undefined {
  const number = Number(text || NaN);
  return Number.isFinite(number) ? number : undefined;
}
