import type { CancelSignal } from "../protocol/cancellation.ts";
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
import { messageOf } from "../protocol/step_error.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { LogRateLimiter } from "../transport/observe/log_rate_limiter.ts";
import type { TextMetrics } from "../transport/observe/text_metrics.ts";
import type { LocalBackend } from "../state/local_backend.ts";
import { Verdict } from "../coordination/quarantine/suspect_list.ts";
import {
  type DispatchResult,
  MomentaryPace,
  type WorkItem,
  WorkQueue,
} from "../coordination/dispatch/mod.ts";
import {
  classifyResponse,
  isMatchingResponse,
  readLimit,
  readPace,
  saysLeaving,
} from "./backend_response.ts";
import { type BackendEnd, BackendEndDetector } from "./backend_end_detector.ts";
import type { EdgeHeaders } from "./ports.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";

/** Weight of the newest outcome in the moving average of failures. */
const FAILURE_WEIGHT = 0.1;
/**
 * Time after its deadline at which a running request is given up, in ms. The
 * daemon that sent it cancels it before, unless its messages are lost.
 */
const RUN_MARGIN_MS = 300;
/** Longest idle time of a connection for an at-most-once request, in ms. */
const AT_MOST_ONCE_MAX_IDLE_MS = 3_000;
/** Most log lines about the limit of the backend server in a second. */
const MAX_LIMIT_LINES_PER_S = 2;
/** Retry-After value for a suspect while another one is running, in ms. */
const ISOLATION_RETRY_AFTER_MS = 150;
/** Most log lines about cancelled calls in a second. */
const MAX_CANCELLED_LINES_PER_S = 50;

/** A call that waits for a slot or runs. */
interface Job extends WorkItem {
  readonly call: MeshCall;
  readonly resolve: (outcome: CallOutcome) => void;
}

/** Cancellation and timeout of a job that waits for a slot. */
interface QueueWait {
  readonly signal: CancelSignal;
  readonly onAbort: () => void;
  readonly timer: NodeJS.Timeout;
}

/** Options of a {@linkcode BackendDispatcher}. */
export interface BackendDispatcherOptions {
  readonly backend: LocalBackend;
  readonly headers: EdgeHeaders;
  readonly quarantine: RequestQuarantine;
  readonly stalls: StallDetector;
  readonly log: EventLog;
  readonly metrics: TextMetrics;
  /** Called with the id of a backend process whose response says it leaves. */
  readonly onLeaving: (backendId: string) => void;
  /** Whether requests may use the version of the backend server. */
  readonly admits?: () => boolean;
}

/**
 * Queues requests for the local backend server and runs them in its slots.
 *
 * All requests to this backend server pass through this queue, so its daemon
 * knows for certain what the backend server runs.
 *
 * @example
 * ```ts ignore
 * const outcome = await dispatcher.execute(call, signal);
 * ```
 */
export class BackendDispatcher {
  readonly #backend: LocalBackend;
  readonly #headers: EdgeHeaders;
  readonly #stalls: StallDetector;
  readonly #log: EventLog;
  readonly #metrics: TextMetrics;
  readonly #queue = new WorkQueue<Job>(1);
  readonly #waits = new Map<Job, QueueWait>();
  readonly #cancelledLines: LogRateLimiter;
  #connections: LifoConnectionPool | undefined;
  #address = "";
  #failureShare = 0;
  readonly #pace = new MomentaryPace();
  readonly #onLeaving: BackendDispatcherOptions["onLeaving"];
  readonly #admits: BackendDispatcherOptions["admits"];
  readonly #limitLines: LogRateLimiter;
  readonly #ends: BackendEndDetector;
  readonly #quarantine: RequestQuarantine;
  /** The suspect that waits or runs, if any. */
  #isolatedCall: MeshCall | undefined;
  /** When calls without a result were sent to a backend process. */
  readonly #exchanges = new Map<MeshCall, number>();
  /** Monotonic time of the newest response with a limit. */
  #limitNamedAtMs = -Infinity;
  /** Whether this process of the backend server has responded. */
  #hasResponse = false;
  #startTimer: NodeJS.Timeout | undefined;

