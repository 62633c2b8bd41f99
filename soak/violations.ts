import type { BackendRun } from "../platform/fakes/backend.ts";

/** Time for which requests may arrive after an acknowledged drain, in ms. */
const DRAIN_GRACE_MS = 2_000;
/** Time for which a request may arrive after its caller disconnected, in ms. */
const DISCONNECT_GRACE_MS = 500;

/** A request and its result as the caller saw it. */
export interface SentRequest {
  readonly id: string;
  readonly path: string;
  readonly body: string;
  /** Headers other than those of all callers. */
  readonly headers: Readonly<Record<string, string>>;
  readonly isIdempotent: boolean;
  /** Name of the instance of the ingress daemon. */
  readonly ingress: string;
  /** Timeout that the caller announces, in ms. */
  readonly timeoutMs: number;
  /** Monotonic time at which the caller sent it. */
  sentAtMs: number;
  /** Monotonic time of the response, or of the end of the connection. */
  endedAtMs: number;
  /** Monotonic time of the caller's disconnect; infinite if there was none. */
  disconnectedAtMs: number;
  /** Monotonic times at which the ingress daemon was paused. */
  readonly ingressPausedAtMs: readonly number[];
  /** Status; 0 if the connection ended without a response. */
  status: number;
  answer: string;
  /** Retry-After value of the response, in s; 0 without one. */
  retryAfterS: number;
  /** Code of the error that ended the connection; empty if there was none. */
  error: string;
}

/** The requests that one process of a backend server ran. */
export interface BackendProcessHistory {
  readonly id: string;
  /** Name of the instance. */
  readonly instance: string;
  /** Version that it announces. */
  readonly version: string;
  readonly runs: readonly BackendRun[];
  /** Monotonic time at which its drain was acknowledged. */
  readonly drainedAtMs: number;
}

/** Statuses that guarantee that a request has not run. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([
  408,
  421,
  429,
  503,
]);

/**
 * Finds violations of the guarantees to callers and backend servers.
 *
 * @param sent Requests by id.
 * @param processes All processes of backend servers.
 * @returns One line for each violation.
 */
export function findViolations(
  sent: ReadonlyMap<string, SentRequest>,
  processes: readonly BackendProcessHistory[],
): string[] {
  const problems: string[] = [];
  const runsById = new Map<string, number>();
  for (const process of processes) {
    for (const run of process.runs) {
      runsById.set(run.id, (runsById.get(run.id) ?? 0) + 1);
      problems.push(...findRunViolations(run, process, sent.get(run.id)));
    }
  }
  for (const request of sent.values()) {
    const runs = runsById.get(request.id) ?? 0;
    if (!request.isIdempotent && runs > 1) {
      problems.push(`${request.id} ran ${runs} times`);
    }
    if (
      !request.isIdempotent && NOT_RUN_STATUSES.has(request.status) && runs > 0
    ) {
      problems.push(`${request.id} got ${request.status} and ran`);
    }
    if (request.status === 200 && !isOwnResponse(request, processes)) {
      problems.push(`${request.id} got "${request.answer}"`);
    }
  }
  return problems;
}

function findRunViolations(
  run: BackendRun,
  process: BackendProcessHistory,
  request: SentRequest | undefined,
): string[] {
  const problems: string[] = [];
  if (request === undefined) return [`${run.id} ran and nobody sent it`];
  if (run.path !== request.path || run.body !== request.body) {
    problems.push(`${run.id} ran changed: ${run.path} ${run.body}`);
  }
  if (run.caller !== "stock") problems.push(`${run.id} ran for ${run.caller}`);
  if (
    run.atMs > request.disconnectedAtMs + DISCONNECT_GRACE_MS &&
    !wasIngressPaused(request, run)
  ) {
    problems.push(
      `${run.id} reached ${process.id} after its caller had disconnected`,
    );
  }
  if (run.atMs > process.drainedAtMs + DRAIN_GRACE_MS) {
    problems.push(`${run.id} reached ${process.id} after its drain`);
  }
  return problems;
}

/**
 * Whether the ingress daemon was paused during the request: it cannot forward
 * the caller's disconnect then.
 */
function wasIngressPaused(request: SentRequest, run: BackendRun): boolean {
  return request.ingressPausedAtMs.some((pausedAtMs) =>
    pausedAtMs >= request.sentAtMs && pausedAtMs <= run.atMs
  );
}

function isOwnResponse(
  request: SentRequest,
  processes: readonly BackendProcessHistory[],
): boolean {
  return processes.some(({ id }) =>
    request.answer === `answer of ${id} to ${request.id}`
  );
}
