import { Buffer } from "node:buffer";
import {
  RolloutPhase,
  type RolloutRecord,
  type RolloutReport,
  type RouteSamples,
  type SampleCounts,
} from "../protocol/rollout.ts";

/** Prefix of the store keys of decisions; the service follows. */
export const ROLLOUT_PREFIX = "sesamepond/rollouts/";

const PHASES = new Set<unknown>(Object.values(RolloutPhase));
/** Largest numbers of versions, routes and classes that are read. */
const MAX_VERSIONS = 64;
const MAX_ROUTES = 1_000;
const MAX_CLASSES = 64;
const MAX_NAME_LENGTH = 200;

type Fields = Readonly<Record<string, unknown>>;

/**
 * Encodes a decision or a report.
 *
 * @param value The decision or the report.
 * @returns Its bytes.
 *
 * @example
 * ```ts ignore
 * const bytes = encodeRollout(record);
 * ```
 */
export function encodeRollout(value: RolloutRecord | RolloutReport): Buffer {
  return Buffer.from(JSON.stringify(value));
}

/**
 * Decodes a decision.
 *
 * @param bytes Its bytes.
 * @returns The decision; `undefined` if it is malformed.
 *
 * @example
 * ```ts
 * decodeRolloutRecord(new Uint8Array()); // undefined
 * ```
 */
export function decodeRolloutRecord(
  bytes: Uint8Array,
): RolloutRecord | undefined {
  const fields = parse(bytes);
  const { service, sequence, phase, inUse, decider, targetVersion } = fields;
  const { share, startedAtUnixMs, endsAtUnixMs } = fields;
  const isValid = isText(service) && isCount(sequence) && PHASES.has(phase) &&
    Array.isArray(inUse) && inUse.length <= MAX_VERSIONS &&
    inUse.every(isText) && isText(decider) && isText(targetVersion) &&
    typeof share === "number" && share >= 0 && share <= 1 &&
    isCount(startedAtUnixMs) && isCount(endsAtUnixMs);
  return isValid
    ? {
      service,
      sequence,
      phase: phase as RolloutPhase,
      inUse,
      decider,
      targetVersion,
      share,
      startedAtUnixMs,
      endsAtUnixMs,
    }
    : undefined;
}

/**
 * Decodes a report.
 *
 * @param bytes Its bytes.
 * @returns The report; `undefined` if it is malformed.
 *
 * @example
 * ```ts
 * decodeRolloutReport(new Uint8Array()); // undefined
 * ```
 */
export function decodeRolloutReport(
  bytes: Uint8Array,
): RolloutReport | undefined {
  const fields = parse(bytes);
  const { service, targetVersion, instance, epoch, sequence } = fields;
  const { openRequests, routes } = fields;
  const isValid = isText(service) && isText(targetVersion) &&
    isText(instance) && isCount(epoch) && isCount(sequence) &&
    isCount(openRequests) && Array.isArray(routes) &&
    routes.length <= MAX_ROUTES;
  if (!isValid) return undefined;
  const decoded = routes.map(decodeRoute);
  if (decoded.includes(undefined)) return undefined;
  return {
    service,
    targetVersion,
    instance,
    epoch,
    sequence,
    openRequests,
    routes: decoded as RouteSamples[],
  };
}

function decodeRoute(value: unknown): RouteSamples | undefined {
  const { route, former, target } = asFields(value);
  const counts = [decodeCounts(former), decodeCounts(target)] as const;
  const isValid = isText(route) && counts[0] !== undefined &&
    counts[1] !== undefined;
  return isValid
    ? { route, former: counts[0]!, target: counts[1]! }
    : undefined;
}

function decodeCounts(value: unknown): SampleCounts | undefined {
  const { requests, failures, times } = asFields(value);
  const isValid = isCount(requests) && isCount(failures) &&
    Array.isArray(times) && times.length <= MAX_CLASSES && times.every(isCount);
  return isValid ? { requests, failures, times } : undefined;
}

function isText(value: unknown): value is string {
  return typeof value === "string" && value.length <= MAX_NAME_LENGTH;
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

function asFields(value: unknown): Fields {
  return typeof value === "object" && value !== null ? value as Fields : {};
}

function parse(bytes: Uint8Array): Fields {
  try {
    return asFields(JSON.parse(Buffer.from(bytes).toString()));
  } catch {
    // Not JSON: the caller logs it.
    return {};
  }
}
