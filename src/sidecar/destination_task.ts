import { type Announcement, RequestKind } from "../protocol/mesh.ts";
import type {
  CallOutcome,
  DestinationLoad,
  MeshCall,
} from "../protocol/mesh_call.ts";
import { MeshReason, notRunOutcome } from "../protocol/mesh_call.ts";
import {
  type StallDetector,
  waitForNextPoll,
} from "../transport/http/disconnect_detector.ts";
import {
  LifoConnectionPool,
  type PoolResult,
} from "../transport/http/lifo_connection_pool.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { LogRateLimiter } from "../transport/observe/log_rate_limiter.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import type { OwnBackend } from "../state/own_backend.ts";
import { type Dispatch, WorkQueue } from "../coordination/dispatch/mod.ts";
import { classifyAnswer, isOwnAnswer } from "./backend_answer.ts";
import type { EdgeHeaders } from "./ports.ts";

/** Weight of the newest outcome in the share of failures. */
const FAILURE_WEIGHT = 0.1;
/** Longest idle time of a connection for what may run once, in ms. */
const AT_MOST_ONCE_MAX_IDLE_MS = 3_000;
/** Most lines about calls whose callers left in a second. */
const MAX_CANCELLED_LINES_PER_S = 50;

/** A call that waits for a slot or runs. */
interface Job {
  readonly call: MeshCall;
  readonly route: string;
  readonly priority: number;
  readonly objectiveAtMs: number;
  readonly deadlineMs: number;
  readonly arrivedAtMs: number;
  readonly resolve: (outcome: CallOutcome) => void;
}

/** What ends the wait of a job for a slot. */
interface Wait {
  readonly signal: AbortSignal;
  readonly onAbort: () => void;
  readonly timer: NodeJS.Timeout;
}

/** What a destination needs besides its backend server. */
export interface DestinationOptions {
  readonly backend: OwnBackend;
  readonly headers: EdgeHeaders;
  readonly stalls: StallDetector;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
}

/**
 * The only way to the backend server beside this daemon, and the authority on
 * what it runs.
 *
 * @example
 * ```ts ignore
 * const outcome = await destination.execute(call, signal);
 * ```
 */
export class DestinationTask {
  readonly #backend: OwnBackend;
  readonly #headers: EdgeHeaders;
  readonly #stalls: StallDetector;
  readonly #log: EventLog;
  readonly #metrics: TextMetrics;
  readonly #queue = new WorkQueue<Job>(1);
  readonly #waits = new Map<Job, Wait>();
  readonly #cancelledLines: LogRateLimiter;
  #connections: LifoConnectionPool | undefined;
  #address = "";
  #failureShare = 0;

