import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type {
  Balancer,
  ChosenEndpoint,
} from "../coordination/routing/balancer.ts";
import type { Endpoint } from "../coordination/routing/endpoint.ts";
import type { Placement } from "../coordination/routing/placement.ts";
import type { LatencyTracker } from "../coordination/retry/latency_tracker.ts";
import { hedgeDelayMs } from "../coordination/retry/hedge_delay.ts";
import type { RetryBudget } from "../coordination/retry/retry_budget.ts";
import { decideRetry } from "../coordination/retry/decide_retry.ts";
import type { QuarantineList } from "../coordination/quarantine/quarantine_list.ts";
import type { AnswerHead, Call } from "../protocol/call.ts";
import { Delivery } from "../protocol/config_schema.ts";
import {
  notRun,
  Outcome,
  Reason,
  type Refusal,
  unknownOutcome,
} from "../protocol/outcome.ts";
import type { Random } from "../protocol/random.ts";
import type { StepError } from "../protocol/step_error.ts";
import type { ResolvedRoute } from "../state/config_snapshot.ts";
import type { DecisionLog } from "../state/decision_log.ts";
import { endToEndResponseHeaders } from "../transport/http/header_filter.ts";
import { refuseFurtherBytes } from "../transport/http/refuse_further_bytes.ts";
import type { RequestBody } from "../transport/http/request_body.ts";
import type { EventLog, LogFields } from "../transport/observe/event_log.ts";
import type { Metrics } from "../transport/observe/metrics.ts";
import type { ResponseWriter } from "./response_writer.ts";
import { monotonicMs } from "./clocks.ts";
import { crashIdOf } from "./destination.ts";
import type { ReachabilityChecker } from "./reachability_checker.ts";
import {
  type AttemptListener,
  type AttemptOptions,
  IngressAttempt,
} from "./ingress_attempt.ts";

/**
 * Time beyond the deadline for which a destination's response is awaited, in
 * ms: only the destination knows whether the request ran.
 */
const RESPONSE_GRACE_MS = 50;
/** Longest wait for a reachability probe if other endpoints are left, in ms. */
const MAX_PROBE_WAIT_MS = 250;

/** Dependencies that all ingress calls share. */
export interface IngressContext {
  readonly balancer: Balancer;
  readonly quarantine: QuarantineList;
  readonly random: Random;
  readonly log: EventLog;
  readonly decisions: DecisionLog;
  readonly metrics: Metrics;
  readonly attempts: AttemptOptions;
  readonly reachability: ReachabilityChecker;
}

/** Retry budget and latencies of a service, shared by all calls to it. */
export interface ServiceRetryState {
  readonly budget: RetryBudget;
  readonly latency: LatencyTracker;
}

/** A call that passed admission. */
export interface AcceptedCall {
  /** The fields that all attempts of the call have in common. */
  readonly template: Omit<Call, "id" | "body" | "isRedirectable">;
  readonly requestId: string;
  readonly route: ResolvedRoute;
  readonly body: RequestBody;
  readonly writer: ResponseWriter;
  readonly response: ServerResponse;
  readonly retryState: ServiceRetryState;
  readonly placement: Placement;
  readonly onFinished: () => void;
}

/**
 * A caller's call with all of its attempts.
 *
 * The first attempt that gets a backend server's response wins; the others are
 * cancelled.
 *
 * @example
 * ```ts ignore
 * new IngressCall(accepted, context).start();
 * ```
 */
export class IngressCall implements AttemptListener {
  readonly #accepted: AcceptedCall;
  readonly #context: IngressContext;
  readonly #startedAtMs = monotonicMs();
  readonly #inFlight = new Set<IngressAttempt>();
  #winner: IngressAttempt | undefined;
  /** The last attempt that is known not to have reached its destination. */
  #lostAttempt: IngressAttempt | undefined;
  #attemptCount = 0;
  #mayHaveRun = false;
  #isFinished = false;
  #deadlineTimer: NodeJS.Timeout | undefined;
  #hedgeTimer: NodeJS.Timeout | undefined;
  #retryTimer: NodeJS.Timeout | undefined;

  /**
   * Creates a call.
   *
   * @param accepted The call.
   * @param context Dependencies that all calls share.
   */
  constructor(accepted: AcceptedCall, context: IngressContext) {
    this.#accepted = accepted;
    this.#context = context;
  }

