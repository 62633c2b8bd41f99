import type {
  CancelController,
  CancelSignal,
} from "../protocol/cancellation.ts";
import {
  chooseByResponseTime,
  chooseDestination,
  costKeyOf,
  type DestinationChoice,
  effectiveDeadlineMs,
  type RequestCostKey,
} from "../coordination/dispatch/mod.ts";
import {
  type Judgement,
  Verdict,
} from "../coordination/quarantine/suspect_list.ts";
import type { WindowedRetryBudget } from "../coordination/retry/windowed_retry_budget.ts";
import { RequestKind } from "../protocol/mesh.ts";
import type {
  CallOutcome,
  MeshAnswer,
  MeshCall,
} from "../protocol/mesh_call.ts";
import { MeshReason } from "../protocol/mesh_call.ts";
import { formatOutcome, formatStep } from "./format_step.ts";
import type {
  ForwardContext,
  ForwardRequest,
  ForwardResult,
} from "./forward_types.ts";
import { chooseRetryAfterMs } from "./retry_after.ts";
import { chooseTrialBackend } from "./trial_backend.ts";

/** Most destinations that one request is sent to. */
const MAX_SENDS = 3;
/**
 * Time after the deadline in which the backend server's own response still
 * takes precedence over a timeout response, in ms.
 */
const DEADLINE_MARGIN_MS = 40;
/** Shortest time behind other requests from which a queue exists, in ms. */
const MIN_QUEUE_MS = 5;

/** Largest number of ends after which the daemon still repeats a request. */
const MAX_ENDS_FOR_REPEAT = 1;

/** One send of the request to a destination. */
interface Attempt {
  readonly choice: DestinationChoice;
  /** Whether status queries suggest that the request or response is lost. */
  isSuspected: boolean;
}

/** The end of an attempt; without an outcome, the attempt is suspected lost. */
interface AttemptEvent {
  readonly attempt: Attempt;
  readonly outcome: CallOutcome | undefined;
}

/** Whether another destination is tried, and which limits apply to that. */
enum Retry {
  None,
  /** Only the limit on sends, as no backend server received the request. */
  Free,
  /** Also the attempts of the route and the retry budget. */
  Budgeted,
}

/** What to do after an attempt event. */
type NextStep =
  | { readonly kind: "done"; readonly result: ForwardResult }
  | { readonly kind: "continue"; readonly mode: Retry };

/**
 * Forwards one request to backend servers, one after another, until one
 * responds.
 *
 * A destination that refuses the request before its backend server receives it
 * counts only against the limit on sends. Each further arrival at a backend
 * server takes one retry of the budget and one attempt of the route.
 *
 * @example
 * ```ts ignore
 * const result = await new RequestForwarder(request, context).run(cancel);
 * ```
 */
export class RequestForwarder {
  readonly #request: ForwardRequest;
  readonly #context: ForwardContext;
  readonly #choosesByValue: boolean;
  readonly #costKey: RequestCostKey;
  readonly #excluded = new Set<string>();
  readonly #steps: string[] = [];
  readonly #arrivedAtMs = performance.now();
  /** Attempts without an outcome yet. */
  readonly #open = new Set<Attempt>();
  readonly #events: AttemptEvent[] = [];
  #onEvent: (() => void) | undefined;
  #expire = () => {};
  #sendCount = 0;
  /** Known and possible arrivals at backend servers. */
  #arrivalCount = 0;
  /** Whether an attempt ended without it being known whether it ran. */
  #hasUnknownOutcome = false;
  #retryAfterMs = Infinity;
  #failedResponse: MeshAnswer | undefined;

  /**
   * Creates a forwarder that has not started.
   *
   * @param request The request.
   * @param context Destinations, retry budgets and the local failure domain.
   */
  constructor(request: ForwardRequest, context: ForwardContext) {
    this.#request = request;
    this.#context = context;
    this.#choosesByValue = context.choosesByValue(request.service);
    this.#costKey = this.#choosesByValue
      ? costKeyOf({ ...request, route: request.route.name })
      : [request.route.name];
  }

  /** The routing decisions so far, as written to the log. */
  get steps(): string {
    return this.#steps.join(",");
  }