  /**
   * Creates a dispatcher without a backend server.
   *
   * @param options Backend server, header names and log.
   */
  constructor(options: BackendDispatcherOptions) {
    this.#backend = options.backend;
    this.#headers = options.headers;
    this.#stalls = options.stalls;
    this.#log = options.log;
    this.#metrics = options.metrics;
    this.#onLeaving = options.onLeaving;
    this.#admits = options.admits;
    this.#limitLines = new LogRateLimiter(options.log, MAX_LIMIT_LINES_PER_S);
    this.#quarantine = options.quarantine;
    this.#ends = new BackendEndDetector({
      backend: options.backend,
      hasOpenExchange: (backendId, beforeMs) =>
        [...this.#exchanges].some(([call, sentAtMs]) =>
          call.backendId === backendId && sentAtMs < beforeMs
        ),
      onEnd: (end) => this.#recordEnd(end),
    });
    this.#cancelledLines = new LogRateLimiter(
      options.log,
      MAX_CANCELLED_LINES_PER_S,
    );
  }

  /**
   * Connects to a new process of the backend server.
   *
   * @param announcement The announcement of the process.
   */
  connect(announcement: Announcement): void {
    this.#queue.slots = announcement.slots;
    this.#failureShare = 0;
    this.#hasResponse = false;
    this.#ends.recordReplacement();
    this.#connections?.close();
    this.#address = announcement.address;
    this.#connections = new LifoConnectionPool(this.#address);
    this.#setLimit(undefined, performance.now());
  }

  /** Rejects all queued requests, since the backend server leaves. */
  rejectQueued(): void {
    this.#ends.forget();
    for (const job of this.#queue.removeAll()) {
      this.#stopWaiting(job);
      job.resolve(notRunOutcome(MeshReason.Leaving));
    }
  }

  /** Number of requests that run on the backend server. */
  get runningRequests(): number {
    return this.#queue.running;
  }

  /** Number of requests that wait or run. */
  get openRequests(): number {
    return this.#queue.running + this.#queue.queued;
  }

  /**
   * Returns the load, with the expected wait of a request like the given one
   * of an organisation without work: the report is used for all organisations.
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
        isSubcall: call.isSubcall,
      }, nowMs),
      failureShare: this.#failureShare,
      pace: this.#pace.valueAt(nowMs),
      limitPerS: this.#queue.starts.startsPerS,
    };
  }

  /**
   * Runs a request on the backend server as soon as a slot is free.
   *
   * @param call The request.
   * @param signal Aborts the request if its caller has left.
   * @returns The outcome; never rejects.
   */
  execute(call: MeshCall, signal: CancelSignal): Promise<CallOutcome> {
    const refusal = this.#findRefusal(call, signal) ??
      this.#findQuarantine(call);
    if (refusal !== undefined) return Promise.resolve(refusal);
    if (this.#quarantine.judge(call) === undefined) {
      return this.#enqueue(call, signal);
    }
    if (this.#isolatedCall !== undefined) {
      return Promise.resolve(
        notRunOutcome(MeshReason.Isolated, ISOLATION_RETRY_AFTER_MS),
      );
    }
    this.#isolatedCall = call;
    return this.#enqueue(call, signal).finally(() =>
      this.#isolatedCall = undefined
    );
  }

  #enqueue(call: MeshCall, signal: CancelSignal): Promise<CallOutcome> {
    // An earlier process of this daemon has passed the limit on.
    if (!this.#hasResponse && call.namedLimitPerS !== undefined) {
      this.#setLimit(call.namedLimitPerS, performance.now());
    }
    return new Promise((resolve) => {
      const job = toJob(call, resolve);
      const offer = this.#queue.offer(job, performance.now());
      switch (offer.kind) {
        case "start":
          this.#run(job, signal);
          return;
        case "wait":
          this.#awaitSlot(job, signal);
          return;
        case "displace":
          this.#refuseDisplaced(offer.displaced, offer.retryAfterMs);
          this.#awaitSlot(job, signal);
          return;
        case "refuse":
          resolve(notRunOutcome(MeshReason.Overloaded, offer.retryAfterMs));
      }
    });
  }

  #refuseDisplaced(displaced: readonly Job[], retryAfterMs: number): void {
    this.#metrics.count("calls_displaced_total", {}, displaced.length);
    for (const job of displaced) {
      this.#stopWaiting(job);
      job.resolve(notRunOutcome(MeshReason.Overloaded, retryAfterMs));
    }
  }

  #findRefusal(call: MeshCall, signal: CancelSignal): CallOutcome | undefined {
    if (signal.aborted) return notRunOutcome(MeshReason.Cancelled);
    const current = this.#backend.current;
    if (current === undefined) return notRunOutcome(MeshReason.NoBackend);
    if (current.id !== call.backendId || current.service !== call.service) {
      return notRunOutcome(MeshReason.Replaced);
    }
    const isLeaving = this.#backend.ready === undefined ||
      this.#admits?.() === false;
    return isLeaving ? notRunOutcome(MeshReason.Leaving) : undefined;
  }

  #findQuarantine(call: MeshCall): CallOutcome | undefined {
    const judgement = this.#quarantine.judge(call);
    return judgement?.verdict === Verdict.Quarantined
      ? notRunOutcome(MeshReason.Quarantined, judgement.remainingMs)
      : undefined;
  }

  #awaitSlot(job: Job, signal: CancelSignal): void {
    const onAbort = () => {
      if (!this.#queue.remove(job)) return;
      this.#stopWaiting(job);
      this.#recordCancelled(job, undefined);
      job.resolve(notRunOutcome(MeshReason.Cancelled));
    };
    signal.addEventListener("abort", onAbort, { once: true });
    const latestStartMs = this.#queue.effectiveDeadlineMs(job);
    const waitMs = Math.max(0, latestStartMs - performance.now());
    const timer = setTimeout(() => {
      if (!this.#queue.remove(job)) return;
      this.#stopWaiting(job);
      job.resolve(notRunOutcome(MeshReason.Expired));
    }, waitMs);
    this.#waits.set(job, { signal, onAbort, timer });
    this.#scheduleStart();
  }

  /** Wakes up for requests that only the limit on starts keeps waiting. */
  #scheduleStart(): void {
    const delayMs = this.#queue.nextStartMs(performance.now());
    if (delayMs === undefined || this.#startTimer !== undefined) return;
    this.#startTimer = setTimeout(() => {
      this.#startTimer = undefined;
      this.#applyDispatch(this.#queue.dispatch(performance.now()));
    }, Math.ceil(delayMs));
  }

  /** Clears the timer, which would wake the process and retain the request. */
  #stopWaiting(job: Job): CancelSignal {
    const { signal, onAbort, timer } = this.#waits.get(job)!;
    this.#waits.delete(job);
    clearTimeout(timer);
    signal.removeEventListener("abort", onAbort);
    return signal;
  }

  #applyDispatch(dispatch: DispatchResult<Job>): void {
    for (const job of dispatch.expired) {
      this.#stopWaiting(job);
      job.resolve(notRunOutcome(MeshReason.Expired));
    }
    for (const job of dispatch.started) this.#run(job, this.#stopWaiting(job));
    this.#scheduleStart();
  }

  async #run(job: Job, signal: CancelSignal): Promise<void> {
    const startedAtMs = performance.now();
    this.#metrics.observe("queue_wait_ms", startedAtMs - job.arrivedAtMs);
    const outcome = await this.#send(job.call, signal, startedAtMs)
      .catch((error: unknown): CallOutcome => {
        this.#exchanges.delete(job.call);
        this.#log.error("backend-send-failed", {
          id: job.call.id,
          peer: this.#address,
          reason: messageOf(error),
        });
        return { kind: "unknown", reason: MeshReason.Other };
      });
    const isServed = outcome.kind === "answered" && outcome.answer.status < 500;
    this.#queue.finish(job, isServed ? outcome.serviceMs : undefined);
    this.#updateFailureShare(outcome, signal);
    if (signal.aborted) this.#recordCancelled(job, startedAtMs);
    const reason = outcome.kind === "answered" ? "" : outcome.reason;
    this.#metrics.count("backend_sends_total", {
      outcome: outcome.kind,
      reason,
    });
    job.resolve(outcome);
    this.#applyDispatch(this.#queue.dispatch(performance.now()));
  }

  async #send(
    call: MeshCall,
    signal: CancelSignal,
    startedAtMs: number,
  ): Promise<CallOutcome> {
    // The caller's disconnect may still be unread as a slot becomes free.
    if (this.#stalls.hasStalled) await waitForNextPoll();
    if (signal.aborted) return notRunOutcome(MeshReason.Cancelled);
    const remainingMs = Math.floor(call.deadlineMs - performance.now());
    if (remainingMs < 1) return notRunOutcome(MeshReason.Expired);
    // The verdict may have come while the call was waiting.
    const refusal = this.#findQuarantine(call);
    if (refusal !== undefined) return refusal;
    const isIdempotent = call.kind === RequestKind.Idempotent;
    this.#exchanges.set(call, performance.now());
    const result = await this.#connections!.send({
      method: call.method,
      path: call.path,
      headers: this.#buildHeaders(call, remainingMs),
      body: call.body,
      deadlineMs: call.deadlineMs + RUN_MARGIN_MS,
      accepts: (head) =>
        isMatchingResponse({ ...head, call, headerNames: this.#headers }),
      ...(isIdempotent ? {} : { maxIdleMs: AT_MOST_ONCE_MAX_IDLE_MS }),
    }, signal);
    this.#exchanges.delete(call);
    const isBroken = result.kind === "failed" && result.sent &&
      !result.hasExpired && !signal.aborted;
    const hasEnded = isBroken && await this.#ends.recordBreak(call);
    if (result.kind === "answer") this.#recordPace(result.headers);
    const outcome = classifyResponse({
      call,
      result,
      headerNames: this.#headers,
      serviceMs: performance.now() - startedAtMs,
    });
    if (result.kind === "answer") {
      this.#recordLimit(result.headers, outcome, startedAtMs);
      const isLeaving = outcome.kind === "answered" &&
        saysLeaving(result.headers, this.#headers.leaving);
      if (isLeaving) this.#onLeaving(call.backendId);
    }
    if (outcome.kind === "answered") this.#quarantine.recordServed(call);
    this.#logFailure(call, result, outcome);
    return hasEnded ? { kind: "unknown", reason: MeshReason.Ended } : outcome;
  }

  #recordEnd(end: BackendEnd): void {
    const { backendId, proof, calls } = end;
    this.#metrics.count("backend_ends_total", { proof });
    this.#log.warn("backend-ended", {
      backend: backendId,
      end: end.id,
      proof,
      running: calls.length,
    });
    this.#quarantine.recordEnd(end);
  }

  #recordPace(headers: readonly string[]): void {
    const pace = readPace(headers, this.#headers.load);
    if (pace !== undefined) this.#pace.record(pace, performance.now());
  }

  /**
   * Takes over the limit that a response names. One that names none lifts it,
   * unless its request was sent before the limit was named.
   */
  #recordLimit(
    headers: readonly string[],
    outcome: CallOutcome,
    sentAtMs: number,
  ): void {
    if (outcome.kind === "unknown") return;
    const nowMs = performance.now();
    const named = readLimit(headers, this.#headers.limitPerS);
    switch (named.kind) {
      case "limited":
        this.#hasResponse = true;
        this.#limitNamedAtMs = nowMs;
        this.#setLimit(named.limitPerS, nowMs);
        return;
      case "unlimited":
        // A rejection may come from another process at the address.
        if (outcome.kind !== "answered") return;
        this.#hasResponse = true;
        if (sentAtMs > this.#limitNamedAtMs) this.#setLimit(undefined, nowMs);
        return;
      case "unreadable":
        if (!this.#limitLines.allows(nowMs)) return;
        this.#log.warn("backend-limit-unreadable", {
          peer: this.#address,
          value: named.value,
        });
    }
  }

  #setLimit(limitPerS: number | undefined, nowMs: number): void {
    const { starts } = this.#queue;
    const former = starts.startsPerS;
    if (limitPerS === former) return;
    starts.setRate(limitPerS, nowMs);
    this.#applyDispatch(this.#queue.dispatch(nowMs));
    if (!this.#limitLines.allows(nowMs)) return;
    this.#log.info("backend-limited", {
      peer: this.#address,
      limitPerS,
      former,
    });
  }

  #buildHeaders(call: MeshCall, remainingMs: number): string[] {
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

  #logFailure(
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

  /** `startedAtMs` is `undefined` if the job was still waiting for a slot. */
  #recordCancelled(job: Job, startedAtMs: number | undefined): void {
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

  #updateFailureShare(outcome: CallOutcome, signal: CancelSignal): void {
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
    organisation: call.organisation,
    organisationPriority: call.organisationPriority,
    isSubcall: call.isSubcall,
    resolve,
  };
}