  /** Makes the first attempt. */
  start(): void {
    const { template, response, retryState } = this.#accepted;
    retryState.budget.recordRequest();
    const remainingMs = template.deadlineMs - monotonicMs() + RESPONSE_GRACE_MS;
    this.#deadlineTimer = setTimeout(() => this.#onDeadline(), remainingMs);
    response.once("close", () => this.#onCallerGone());
    this.#accepted.body.onGivenUp = (reason) => this.#onBodyGivenUp(reason);
    if (!this.#isFinished) this.#startAttempt();
  }

  onAttemptHead(attempt: IngressAttempt, head: AnswerHead): void {
    if (this.#winner !== undefined || this.#isFinished) return attempt.cancel();
    if (head.status >= 500 && this.#canTryElsewhere()) {
      attempt.cancel();
      return this.onAttemptRefused(attempt, SERVER_ERROR_REFUSAL);
    }
    this.#winner = attempt;
    clearTimeout(this.#hedgeTimer);
    for (const other of this.#inFlight) if (other !== attempt) other.cancel();
    this.#accepted.retryState.latency.record(monotonicMs() - this.#startedAtMs);
    if (head.status < 500) {
      this.#context.quarantine.recordSuccess(attempt.call.fingerprint);
    }
    this.#accepted.writer.writeHead({
      status: head.status,
      headers: endToEndResponseHeaders(head.headers),
    });
  }

  onAttemptData(attempt: IngressAttempt, chunk: Uint8Array): boolean {
    if (attempt !== this.#winner) return true;
    return this.#accepted.writer.writeData(chunk, () => attempt.resume());
  }

  onAttemptEnd(attempt: IngressAttempt): void {
    this.#inFlight.delete(attempt);
    if (attempt !== this.#winner) return;
    this.#accepted.writer.end();
    this.#finish(Outcome.Ran);
  }

  onAttemptTruncated(attempt: IngressAttempt, error: StepError): void {
    this.#inFlight.delete(attempt);
    if (attempt !== this.#winner) return;
    this.#note("answer-cut", { peer: error.peer, error: error.message });
    this.#accepted.writer.abort();
    this.#finish(Outcome.Unknown);
  }

  onAttemptRefused(attempt: IngressAttempt, refusal: Refusal): void {
    this.#inFlight.delete(attempt);
    if (refusal.outcome === Outcome.Unknown) {
      this.#mayHaveRun = true;
      if (isBackendFailure(refusal.reason)) this.#recordCrash(attempt);
    }
    this.#recordDecision("attempt-refused", {
      attempt: attempt.call.id,
      backend: attempt.endpoint.member.id,
      outcome: refusal.outcome,
      reason: refusal.reason,
    });
    if (this.#isFinished || this.#inFlight.size > 0) return;
    if (refusal.reason === Reason.Busy) return this.#redirect(attempt);
    this.#retryOrAnswer(refusal, attempt === this.#lostAttempt);
  }

  onEndpointEjected({ member }: Endpoint): void {
    this.#context.log.warn("backend-ejected", {
      backend: member.id,
      service: member.service,
      request: this.#accepted.requestId,
    });
  }

  onAttemptLost(attempt: IngressAttempt): void {
    this.#lostAttempt = attempt;
    this.#accepted.placement.recordUndelivered(attempt.endpoint.member.id);
  }

  /** Tries another endpoint; not counted as a retry, as nothing failed. */
  #redirect(attempt: IngressAttempt): void {
    this.#accepted.placement.recordRedirect(attempt.endpoint.member.id);
    this.#context.metrics.count("ingress.redirects");
    this.#startAttempt(notRun(Reason.Overloaded));
  }

  /** Counts the crash at once, before the destination's report arrives. */
  #recordCrash(attempt: IngressAttempt): void {
    const { member } = attempt.endpoint;
    this.#context.quarantine.recordCrashOf({
      id: crashIdOf(member.id, member.readyAtMs),
      service: member.service,
      fingerprint: attempt.call.fingerprint,
    }, monotonicMs());
  }

  #retryOrAnswer(refusal: Refusal, isLost: boolean): void {
    const { template, route, body, retryState } = this.#accepted;
    const { quarantine } = this.#context;
    if (quarantine.isQuarantined(template.fingerprint, monotonicMs())) {
      return this.#answer(refusal);
    }
    const decision = decideRetry({
      refusal,
      delivery: route.service.delivery,
      attempts: this.#attemptCount,
      retriesLeft: template.retries.left,
      isReplayable: body.isReplayable,
      remainingMs: template.deadlineMs - monotonicMs(),
    }, this.#context.random);
    switch (decision.kind) {
      case "answer":
        return this.#answer(refusal);
      case "retry":
        // A call that did not arrive put no load on a backend server, so its
        // retry is not charged to the budget.
        if (!isLost && !retryState.budget.trySpend()) {
          return this.#answer(refusal);
        }
        template.retries.left--;
        this.#retryTimer = setTimeout(
          () => this.#startAttempt(refusal),
          decision.backoffMs,
        );
        return;
    }
  }

  /** Makes an attempt, or answers with the fallback if no endpoint is left. */
  #startAttempt(fallback: Refusal = notRun(Reason.NoBackend)): void {
    if (this.#isFinished) return;
    const { placement, requestId } = this.#accepted;
    const { balancer, attempts, reachability } = this.#context;
    const nowMs = monotonicMs();
    balancer.recordLocalLoad(attempts.destination.admission.load, nowMs);
    const placed = placement.next(nowMs);
    if (placed === undefined) return this.#answer(fallback);
    const { endpoint, probeTarget: target } = placed;
    if (target === endpoint) return void this.#probeAndSend(placed);
    if (target !== undefined) void reachability.check(target, requestId);
    this.#send(placed, nowMs);
  }

  /** Sends the attempt if its endpoint is reachable, else tries another one. */
  async #probeAndSend(chosen: ChosenEndpoint): Promise<void> {
    const { placement, requestId } = this.#accepted;
    const { endpoint } = chosen;
    const startedAtMs = monotonicMs();
    const probe = this.#context.reachability.check(endpoint, requestId);
    const isReachable = placement.hasUntriedEndpoint(startedAtMs)
      ? await Promise.race([
        probe,
        sleep(MAX_PROBE_WAIT_MS, false, { ref: false }),
      ])
      : await probe;
    if (this.#isFinished) return;
    const nowMs = monotonicMs();
    if (isReachable) return this.#send(chosen, nowMs);
    endpoint.markPathSuspect();
    placement.recordUnansweredProbe();
    this.#note("reach-unknown", {
      backend: endpoint.member.id,
      waitedMs: Math.round(nowMs - startedAtMs),
    });
    this.#startAttempt(notRun(Reason.PeerFailed));
  }

  #send(chosen: ChosenEndpoint, nowMs: number): void {
    const { template, route } = this.#accepted;
    const { attempts } = this.#context;
    const { endpoint } = chosen;
    this.#attemptCount++;
    const attempt = new IngressAttempt(this.#createCall(nowMs), chosen, {
      events: this,
      options: attempts,
      failuresToEject: route.service.health.failuresToEject,
    });
    this.#note("route", {
      route: route.name,
      service: route.serviceName,
      caller: template.caller,
      rank: template.rank,
      attempt: this.#attemptCount,
      backend: endpoint.member.id,
      choice: chosen.choice,
    });
    this.#inFlight.add(attempt);
    attempt.send();
    const { latency } = this.#accepted.retryState;
    this.#scheduleHedge(hedgeDelayMs(template.rank, latency));
  }

  /** Lists the fields one by one: object spread costs 18 µs per call. */
  #createCall(nowMs: number): Call {
    const { template, requestId, body, placement } = this.#accepted;
    return {
      id: `${requestId}.${this.#attemptCount}`,
      service: template.service,
      rank: template.rank,
      caller: template.caller,
      method: template.method,
      path: template.path,
      headers: template.headers,
      body: body.open(),
      deadlineMs: template.deadlineMs,
      depth: template.depth,
      fingerprint: template.fingerprint,
      contentDigest: template.contentDigest,
      idempotencyKey: template.idempotencyKey,
      isRedirectable: body.buffered !== undefined &&
        this.#inFlight.size === 0 &&
        placement.canBeRedirected(nowMs),
      retries: template.retries,
    };
  }

  #scheduleHedge(delayMs: number): void {
    if (this.#isFinished || this.#winner !== undefined) return;
    clearTimeout(this.#hedgeTimer);
    this.#hedgeTimer = setTimeout(() => {
      this.#onHedgeDelay();
      this.#scheduleHedge(delayMs * 2);
    }, delayMs);
  }

  /** Hedges a slow call, or checks whether its attempts arrived. */
  #onHedgeDelay(): void {
    if (this.#isFinished || this.#winner !== undefined) return;
    const { template, retryState } = this.#accepted;
    // A request that was running during a crash may have caused it, so it is
    // not sent to two backend servers at the same time.
    const isSuspect = this.#context.quarantine
      .isSuspect(template.fingerprint, monotonicMs());
    const canHedge = !isSuspect && this.#inFlight.size === 1 &&
      this.#canTryElsewhere();
    if (canHedge && retryState.budget.trySpend()) {
      template.retries.left--;
      this.#context.metrics.count("ingress.hedges");
      return this.#startAttempt();
    }
    for (const attempt of this.#inFlight) void attempt.checkArrival();
  }

  /** Whether the request may run again and an untried endpoint is left. */
  #canTryElsewhere(): boolean {
    const { route, body, template, placement } = this.#accepted;
    const isRepeatable = route.service.delivery === Delivery.Idempotent &&
      body.buffered !== undefined && template.retries.left > 0;
    return isRepeatable && placement.hasUntriedEndpoint(monotonicMs());
  }

  #onDeadline(): void {
    if (this.#winner !== undefined) {
      // Normally the destination has aborted the response by then.
      this.#winner.cancel();
      this.#accepted.writer.abort();
      return this.#finish(Outcome.Unknown);
    }
    const isInFlight = this.#inFlight.size > 0;
    for (const attempt of this.#inFlight) attempt.cancel();
    this.#answer(
      isInFlight
        ? unknownOutcome(Reason.DeadlineExceeded)
        : notRun(Reason.DeadlineExceeded),
    );
  }

  /** A caller that sends nothing must not keep a slot of a backend server. */
  #onBodyGivenUp(reason: Reason): void {
    if (this.#isFinished) return;
    const { response, writer } = this.#accepted;
    if (this.#winner !== undefined) {
      this.#winner.cancel();
      writer.abort();
      return this.#finish(Outcome.Unknown);
    }
    for (const attempt of this.#inFlight) attempt.cancel();
    refuseFurtherBytes(response.req, response);
    this.#answer(
      this.#attemptCount === 0 ? notRun(reason) : unknownOutcome(reason),
    );
  }

  #onCallerGone(): void {
    if (this.#isFinished) return;
    for (const attempt of this.#inFlight) attempt.cancel();
    this.#note("caller-gone", {});
    this.#finish(Outcome.Unknown);
  }

  /**
   * Answers the caller; the outcome is unknown if an earlier attempt may have
   * run.
   */
  #answer(refusal: Refusal): void {
    if (this.#isFinished) return;
    const finalRefusal = this.#mayHaveRun && refusal.outcome === Outcome.NotRun
      ? unknownOutcome(refusal.reason)
      : refusal;
    this.#note("answer", {
      outcome: finalRefusal.outcome,
      reason: finalRefusal.reason,
    });
    this.#accepted.writer.refuse({ ...finalRefusal, isRetryable: false });
    this.#finish(finalRefusal.outcome);
  }

  #finish(outcome: Outcome): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#hedgeTimer);
    clearTimeout(this.#retryTimer);
    const { template, onFinished } = this.#accepted;
    this.#context.metrics.timing(
      "ingress.latency",
      monotonicMs() - this.#startedAtMs,
      [`service:${template.service}`, `outcome:${outcome}`],
    );
    onFinished();
  }

  #note(event: string, fields: LogFields): void {
    const line = { request: this.#accepted.requestId, ...fields };
    this.#context.log.info(event, line);
    this.#recordDecision(event, fields);
  }

  #recordDecision(event: string, fields: LogFields): void {
    const { requestId } = this.#accepted;
    const atMs = Date.now();
    this.#context.decisions.add(requestId, { atMs, event, fields });
  }
}

/** A server error for an idempotent request, which may be retried elsewhere. */
const SERVER_ERROR_REFUSAL: Refusal = {
  outcome: Outcome.Unknown,
  reason: Reason.ServerError,
  isRetryable: true,
};

/** A broken connection counts as a crash, since a crash may have caused it. */
function isBackendFailure(reason: Reason): boolean {
  return reason === Reason.BackendCrashed || reason === Reason.BackendFailed;
}