  /**
   * Forwards the request; resolves shortly after its deadline at the latest.
   *
   * @param cancel Aborted by the caller's disconnect, and by this method at the
   * deadline or if attempts are still open once there is a result.
   * @returns The result for the caller; never rejects.
   */
  run(cancel: CancelController): Promise<ForwardResult> {
    return new Promise((resolve) => {
      const remainingMs = this.#request.deadlineMs - performance.now();
      this.#expire = () => {
        clearTimeout(timer);
        resolve(this.#buildTimeoutResult());
        cancel.abort();
      };
      const timer = setTimeout(
        this.#expire,
        Math.max(0, remainingMs) + DEADLINE_MARGIN_MS,
      );
      this.#runAttempts(cancel.signal).then((result) => {
        clearTimeout(timer);
        resolve(result);
        if (this.#open.size > 0) cancel.abort();
      });
    });
  }

  /** Ends the request as if its deadline had passed. */
  expire(): void {
    this.#expire();
  }

  async #runAttempts(signal: CancelSignal): Promise<ForwardResult> {
    this.#budget.recordRequest(
      performance.now(),
      this.#request.organisation,
    );
    const judgement = this.#judge();
    if (judgement?.verdict === Verdict.Quarantined) {
      return this.#buildQuarantineRefusal(judgement);
    }
    this.#tryNextDestination(Retry.Free, signal);
    while (this.#open.size > 0 && !signal.aborted) {
      const { attempt, outcome } = await this.#nextEvent();
      const next = outcome === undefined
        ? this.#handleSuspicion(attempt)
        : this.#handleOutcome(attempt, outcome);
      if (next.kind === "done") return next.result;
      this.#tryNextDestination(next.mode, signal);
    }
    return this.#buildFinalResult();
  }

  /**
   * Sends the request to one more destination if one can serve it in time. Does
   * nothing while an attempt that is not suspected lost is open.
   */
  #tryNextDestination(mode: Retry, signal: CancelSignal): void {
    if (
      mode === Retry.None || signal.aborted || this.#sendCount >= MAX_SENDS
    ) return;
    if ([...this.#open].some(({ isSuspected }) => !isSuspected)) return;
    const judgement = this.#judge();
    // Two runs of a request that may be fatal could end two backend servers.
    if (judgement !== undefined && this.#open.size > 0) return;
    if (judgement?.verdict === Verdict.Quarantined) return;
    const isBudgeted = mode === Retry.Budgeted;
    if (isBudgeted && !this.#hasAttemptLeft()) return;
    const choice = this.#chooseDestination(judgement);
    if (choice === undefined || this.#isQueueTooLong(choice)) return;
    if (isBudgeted && !this.#trySpendRetry()) return;
    this.#send(choice, signal);
  }

  /**
   * Whether the best destination would finish the request too late. A free slot
   * delays no other request, so it only has to finish before the deadline, and
   * so does a call that a running request waits for.
   */
  #isQueueTooLong(choice: DestinationChoice): boolean {
    const expectedEndMs = performance.now() + choice.waitMs + choice.serviceMs;
    const { objectiveAtMs, deadlineMs } = this.#request;
    const arrivedAtMs = this.#arrivedAtMs;
    const hasShare = choice.queueMs >= MIN_QUEUE_MS &&
      this.#request.isSubcall !== true;
    const latestEndMs = hasShare
      ? effectiveDeadlineMs(
        { objectiveAtMs, deadlineMs, arrivedAtMs },
        choice.isShort,
      )
      : deadlineMs;
    if (expectedEndMs <= latestEndMs) return false;
    const text = `hopeless:${MeshReason.Overloaded}`;
    this.#steps.push(formatStep(choice, { text, tookMs: 0 }));
    this.#retryAfterMs = Math.min(this.#retryAfterMs, choice.waitMs);
    return true;
  }

  /** A request on trial has the same destination at all daemons for a time. */
  #chooseDestination(
    judgement: Judgement | undefined,
  ): DestinationChoice | undefined {
    const { directory, destinations, random, domain, responseSizes, versions } =
      this.#context;
    const { service, route, body, objectiveAtMs, deadlineMs } = this.#request;
    const ready = directory.readyBackends(service);
    const isFirst = this.#sendCount === 0;
    const records = versions === undefined
      ? ready
      : versions.filter(service, ready, isFirst).records;
    const candidates = judgement?.verdict === Verdict.OnTrial
      ? chooseTrialBackend(records, judgement.fingerprint)
      : records;
    const choose = this.#choosesByValue
      ? chooseDestination
      : chooseByResponseTime;
    return choose(candidates, {
      costKey: this.#costKey,
      costs: destinations.costsOf(service),
      bodyBytes: body?.length ?? 0,
      responseBytes: responseSizes.expectedBytes(route.name),
      objectiveAtMs,
      deadlineMs,
      localDomain: domain,
      nowMs: performance.now(),
      excluded: this.#excluded,
      statsOf: (record) => destinations.statsOf(record),
      random,
    });
  }

  /** Sends the request and queues its events for {@linkcode #nextEvent}. */
  async #send(choice: DestinationChoice, signal: CancelSignal): Promise<void> {
    const startedAtMs = performance.now();
    const attempt: Attempt = { choice, isSuspected: false };
    const isFirst = this.#sendCount++ === 0;
    this.#context.versions?.recordSend(choice.record);
    this.#open.add(attempt);
    this.#excluded.add(choice.record.id);
    const outcome = await this.#context.destinations.execute(
      choice.record,
      this.#buildCall(choice),
      {
        signal,
        costKey: this.#costKey,
        learnsCost: this.#choosesByValue,
        expectedServiceMs: choice.serviceMs,
        expectedMs: choice.waitMs + choice.serviceMs,
        responseBytes: this.#context.responseSizes.expectedBytes(
          this.#request.route.name,
        ),
        onSuspected: (reason) => {
          if (!attempt.isSuspected) {
            this.#recordStep(choice, `doubted:${reason}`, startedAtMs);
          }
          this.#emit({ attempt, outcome: undefined });
        },
      },
    );
    const text = formatOutcome(outcome);
    const serviceMs = outcome.kind === "answered"
      ? outcome.serviceMs
      : undefined;
    this.#recordStep(choice, text, startedAtMs, serviceMs);
    if (isFirst) {
      this.#context.versions?.recordOutcome(
        choice.record,
        this.#request.route.name,
        outcome,
        performance.now() - startedAtMs,
      );
    }
    this.#emit({ attempt, outcome });
  }

  #emit(event: AttemptEvent): void {
    this.#events.push(event);
    this.#onEvent?.();
  }

  /** Waits until an attempt ends or is suspected lost. */
  async #nextEvent(): Promise<AttemptEvent> {
    if (this.#events.length === 0) {
      await new Promise<void>((resolve) => this.#onEvent = resolve);
    }
    return this.#events.shift()!;
  }

  #recordStep(
    choice: DestinationChoice,
    text: string,
    startedAtMs: number,
    serviceMs?: number,
  ): void {
    const tookMs = performance.now() - startedAtMs;
    this.#steps.push(formatStep(choice, { text, tookMs, serviceMs }));
  }

  #buildCall(choice: DestinationChoice): MeshCall {
    const request = this.#request;
    const { route } = request;
    // Copies each field by name: a rest pattern takes several times as long.
    return {
      id: request.id,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      service: request.service,
      deadlineMs: request.deadlineMs,
      objectiveAtMs: request.objectiveAtMs,
      organisation: request.organisation,
      organisationPriority: request.organisationPriority,
      isSubcall: request.isSubcall,
      route: route.name,
      kind: route.kind,
      priority: route.priority,
      callerService: this.#context.callerService,
      backendId: choice.record.id,
      evidence: this.#context.quarantine.evidenceOf(request),
    };
  }

  #handleOutcome(attempt: Attempt, outcome: CallOutcome): NextStep {
    this.#open.delete(attempt);
    switch (outcome.kind) {
      case "answered":
        this.#countArrival(attempt);
        if (outcome.answer.status < 500) {
          this.#context.responseSizes.record(
            this.#request.route.name,
            outcome.answer.body.length,
          );
          return {
            kind: "done",
            result: { kind: "answered", answer: outcome.answer },
          };
        }
        this.#failedResponse = outcome.answer;
        return { kind: "continue", mode: this.#chooseRetry() };
      case "not-run":
        return {
          kind: "continue",
          mode: this.#handleNotRun(attempt, outcome),
        };
      case "unknown":
        this.#countArrival(attempt);
        this.#hasUnknownOutcome = true;
        return { kind: "continue", mode: this.#chooseRepeat() };
    }
  }

  /** Called repeatedly for one attempt while it is open and suspected lost. */
  #handleSuspicion(attempt: Attempt): NextStep {
    if (!this.#open.has(attempt)) return { kind: "continue", mode: Retry.None };
    this.#countArrival(attempt);
    attempt.isSuspected = true;
    return { kind: "continue", mode: this.#chooseRetry() };
  }

  #handleNotRun(
    attempt: Attempt,
    outcome: Extract<CallOutcome, { kind: "not-run" }>,
  ): Retry {
    const { record } = attempt.choice;
    if (outcome.retryAfterMs > 0) {
      this.#retryAfterMs = Math.min(this.#retryAfterMs, outcome.retryAfterMs);
    }
    const isGone = outcome.reason === MeshReason.Replaced ||
      outcome.reason === MeshReason.NoBackend;
    const entry = this.#context.directory.get(record.instance);
    if (isGone && entry?.missingSinceMs !== 0) {
      this.#context.directory.remove(record.instance);
    }
    if (outcome.hasReachedBackend) {
      this.#countArrival(attempt);
      return Retry.Budgeted;
    }
    if (attempt.isSuspected) this.#arrivalCount--;
    return Retry.Free;
  }

  /** Does nothing if the arrival was counted when the loss was suspected. */
  #countArrival(attempt: Attempt): void {
    if (!attempt.isSuspected) this.#arrivalCount++;
  }

  #chooseRetry(): Retry {
    return this.#isIdempotent() ? Retry.Budgeted : Retry.None;
  }

  /** A request is repeated after its first end at a backend server only. */
  #chooseRepeat(): Retry {
    const ends = this.#judge()?.ends ?? 0;
    return ends > MAX_ENDS_FOR_REPEAT ? Retry.None : this.#chooseRetry();
  }

  #judge(): Judgement | undefined {
    return this.#context.quarantine.judge(this.#request);
  }

  #isIdempotent(): boolean {
    return this.#request.route.kind === RequestKind.Idempotent;
  }

  /** Whether the route allows one more arrival and the deadline is ahead. */
  #hasAttemptLeft(): boolean {
    const { route, deadlineMs } = this.#request;
    return this.#arrivalCount < route.maxAttempts &&
      performance.now() < deadlineMs;
  }

  #trySpendRetry(): boolean {
    const { organisation } = this.#request;
    return this.#budget.trySpend(performance.now(), organisation);
  }

  get #budget(): WindowedRetryBudget {
    return this.#context.budgetOf(this.#request.service);
  }

  /** Whether a backend server may have run the request or may be running it. */
  get #mayHaveRun(): boolean {
    return this.#hasUnknownOutcome || this.#open.size > 0;
  }

  #buildFinalResult(): ForwardResult {
    if (this.#failedResponse !== undefined) {
      return { kind: "answered", answer: this.#failedResponse };
    }
    const reason = this.#steps.at(-1)?.split(":")[2] ?? MeshReason.NoBackend;
    return this.#mayHaveRun
      ? { kind: "failed", reason }
      : this.#buildRefusal(reason);
  }

  #buildQuarantineRefusal(judgement: Judgement): ForwardResult {
    const { fingerprint, remainingMs } = judgement;
    const reason = MeshReason.Quarantined;
    this.#steps.push(`${fingerprint}:not-run:${reason}:0:0`);
    return { kind: "refused", reason, retryAfterMs: remainingMs };
  }

  #buildTimeoutResult(): ForwardResult {
    return this.#mayHaveRun
      ? { kind: "timed-out" }
      : this.#buildRefusal(MeshReason.Expired);
  }

  #buildRefusal(reason: string): ForwardResult {
    const { objectiveAtMs, deadlineMs } = this.#request;
    const retryAfterMs = chooseRetryAfterMs({
      objectiveAtMs,
      deadlineMs,
      namedMs: this.#retryAfterMs,
      nowMs: performance.now(),
      random: this.#context.random,
    });
    return { kind: "refused", reason, retryAfterMs };
  }
}
