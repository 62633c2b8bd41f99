import { type BackendRun, RunEnd } from "../platform/fakes/backend.ts";
import type { BackendProcessHistory, SentRequest } from "./violations.ts";

/** Time within which a configuration or new settings are applied, in ms. */
const APPLY_MS = 2_000;
/** Margin after planned work within which a loss still counts, in ms. */
const PLANNED_MARGIN_MS = 1_000;
/** Time after a fault within which it may still affect requests, in ms. */
const STABLE_MS = 3_000;
/** Share of the grace period after which the exit may interrupt requests. */
const INTERRUPTION_SHARE = 5 / 6;
/** Time from SIGTERM; the exit may not interrupt requests sent later, in ms. */
const INTERRUPTION_SENT_MS = 3_000;
/**
 * Time after the sending of a request that did not run within which its
 * connection may close, in ms.
 */
const CLOSE_SLACK_MS = 200;

/** Kinds of planned work by operators. */
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

/** A fault of an instance's daemon, or of the path to it. */
export interface Impairment {
  readonly instance: string;
  /** Monotonic times of start and end; an unknown end is infinite. */
  readonly fromMs: number;
  untilMs: number;
}

/** Planned work and faults of a run. */
export interface FleetHistory {
  readonly graceMs: number;
  readonly planned: readonly PlannedWork[];
  readonly impairments: readonly Impairment[];
}

/** A run of a request and the name of the instance at which it ran. */
interface LocatedRun {
  readonly run: BackendRun;
  readonly instance: string;
}

/**
 * Finds requests that daemons abandoned around planned work although no fault
 * had affected the daemons that handled them.
 *
 * A slow daemon or a slow path is not a fault here: a missing response says
 * nothing about the state of the request.
 *
 * @param sent Requests.
 * @param processes All processes of backend servers.
 * @param history Planned work and faults of the run.
 * @returns One line for each lost request.
 */
export function findLostRequests(
  sent: Iterable<SentRequest>,
  processes: readonly BackendProcessHistory[],
  history: FleetHistory,
): string[] {
  const runsById = new Map<string, LocatedRun[]>();
  for (const { instance, runs } of processes) {
    for (const run of runs) {
      const others = runsById.get(run.id) ?? [];
      runsById.set(run.id, [...others, { run, instance }]);
    }
  }
  return [...sent].flatMap((request) =>
    describeLoss(request, runsById.get(request.id) ?? [], history)
  );
}

function describeLoss(
  request: SentRequest,
  runs: readonly LocatedRun[],
  history: FleetHistory,
): string[] {
  if (!isAbandoned(request)) return [];
  if (isImpaired(request.ingress, request, history)) return [];
  const affecting = history.planned.filter((work) =>
    affects(work, request, history.graceMs)
  );
  const work = affecting[0];
  if (work === undefined) return [];
  const { id, ingress, status, sentAtMs, endedAtMs } = request;
  const ageMs = Math.round(endedAtMs - sentAtMs);
  const sinceMs = Math.round(endedAtMs - work.atMs);
  const line = `${id} got ${status} from ${ingress} after ${ageMs} ms, ` +
    `${sinceMs} ms after ${work.kind}`;
  // A request on a refused connection was never sent.
  const isClosed = status === 0 && ageMs > CLOSE_SLACK_MS &&
    request.error !== "ECONNREFUSED";
  if (runs.length === 0) return isClosed ? [`${line}, and did not run`] : [];
  const lost = runs.find((located) => isLost(request, located, history));
  if (lost === undefined) return [];
  const { run, instance } = lost;
  const ranMs = Math.round(endedAtMs - run.atMs);
  return [`${line}; ran at ${instance} for ${ranMs} ms, ${run.end}`];
}

/**
 * Whether a request ended before its deadline without the response of a
 * backend server.
 */
function isAbandoned(request: SentRequest): boolean {
  const { status, sentAtMs, endedAtMs, disconnectedAtMs, timeoutMs } = request;
  const isUnknown = status === 0 || status === 502 || status === 504;
  return isUnknown && disconnectedAtMs === Infinity &&
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

function affects(
  work: PlannedWork,
  request: SentRequest,
  graceMs: number,
): boolean {
  const isIngressAffected = work.instance === undefined ||
    work.instance === request.ingress;
  if (!isIngressAffected || request.endedAtMs < work.atMs) return false;
  switch (work.kind) {
    case PlannedKind.Stop:
      return request.endedAtMs <= work.atMs + graceMs + PLANNED_MARGIN_MS;
    case PlannedKind.Reload:
      return request.sentAtMs <= work.atMs + APPLY_MS;
    case PlannedKind.Config:
      return request.endedAtMs <= work.atMs + APPLY_MS + PLANNED_MARGIN_MS;
  }
}

/** Whether a run was abandoned that neither a fault nor an exit excuses. */
function isLost(
  request: SentRequest,
  located: LocatedRun,
  history: FleetHistory,
): boolean {
  const { run, instance } = located;
  if (run.atMs > request.endedAtMs || run.end === RunEnd.BrokenOff) {
    return false;
  }
  if (isImpaired(instance, request, history)) return false;
  return !history.planned.some((work) =>
    work.kind === PlannedKind.Stop &&
    (work.instance === request.ingress || work.instance === instance) &&
    isInterruptedByExit(work, request, { run, graceMs: history.graceMs })
  );
}

/** Whether a daemon's exit may have interrupted a run. */
function isInterruptedByExit(
  stop: PlannedWork,
  request: SentRequest,
  options: { readonly run: BackendRun; readonly graceMs: number },
): boolean {
  const { run, graceMs } = options;
  const endMs = stop.atMs + graceMs;
  return run.atMs < endMs + PLANNED_MARGIN_MS &&
    Math.min(run.endedAtMs, request.endedAtMs) >=
      stop.atMs + graceMs * INTERRUPTION_SHARE &&
    request.sentAtMs <= stop.atMs + INTERRUPTION_SENT_MS;
}
