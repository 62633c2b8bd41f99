import {
  type Impairment,
  PlannedKind,
  type PlannedWork,
} from "./lost_requests.ts";
import type { BackendProcessHistory, SentRequest } from "./violations.ts";

/** Prefix of the paths of requests under which backend servers end. */
export const FATAL_PREFIX = "/stock/fatal-";
/** Number of ends after which a fatal request is bounded. */
const BOUNDED_ENDS = 3;
/** Most arrivals of a fatal request once it is bounded. */
const MAX_LATE_ARRIVALS = 3;
/** Time after an event from which daemons without faults are bound, in ms. */
const STABLE_MS = 3_000;
/** Window in which the arrivals at a backend server are counted, in ms. */
const LIMIT_WINDOW_MS = 4_000;
/** Factor and slack of the arrivals that a limit allows in a window. */
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;
/** Retry-After value above which a refusal is a verdict, in s. */
const MIN_VERDICT_RETRY_AFTER_S = 30;

/** The end of a backend process under a request. */
export interface BackendEnd {
  readonly path: string;
  /** Monotonic time, in ms. */
  readonly atMs: number;
}

/** A limit that a backend process named in its responses. */
export interface NamedLimit {
  readonly backendId: string;
  readonly limitPerS: number;
  /** Monotonic times between which it named the limit, in ms. */
  readonly fromMs: number;
  untilMs: number;
}

/** What backend servers had to be protected from, and planned work. */
export interface ProtectionHistory {
  readonly ends: readonly BackendEnd[];
  readonly limits: readonly NamedLimit[];
  readonly planned: readonly PlannedWork[];
  readonly impairments: readonly Impairment[];
  readonly graceMs: number;
}

/** Whether backend servers end under a request with this path. */
export function isFatalPath(path: string): boolean {
  return path.startsWith(FATAL_PREFIX);
}

/**
 * Finds fatal requests that were sent on for too long, others that were refused
 * as fatal, and backend servers that got more than the limit they had named.
 *
 * Requests that began at a daemon which had been restarted, frozen or cut off
 * shortly before are excused.
 *
 * @param sent Requests by id.
 * @param processes All processes of backend servers.
 * @param history Ends, limits and planned work of the run.
 * @returns One line for each problem.
 */
export function findUnprotected(
  sent: ReadonlyMap<string, SentRequest>,
  processes: readonly BackendProcessHistory[],
  history: ProtectionHistory,
): string[] {
  return [
    ...findUnboundedFatal(sent, processes, history),
    ...findRefusedAsFatal(sent),
    ...findOverLimit(sent, processes, history),
  ];
}

function findUnboundedFatal(
  sent: ReadonlyMap<string, SentRequest>,
  processes: readonly BackendProcessHistory[],
  history: ProtectionHistory,
): string[] {
  const paths = [...new Set(history.ends.map(({ path }) => path))];
  return paths.flatMap((path) => {
    const ends = history.ends.filter((end) => end.path === path);
    const thirdEnd = ends[BOUNDED_ENDS - 1];
    if (thirdEnd === undefined) return [];
    const late = processes.flatMap(({ runs }) => runs).filter((run) =>
      run.path === path && run.atMs > thirdEnd.atMs + STABLE_MS &&
      !wasDisturbed(sent.get(run.id)?.ingress, run.atMs, run.atMs, history)
    );
    return late.length > MAX_LATE_ARRIVALS
      ? [`${path} arrived ${late.length} times after ${ends.length} ends`]
      : [];
  });
}

function findRefusedAsFatal(
  sent: ReadonlyMap<string, SentRequest>,
): string[] {
  return [...sent.values()].filter(({ path, retryAfterS }) =>
    !isFatalPath(path) && retryAfterS >= MIN_VERDICT_RETRY_AFTER_S
  ).map(({ id }) => `${id} was refused as fatal`);
}

function findOverLimit(
  sent: ReadonlyMap<string, SentRequest>,
  processes: readonly BackendProcessHistory[],
  history: ProtectionHistory,
): string[] {
  return history.limits.flatMap((limit) => {
    const { backendId, limitPerS, fromMs, untilMs } = limit;
    const times = processes.filter(({ id }) => id === backendId)
      .flatMap(({ runs }) => runs)
      .filter(({ id, atMs }) =>
        atMs > fromMs + STABLE_MS && atMs < untilMs &&
        !wasDisturbed(sent.get(id)?.ingress, fromMs, atMs, history)
      ).map(({ atMs }) => atMs);
    const counts = times.map((startMs) =>
      times.filter((atMs) =>
        atMs >= startMs && atMs < startMs + LIMIT_WINDOW_MS
      ).length
    );
    const most = Math.max(0, ...counts);
    const allowed = LIMIT_FACTOR * limitPerS * LIMIT_WINDOW_MS / 1_000 +
      LIMIT_SLACK;
    return most > allowed
      ? [
        `${backendId} got ${most} requests at a limit of ${limitPerS} a second`,
      ]
      : [];
  });
}

/** Whether a daemon stopped, started, stood still or was cut off meanwhile. */
function wasDisturbed(
  instance: string | undefined,
  fromMs: number,
  untilMs: number,
  history: ProtectionHistory,
): boolean {
  const { planned, impairments, graceMs } = history;
  return planned.some((work) =>
    work.kind === PlannedKind.Stop && work.instance === instance &&
    work.atMs < untilMs && work.atMs + graceMs + STABLE_MS > fromMs
  ) ||
    impairments.some((impairment) =>
      impairment.instance === instance && impairment.fromMs < untilMs &&
      impairment.untilMs + STABLE_MS > fromMs
    );
}
