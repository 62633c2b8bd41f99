import type { BackendRun } from "../platform/fakes/backend.ts";

/** Time after an acknowledged drain from which nothing may arrive, in ms. */
const DRAIN_MS = 2_000;
/** Time after a caller has left from which its request may not arrive, in ms. */
const LEFT_MS = 500;

/** A request as its caller saw it. */
export interface SentRequest {
  readonly id: string;
  readonly path: string;
  readonly body: string;
  readonly isIdempotent: boolean;
  /** Name of the instance whose daemon took it. */
  readonly ingress: string;
  /** Time for which the caller says that it waits, in ms. */
  readonly timeoutMs: number;
  /** Monotonic time at which the caller sent it. */
  sentAtMs: number;
  /** Monotonic time of the answer, or of the end of its connection. */
  endedAtMs: number;
  /** Monotonic time at which the caller gave it up, if it did. */
  disconnectedAtMs: number;
  /** Monotonic times at which the daemon that took it was paused. */
  readonly ingressPausedAtMs: readonly number[];
  /** Status; 0 where the connection ended without an answer. */
  status: number;
  answer: string;
  /** Code of the error that ended its connection; empty without one. */
  error: string;
}

/** The runs at one life of a backend server. */
export interface BackendProcessHistory {
  readonly id: string;
  /** Name of the instance. */
  readonly instance: string;
  readonly runs: readonly BackendRun[];
  /** Monotonic time at which its drain was acknowledged. */
  readonly drainedAtMs: number;
}

/** Statuses that promise that a request has not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);

/**
 * Compares what callers and backend servers saw.
 *
 * @param sent Requests by id.
 * @param lives All lives of backend servers.
 * @returns One line for each broken promise.
 */
export function findViolations(
  sent: ReadonlyMap<string, SentRequest>,
  lives: readonly BackendProcessHistory[],
): string[] {
  const problems: string[] = [];
  const runsById = new Map<string, number>();
  for (const life of lives) {
    for (const run of life.runs) {
      runsById.set(run.id, (runsById.get(run.id) ?? 0) + 1);
      problems.push(...problemsOf(run, life, sent.get(run.id)));
    }
  }
  for (const request of sent.values()) {
    const runs = runsById.get(request.id) ?? 0;
    if (!request.isIdempotent && runs > 1) {
      problems.push(`${request.id} ran ${runs} times`);
    }
    if (!request.isIdempotent && NOT_RUN.has(request.status) && runs > 0) {
      problems.push(`${request.id} got ${request.status} and ran`);
    }
    if (request.status === 200 && !isOwnAnswer(request, lives)) {
      problems.push(`${request.id} got "${request.answer}"`);
    }
  }
  return problems;
}

function problemsOf(
  run: BackendRun,
  life: BackendProcessHistory,
  request: SentRequest | undefined,
): string[] {
  const problems: string[] = [];
  if (request === undefined) return [`${run.id} ran and nobody sent it`];
  if (run.path !== request.path || run.body !== request.body) {
    problems.push(`${run.id} ran changed: ${run.path} ${run.body}`);
  }
  if (run.caller !== "stock") problems.push(`${run.id} ran for ${run.caller}`);
  if (
    run.atMs > request.disconnectedAtMs + LEFT_MS && !isExcused(request, run)
  ) {
    problems.push(`${run.id} reached ${life.id} after its caller had left`);
  }
  if (run.atMs > life.drainedAtMs + DRAIN_MS) {
    problems.push(`${run.id} reached ${life.id} after its drain`);
  }
  return problems;
}

/** A daemon that is paused with a request in hand cannot pass the leaving on. */
function isExcused(request: SentRequest, run: BackendRun): boolean {
  return request.ingressPausedAtMs.some((pausedAtMs) =>
    pausedAtMs >= request.sentAtMs && pausedAtMs <= run.atMs
  );
}

function isOwnAnswer(
  request: SentRequest,
  lives: readonly BackendProcessHistory[],
): boolean {
  return lives.some(({ id }) =>
    request.answer === `answer of ${id} to ${request.id}`
  );
}