  /**
   * Creates a destination without a backend server.
   *
   * @param options Backend server, header names and log.
   */
  constructor(options: DestinationOptions) {
    this.#backend = options.backend;
    this.#headers = options.headers;
    this.#stalls = options.stalls;
    this.#log = options.log;
    this.#metrics = options.metrics;
    this.#cancelledLines = new LogRateLimiter(
      options.log,
      MAX_CANCELLED_LINES_PER_S,
    );
  }

  /**
   * Takes in a new life of the backend server.
   *
   * @param announcement Its announcement.
   */
  started(announcement: Announcement): void {
    this.#queue.slots = announcement.slots;
    this.#failureShare = 0;
    this.#connections?.close();
    this.#address = announcement.address;
    this.#connections = new LifoConnectionPool(this.#address);
  }

  /** Sends back what waits, as the backend server leaves. */
  drain(): void {
    for (const job of this.#queue.removeAll()) {
      this.#endWait(job);
      job.resolve(notRunOutcome(MeshReason.Leaving));
    }
  }

  /** Requests that wait or run. */
  get size(): number {
    return this.#queue.running + this.#queue.queued;
  }

  /**
   * Returns the load as a request of some priority meets it.
   *
   * @param call The request.
   * @returns The load.
   */
  loadFor(call: MeshCall): DestinationLoad {
    const nowMs = performance.now();
    return {
      running: this.#queue.running,
      queued: this.#queue.queued,
      limit: this.#queue.slots,
      waitMs: this.#queue.expectedWaitMs({
        route: call.route,
        priority: call.priority,
        objectiveAtMs: call.objectiveAtMs,
        deadlineMs: call.deadlineMs,
        arrivedAtMs: nowMs,
      }, nowMs),
      failureShare: this.#failureShare,
    };
  }

  /**
   * Runs a request on the backend server, once it has a slot.
   *
   * @param call The request.
   * @param signal Ends it, as the caller has gone.
   * @returns The outcome; never rejects.
   */
  execute(call: MeshCall, signal: AbortSignal): Promise<CallOutcome> {
    const refusal = this.#refusalOf(call, signal);
    if (refusal !== undefined) return Promise.resolve(refusal);
    return new Promise((resolve) => {
      const job = toJob(call, resolve);
      const offer = this.#queue.offer(job, performance.now());
      switch (offer.kind) {
        case "start":
          this.#run(job, signal);
          return;
        case "wait":
          this.#await(job, signal);
          return;
        case "refuse":
          resolve(notRunOutcome(MeshReason.Overloaded, offer.retryAfterMs));
      }
    });
  }

  #refusalOf(call: MeshCall, signal: AbortSignal): CallOutcome | undefined {
    if (signal.aborted) return notRunOutcome(MeshReason.Cancelled);
    const current = this.#backend.current;
    if (current === undefined) return notRunOutcome(MeshReason.NoBackend);
    if (current.id !== call.backendId || current.service !== call.service) {
      return notRunOutcome(MeshReason.Replaced);
    }
    if (this.#backend.ready === undefined) {
      return notRunOutcome(MeshReason.Leaving);
    }
    return undefined;
  }

  #await(job: Job, signal: AbortSignal): void {
    const onAbort = () => {
      if (!this.#queue.remove(job)) return;
      this.#endWait(job);
      this.#noteCancelled(job, undefined);
      job.resolve(notRunOutcome(MeshReason.Cancelled));
    };
    signal.addEventListener("abort", onAbort, { once: true });
    const untilMs = this.#queue.usefulUntilMs(job);
    const waitMs = Math.max(0, untilMs - performance.now());
    const timer = setTimeout(() => {
      if (!this.#queue.remove(job)) return;
      this.#endWait(job);
      job.resolve(notRunOutcome(MeshReason.Expired));
    }, waitMs);
    this.#waits.set(job, { signal, onAbort, timer });
  }

  /** A timer that stays wakes the process, and keeps the whole request. */
  #endWait(job: Job): AbortSignal {
    const { signal, onAbort, timer } = this.#waits.get(job)!;
    this.#waits.delete(job);
    clearTimeout(timer);
    signal.removeEventListener("abort", onAbort);
    return signal;
  }

  #apply(dispatch: Dispatch<Job>): void {
    for (const job of dispatch.expired) {
      this.#endWait(job);
      job.resolve(notRunOutcome(MeshReason.Expired));
    }
    for (const job of dispatch.started) this.#run(job, this.#endWait(job));
  }

  async #run(job: Job, signal: AbortSignal): Promise<void> {
    const startedAtMs = performance.now();
    this.#metrics.observe("queue_wait_ms", startedAtMs - job.arrivedAtMs);
    const outcome = await this.#send(job.call, signal, startedAtMs);
    const served = outcome.kind === "answered" && outcome.answer.status < 500;
    this.#queue.finish(job, served ? outcome.serviceMs : undefined);
    this.#observe(outcome, signal);
    if (signal.aborted) this.#noteCancelled(job, startedAtMs);
    const reason = outcome.kind === "answered" ? "" : outcome.reason;
    this.#metrics.count("backend_sends_total", {
      outcome: outcome.kind,
      reason,
    });
    job.resolve(outcome);
    this.#apply(this.#queue.dispatch(performance.now()));
  }

  async #send(
    call: MeshCall,
    signal: AbortSignal,
    startedAtMs: number,
  ): Promise<CallOutcome> {
    // A slot may have become free before the close of the caller was read.
    if (this.#stalls.hasStalled) await waitForNextPoll();
    if (signal.aborted) return notRunOutcome(MeshReason.Cancelled);
    const remainingMs = Math.floor(call.deadlineMs - performance.now());
    if (remainingMs < 1) return notRunOutcome(MeshReason.Expired);
    const isIdempotent = call.kind === RequestKind.Idempotent;
    const result = await this.#connections!.send({
      method: call.method,
      path: call.path,
      headers: this.#requestHeaders(call, remainingMs),
      body: call.body,
      accepts: (status, headers) =>
        isOwnAnswer({ call, status, headers, names: this.#headers }),
      ...(isIdempotent ? {} : { maxIdleMs: AT_MOST_ONCE_MAX_IDLE_MS }),
    }, signal);
    const outcome = classifyAnswer({
      call,
      result,
      names: this.#headers,
      serviceMs: performance.now() - startedAtMs,
    });
    this.#logAnswer(call, result, outcome);
    return outcome;
  }

  #requestHeaders(call: MeshCall, remainingMs: number): string[] {
    return [
      ...call.headers,
      this.#headers.timeoutMs,
      String(remainingMs),
      this.#headers.callerService,
      call.callerService,
      this.#headers.expectedBackend,
      call.backendId,
    ];
  }

  #logAnswer(
    call: MeshCall,
    result: PoolResult,
    outcome: CallOutcome,
  ): void {
    const { id } = call;
    if (result.kind === "failed") {
      this.#log.warn("backend-send-failed", {
        id,
        peer: this.#address,
        sent: result.sent,
        reason: result.message,
      });
    } else if (outcome.kind === "unknown") {
      this.#log.warn("backend-answer-malformed", {
        id,
        peer: this.#address,
        status: result.status,
      });
    }
  }

  /** `startedAtMs` is the time of its start; `undefined` where it waited. */
  #noteCancelled(job: Job, startedAtMs: number | undefined): void {
    const nowMs = performance.now();
    const phase = startedAtMs === undefined ? "waiting" : "running";
    this.#metrics.count("calls_cancelled_total", { phase });
    if (!this.#cancelledLines.allows(nowMs)) return;
    this.#log.info("call-cancelled", {
      id: job.call.id,
      phase,
      ageMs: Math.round(nowMs - job.arrivedAtMs),
      ranMs: startedAtMs && Math.round(nowMs - startedAtMs),
      leftMs: Math.round(job.deadlineMs - nowMs),
    });
  }

  #observe(outcome: CallOutcome, signal: AbortSignal): void {
    if (signal.aborted) return;
    const isFailure = outcome.kind !== "answered" ||
      outcome.answer.status >= 500;
    this.#failureShare += ((isFailure ? 1 : 0) - this.#failureShare) *
      FAILURE_WEIGHT;
  }
}

function toJob(call: MeshCall, resolve: (outcome: CallOutcome) => void): Job {
  return {
    call,
    route: call.route,
    priority: call.priority,
    objectiveAtMs: call.objectiveAtMs,
    deadlineMs: call.deadlineMs,
    arrivedAtMs: performance.now(),
    resolve,
  };
}
