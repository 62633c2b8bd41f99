import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Balancer, Chosen } from "../coordination/routing/balancer.ts";
import type { Endpoint } from "../coordination/routing/endpoint.ts";
import type { Placement } from "../coordination/routing/placement.ts";
import type { LatencyTracker } from "../coordination/retry/latency_tracker.ts";
import { patienceMs } from "../coordination/retry/patience.ts";
import type { RetryBudget } from "../coordination/retry/retry_budget.ts";
import { decideRetry } from "../coordination/retry/retry_policy.ts";
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
import type { RequestBody } from "../transport/http/request_body.ts";
import type { EventLog, LogFields } from "../transport/observe/event_log.ts";
import type { Metrics } from "../transport/observe/metrics.ts";
import type { AnswerWriter } from "./answer_writer.ts";
import { monotonicMs } from "./clocks.ts";
import { crashIdOf } from "./destination.ts";
import type { ReachInquiries } from "./reach_inquiries.ts";
import {
  type AttemptEvents,
  type AttemptOptions,
  IngressAttempt,
} from "./ingress_attempt.ts";

/** Time that destinations get beyond the deadline to answer precisely, in ms. */
const ANSWER_GRACE_MS = 50;
/** Longest wait for a question while other endpoints are left, in ms. */
const QUESTION_PATIENCE_MS = 250;

/** What ingress calls share. */
export interface IngressContext {
  readonly balancer: Balancer;
  readonly quarantine: QuarantineList;
  readonly random: Random;
  readonly log: EventLog;
  readonly decisions: DecisionLog;
  readonly metrics: Metrics;
  readonly attempts: AttemptOptions;
  readonly inquiries: ReachInquiries;
}

/** Evidence of a service that its calls share. */
export interface ServiceEvidence {
  readonly budget: RetryBudget;
  readonly latency: LatencyTracker;
}

/** What is known of a call that was let in. */
export interface AcceptedCall {
  /** The call without its attempt's id and body. */
  readonly template: Omit<Call, "id" | "body" | "isRedirectable">;
  readonly requestId: string;
  readonly route: ResolvedRoute;
  readonly body: RequestBody;
  readonly writer: AnswerWriter;
  readonly response: ServerResponse;
  readonly evidence: ServiceEvidence;
  readonly placement: Placement;
  readonly onOver: () => void;
}

/**
 * One caller's call, over all its attempts.
 *
 * The first attempt that gets a backend server's answer wins and the others
 * are cancelled.
 *
 * @example
 * ```ts ignore
 * new IngressCall(accepted, context).start();
 * ```
 */
export class IngressCall implements AttemptEvents {
  readonly #accepted: AcceptedCall;
  readonly #context: IngressContext;
  readonly #startedAtMs = monotonicMs();
  readonly #live = new Set<IngressAttempt>();
  #winner: IngressAttempt | undefined;
  /** The attempt that is known not to have arrived. */
  #lost: IngressAttempt | undefined;
  #attempts = 0;
  #mayHaveRun = false;
  #isOver = false;
  #deadline: NodeJS.Timeout | undefined;
  #patience: NodeJS.Timeout | undefined;
  #pause: NodeJS.Timeout | undefined;

  /**
   * Creates a call.
   *
   * @param accepted The call.
   * @param context What all calls share.
   */
  constructor(accepted: AcceptedCall, context: IngressContext) {
    this.#accepted = accepted;
    this.#context = context;
  }

