import { type BackendRun, RunEnd } from "../platform/fakes/backend.ts";
import type { BackendProcessHistory, SentRequest } from "./violations.ts";

/** Time in which a configuration or new settings are in force, in ms. */
const APPLY_MS = 2_000;
/** Time beyond that of planned work in which it still counts, in ms. */
const PLANNED_MARGIN_MS = 1_000;
/** Time after a fault in which what it touched may still suffer, in ms. */
const STABLE_MS = 3_000;
/** Part of the grace from which the end of the process may cut what runs. */
const CUT_SHARE = 5 / 6;
/** Time after SIGTERM up to which a request may be cut by the end, in ms. */
const CUT_SENT_MS = 3_000;
/** Time in which a connection may close on a request that did not run, in ms. */
const LOSS_SLACK_MS = 200;

/** Work that operators do on purpose. */
export enum PlannedKind {
  Stop = "SIGTERM",
  Reload = "SIGHUP",
  Config = "config-change",
}

/** Planned work at one instance, or at all of them. */
export interface PlannedWork {
  readonly kind: PlannedKind;
  /** Name of the instance; `undefined` for all. */
  readonly instance: string | undefined;
  /** Monotonic time at which it began. */
  readonly atMs: number;
}

/** A fault of an instance's daemon, or of the way to it. */
export interface Impairment {
  readonly instance: string;
  /** Monotonic times; the end is infinite until it is known. */
  readonly fromMs: number;
  untilMs: number;
}

/** What was done to a fleet. */
export interface FleetHistory {
  readonly graceMs: number;
  readonly planned: readonly PlannedWork[];
  readonly impairments: readonly Impairment[];
}

/** A run and the name of its instance. */
interface PlacedRun {
  readonly run: BackendRun;
  readonly instance: string;
}

/**
 * Finds requests that daemons gave up around planned work, although nothing
 * had happened to the daemons that carried them.
 *
 * A slow daemon or a slow way is no fault here: its silence tells nothing of
 * what it carries.
 *
 * @param sent Requests.
 * @param lives All lives of backend servers.
 * @param history What was done to the fleet.
 * @returns One line for each lost request.
 */
export function findLostRequests(
  sent: Iterable<SentRequest>,
  lives: readonly BackendProcessHistory[],
  history: FleetHistory,
): string[] {
  const runsById = new Map<string, PlacedRun[]>();
  for (const { instance, runs } of lives) {
    for (const run of runs) {
      const others = runsById.get(run.id) ?? [];
      runsById.set(run.id, [...others, { run, instance }]);
    }
  }
  return [...sent].flatMap((request) =>
    lossOf(request, runsById.get(request.id) ?? [], history)
  );
}

function lossOf(
  request: SentRequest,
  runs: readonly PlacedRun[],
  history: FleetHistory,
): string[] {
  if (!isGivenUp(request)) return [];
  if (isImpaired(request.ingress, request, history)) return [];
  const works = history.planned.filter((work) =>
    covers(work, request, history.graceMs)
  );
  const work = works[0];
  if (work === undefined) return [];
  const { id, ingress, status, sentAtMs, endedAtMs } = request;
  const ageMs = Math.round(endedAtMs - sentAtMs);
  const sinceMs = Math.round(endedAtMs - work.atMs);
  const line = `${id} got ${status} from ${ingress} after ${ageMs} ms, ` +
    `${sinceMs} ms after ${work.kind}`;
  // No process has read what could not be sent.
  const isClosed = status === 0 && ageMs > LOSS_SLACK_MS &&
    request.error !== "ECONNREFUSED";
  if (runs.length === 0) return isClosed ? [`${line}, and did not run`] : [];
  const lost = runs.find((placed) => isLost(request, placed, history));
  if (lost === undefined) return [];
  const { run, instance } = lost;
  const ranMs = Math.round(endedAtMs - run.atMs);
  return [`${line}; ran at ${instance} for ${ranMs} ms, ${run.end}`];
}

/** Whether it ended without a backend's answer before its caller's time. */
function isGivenUp(request: SentRequest): boolean {
  const { status, sentAtMs, endedAtMs, disconnectedAtMs: leftAtMs, timeoutMs } =
    request;
  const isUnknown = status === 0 || status === 502 || status === 504;
  return isUnknown && leftAtMs === Infinity &&
    endedAtMs < sentAtMs + timeoutMs;
}

function isImpaired(
  instance: string,
  request: SentRequest,
  history: FleetHistory,
): boolean {
  return history.impairments.some((impairment) =>
    impairment.instance === instance &&
    impairment.fromMs <= request.endedAtMs &&
    impairment.untilMs + STABLE_MS >= request.sentAtMs
  );
}

function covers(
  work: PlannedWork,
  request: SentRequest,
  graceMs: number,
): boolean {
  const isThere = work.instance === undefined ||
    work.instance === request.ingress;
  if (!isThere || request.endedAtMs < work.atMs) return false;
  switch (work.kind) {
    case PlannedKind.Stop:
      return request.endedAtMs <= work.atMs + graceMs + PLANNED_MARGIN_MS;
    case PlannedKind.Reload:
      return request.sentAtMs <= work.atMs + APPLY_MS;
    case PlannedKind.Config:
      return request.endedAtMs <= work.atMs + APPLY_MS + PLANNED_MARGIN_MS;
  }
}

/** Whether a run was given up that nothing had happened to. */
function isLost(
  request: SentRequest,
  placed: PlacedRun,
  history: FleetHistory,
): boolean {
  const { run, instance } = placed;
  if (run.atMs > request.endedAtMs || run.end === RunEnd.BrokenOff) {
    return false;
  }
  if (isImpaired(instance, request, history)) return false;
  return !history.planned.some((work) =>
    work.kind === PlannedKind.Stop &&
    (work.instance === request.ingress || work.instance === instance) &&
    isCutByEnd(work, request, { run, graceMs: history.graceMs })
  );
}

/** Whether the end of a process came while a backend server was at work. */
function isCutByEnd(
  stop: PlannedWork,
  request: SentRequest,
  options: { readonly run: BackendRun; readonly graceMs: number },
): boolean {
  const { run, graceMs } = options;
  const endMs = stop.atMs + graceMs;
  return run.atMs < endMs + PLANNED_MARGIN_MS &&
    Math.min(run.endedAtMs, request.endedAtMs) >=
      stop.atMs + graceMs * CUT_SHARE &&
    request.sentAtMs <= stop.atMs + CUT_SENT_MS;
}