  /** Makes the first attempt. */
  start(): void {
    const { template, response, evidence } = this.#accepted;
    evidence.budget.earn();
    const leftMs = template.deadlineMs - monotonicMs() + ANSWER_GRACE_MS;
    this.#deadline = setTimeout(() => this.#onDeadline(), leftMs);
    response.once("close", () => this.#onClosed());
    this.#attempt();
  }

  onAttemptHead(attempt: IngressAttempt, head: AnswerHead): void {
    if (this.#winner !== undefined || this.#isOver) return attempt.cancel();
    if (head.status >= 500 && this.#mayTryElsewhere()) {
      attempt.cancel();
      return this.onAttemptRefused(attempt, SERVER_ERROR);
    }
    this.#winner = attempt;
    clearTimeout(this.#patience);
    for (const other of this.#live) if (other !== attempt) other.cancel();
    this.#accepted.evidence.latency.record(monotonicMs() - this.#startedAtMs);
    if (head.status < 500) {
      this.#context.quarantine.served(attempt.call.fingerprint);
    }
    this.#accepted.writer.head({
      status: head.status,
      headers: endToEndResponseHeaders(head.headers),
    });
  }

  onAttemptData(attempt: IngressAttempt, chunk: Uint8Array): boolean {
    if (attempt !== this.#winner) return true;
    return this.#accepted.writer.data(chunk, () => attempt.resume());
  }

  onAttemptEnd(attempt: IngressAttempt): void {
    this.#live.delete(attempt);
    if (attempt !== this.#winner) return;
    this.#accepted.writer.end();
    this.#over(Outcome.Ran);
  }

  onAttemptCut(attempt: IngressAttempt, error: StepError): void {
    this.#live.delete(attempt);
    if (attempt !== this.#winner) return;
    this.#note("answer-cut", { peer: error.peer, error: error.message });
    this.#accepted.writer.cut();
    this.#over(Outcome.Unknown);
  }

  onAttemptRefused(attempt: IngressAttempt, refusal: Refusal): void {
    this.#live.delete(attempt);
    if (refusal.outcome === Outcome.Unknown) {
      this.#mayHaveRun = true;
      if (isBackendBroken(refusal.reason)) this.#noteCrash(attempt);
    }
    this.#remember("attempt-refused", {
      attempt: attempt.call.id,
      backend: attempt.endpoint.member.id,
      outcome: refusal.outcome,
      reason: refusal.reason,
    });
    if (this.#isOver || this.#live.size > 0) return;
    if (refusal.reason === Reason.Busy) return this.#redirect(attempt);
    this.#retryOrAnswer(refusal, attempt === this.#lost);
  }

  onEndpointEjected({ member }: Endpoint): void {
    this.#context.log.warn("backend-ejected", {
      backend: member.id,
      service: member.service,
      request: this.#accepted.requestId,
    });
  }

  onAttemptLost(attempt: IngressAttempt): void {
    this.#lost = attempt;
    this.#accepted.placement.unreached(attempt.endpoint.member.id);
  }

  /** Goes on to another endpoint; this is no retry, as nothing failed. */
  #redirect(attempt: IngressAttempt): void {
    this.#accepted.placement.redirected(attempt.endpoint.member.id);
    this.#context.metrics.count("ingress.redirects");
    this.#attempt(notRun(Reason.Overloaded));
  }

  /** Counts the crash here at once, ahead of the destination's news. */
  #noteCrash(attempt: IngressAttempt): void {
    const { member } = attempt.endpoint;
    this.#context.quarantine.crashed({
      id: crashIdOf(member.id, member.readyAtMs),
      service: member.service,
      fingerprints: [attempt.call.fingerprint],
    }, monotonicMs());
  }

  #retryOrAnswer(refusal: Refusal, isLost: boolean): void {
    const { template, route, body, evidence } = this.#accepted;
    const { quarantine } = this.#context;
    if (quarantine.isRefused(template.fingerprint, monotonicMs())) {
      return this.#answer(refusal);
    }
    const decision = decideRetry({
      refusal,
      delivery: route.service.delivery,
      attempts: this.#attempts,
      retriesLeft: template.retries.left,
      replayable: body.isReplayable,
      remainingMs: template.deadlineMs - monotonicMs(),
    }, this.#context.random);
    switch (decision.kind) {
      case "answer":
        return this.#answer(refusal);
      case "retry":
        // What did not arrive was no work for a backend server.
        if (!isLost && !evidence.budget.trySpend()) {
          return this.#answer(refusal);
        }
        template.retries.left--;
        this.#pause = setTimeout(
          () => this.#attempt(refusal),
          decision.pauseMs,
        );
        return;
    }
  }

  /** Makes an attempt, or gives the answer that stands where none is left. */
  #attempt(standing: Refusal = notRun(Reason.NoBackend)): void {
    if (this.#isOver) return;
    const { placement, requestId } = this.#accepted;
    const { balancer, attempts, inquiries } = this.#context;
    const nowMs = monotonicMs();
    balancer.reportOwn(attempts.destination.admission.load, nowMs);
    const placed = placement.next(nowMs);
    if (placed === undefined) return this.#answer(standing);
    const { endpoint, asked } = placed;
    if (asked === endpoint) return void this.#ask(placed);
    if (asked !== undefined) void inquiries.ask(asked, requestId);
    this.#send(placed, nowMs);
  }

  /** Makes an attempt once its endpoint is known to be in reach, or another. */
  async #ask(chosen: Chosen): Promise<void> {
    const { placement, requestId } = this.#accepted;
    const { endpoint } = chosen;
    const askedAtMs = monotonicMs();
    const answer = this.#context.inquiries.ask(endpoint, requestId);
    const isInReach = placement.isElsewhereLeft(askedAtMs)
      ? await Promise.race([
        answer,
        sleep(QUESTION_PATIENCE_MS, false, { ref: false }),
      ])
      : await answer;
    if (this.#isOver) return;
    const nowMs = monotonicMs();
    if (isInReach) return this.#send(chosen, nowMs);
    endpoint.doubted();
    placement.unanswered();
    this.#note("reach-unknown", {
      backend: endpoint.member.id,
      waitedMs: Math.round(nowMs - askedAtMs),
    });
    this.#attempt(notRun(Reason.PeerFailed));
  }

  #send(chosen: Chosen, nowMs: number): void {
    const { template, route } = this.#accepted;
    const { attempts } = this.#context;
    const { endpoint } = chosen;
    this.#attempts++;
    const attempt = new IngressAttempt(this.#callOf(nowMs), chosen, {
      events: this,
      options: attempts,
      failuresToEject: route.service.health.failuresToEject,
    });
    this.#note("route", {
      route: route.name,
      service: route.serviceName,
      caller: template.caller,
      rank: template.rank,
      attempt: this.#attempts,
      backend: endpoint.member.id,
      choice: chosen.choice,
    });
    this.#live.add(attempt);
    attempt.send();
    const { latency } = this.#accepted.evidence;
    this.#armPatience(patienceMs(template.rank, latency));
  }

  /** Names the fields, as copying an object takes 18 µs a call. */
  #callOf(nowMs: number): Call {
    const { template, requestId, body, placement } = this.#accepted;
    return {
      id: `${requestId}.${this.#attempts}`,
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
      isRedirectable: body.buffered !== undefined && this.#live.size === 0 &&
        placement.mayBeRedirected(nowMs),
      retries: template.retries,
    };
  }

  #armPatience(delayMs: number): void {
    if (this.#isOver || this.#winner !== undefined) return;
    clearTimeout(this.#patience);
    this.#patience = setTimeout(() => {
      this.#onLate();
      this.#armPatience(delayMs * 2);
    }, delayMs);
  }

  /** Hedges a late call, or finds out whether it arrived. */
  #onLate(): void {
    if (this.#isOver || this.#winner !== undefined) return;
    const { template, evidence } = this.#accepted;
    // A request that ran at a crash is not sent to two servers at a time.
    const isSuspect = this.#context.quarantine
      .isSuspect(template.fingerprint, monotonicMs());
    const mayHedge = !isSuspect && this.#live.size === 1 &&
      this.#mayTryElsewhere();
    if (mayHedge && evidence.budget.trySpend()) {
      template.retries.left--;
      this.#context.metrics.count("ingress.hedges");
      return this.#attempt();
    }
    for (const attempt of this.#live) void attempt.checkArrival();
  }

  /** Whether the request may run twice and another endpoint is left for it. */
  #mayTryElsewhere(): boolean {
    const { route, body, template, placement } = this.#accepted;
    const mayRepeat = route.service.delivery === Delivery.Idempotent &&
      body.buffered !== undefined && template.retries.left > 0;
    return mayRepeat && placement.isElsewhereLeft(monotonicMs());
  }

  #onDeadline(): void {
    if (this.#winner !== undefined) {
      // The destination cuts the answer itself; this is the last resort.
      this.#winner.cancel();
      this.#accepted.writer.cut();
      return this.#over(Outcome.Unknown);
    }
    const isLive = this.#live.size > 0;
    for (const attempt of this.#live) attempt.cancel();
    this.#answer(
      isLive
        ? unknownOutcome(Reason.DeadlineExceeded)
        : notRun(Reason.DeadlineExceeded),
    );
  }

  #onClosed(): void {
    if (this.#isOver) return;
    for (const attempt of this.#live) attempt.cancel();
    this.#note("caller-gone", {});
    this.#over(Outcome.Unknown);
  }

  /** Answers the caller; an earlier attempt that may have run is not hidden. */
  #answer(refusal: Refusal): void {
    if (this.#isOver) return;
    const final = this.#mayHaveRun && refusal.outcome === Outcome.NotRun
      ? unknownOutcome(refusal.reason)
      : refusal;
    this.#note("answer", { outcome: final.outcome, reason: final.reason });
    this.#accepted.writer.refuse({ ...final, retryable: false });
    this.#over(final.outcome);
  }

  #over(outcome: Outcome): void {
    if (this.#isOver) return;
    this.#isOver = true;
    clearTimeout(this.#deadline);
    clearTimeout(this.#patience);
    clearTimeout(this.#pause);
    const { template, onOver } = this.#accepted;
    this.#context.metrics.timing(
      "ingress.latency",
      monotonicMs() - this.#startedAtMs,
      [`service:${template.service}`, `outcome:${outcome}`],
    );
    onOver();
  }

  #note(event: string, fields: LogFields): void {
    const line = { request: this.#accepted.requestId, ...fields };
    this.#context.log.info(event, line);
    this.#remember(event, fields);
  }

  #remember(event: string, fields: LogFields): void {
    const { requestId } = this.#accepted;
    const atMs = Date.now();
    this.#context.decisions.add(requestId, { atMs, event, fields });
  }
}

/** A server error to an idempotent request, which another may serve. */
const SERVER_ERROR: Refusal = {
  outcome: Outcome.Unknown,
  reason: Reason.ServerError,
  retryable: true,
};

/** A connection that broke is counted as a crash, as it may have been one. */
function isBackendBroken(reason: Reason): boolean {
  return reason === Reason.BackendCrashed || reason === Reason.BackendFailed;
}
