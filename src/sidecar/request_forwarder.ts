import {
  chooseDestination,
  type DestinationChoice,
  latestUsefulMs,
} from "../coordination/dispatch/mod.ts";
import type { WindowBudget } from "../coordination/retry/window_budget.ts";
import { RequestKind } from "../protocol/mesh.ts";
import type {
  CallOutcome,
  MeshAnswer,
  MeshCall,
} from "../protocol/mesh_call.ts";
import { MeshReason } from "../protocol/mesh_call.ts";
import type {
  ForwardContext,
  ForwardRequest,
  ForwardResult,
} from "./forward_types.ts";

/** Most destinations that are asked for room in turn. */
const MAX_SENDS = 3;
/** Time left to the backend server's own answer at the deadline, in ms. */
const DEADLINE_MARGIN_MS = 40;
/** Wait suggested where nothing better is known, in ms. */
const DEFAULT_RETRY_AFTER_MS = 150;
/** Share by which suggested waits are spread, so that callers come apart. */
const RETRY_AFTER_JITTER = 0.5;
/** Part of the time left after which a caller still has time to be served. */
const MAX_RETRY_AFTER_SHARE = 0.33;

/** One send of the request to a destination. */
interface Attempt {
  readonly choice: DestinationChoice;
  /** Whether it may be lost, by what questions about it found out. */
  isSuspected: boolean;
}

/** A send that ended, or that is in doubt where it has no outcome. */
interface AttemptEvent {
  readonly attempt: Attempt;
  readonly outcome: CallOutcome | undefined;
}

/** Whether another destination is tried. */
enum Retry {
  None,
  /** Nothing has arrived at a backend server: only a hop is spent. */
  Free,
  /** One more arrival, within the route's attempts and the budget. */
  Budgeted,
}

/** What follows from the end of a send. */
type NextStep =
  | { readonly kind: "done"; readonly result: ForwardResult }
  | { readonly kind: "continue"; readonly mode: Retry };

/**
 * Carries one request from backend server to backend server until it has an
 * answer.
 *
 * Looking for room costs nothing but hops; each arrival at a backend server
 * beyond the first is drawn on the budget and counts against the attempts of
 * the route.
 *
 * @example
 * ```ts ignore
 * const result = await new CallFlow(request, context).run(signal);
 * ```
 */
export class RequestForwarder {
  readonly #request: ForwardRequest;
  readonly #context: ForwardContext;
  readonly #excluded = new Set<string>();
  readonly #steps: string[] = [];
  readonly #arrivedAtMs = performance.now();
  /** Sends without an outcome yet. */
  readonly #open = new Set<Attempt>();
  readonly #events: AttemptEvent[] = [];
  #onEvent: (() => void) | undefined;
  #expire = () => {};
  #sendCount = 0;
  /** Arrivals at backend servers, as far as they are known or feared. */
  #arrivalCount = 0;
  /** Whether a send that has ended may have run. */
  #hasUnknownOutcome = false;
  #retryAfterMs = Infinity;
  #failedResponse: MeshAnswer | undefined;

  /**
   * Creates a flow that has not started.
   *
   * @param request The request.
   * @param context Fleet, budgets and own place.
   */
  constructor(request: ForwardRequest, context: ForwardContext) {
    this.#request = request;
    this.#context = context;
  }

  /** The decisions so far, for the log. */
  get steps(): string {
    return this.#steps.join(",");
  }

  /**
   * Runs the request.
   *
   * @param cancel Ends it, as the caller has gone; also used at the deadline.
   * @returns What the caller gets; never rejects.
   */
  run(cancel: AbortController): Promise<ForwardResult> {
    return new Promise((resolve) => {
      const remainingMs = this.#request.deadlineMs - performance.now();
      this.#expire = () => {
        clearTimeout(timer);
        resolve(this.#timeoutResult());
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

  /** Ends the request as if its deadline had come. */
  expire(): void {
    this.#expire();
  }

  async #runAttempts(signal: AbortSignal): Promise<ForwardResult> {
    this.#budget.request(performance.now());
    this.#tryNextDestination(Retry.Free, signal);
    while (this.#open.size > 0 && !signal.aborted) {
      const { attempt, outcome } = await this.#nextEvent();
      const next = outcome === undefined
        ? this.#handleSuspicion(attempt)
        : this.#handleOutcome(attempt, outcome);
      if (next.kind === "done") return next.result;
      this.#tryNextDestination(next.mode, signal);
    }
    return this.#finalResult();
  }

  /**
   * Sends the request to one more destination, if there is a good one. A send
   * that is not in doubt is waited for instead.
   */
  #tryNextDestination(mode: Retry, signal: AbortSignal): void {
    if (
      mode === Retry.None || signal.aborted || this.#sendCount >= MAX_SENDS
    ) return;
    if (
      [...this.#open].some(({ isSuspected }) => !isSuspected)
    ) return;
    const isBudgeted = mode === Retry.Budgeted;
    if (isBudgeted && !this.#hasAttemptLeft()) return;
    const choice = this.#chooseDestination();
    if (choice === undefined || this.#isQueueTooLong(choice)) return;
    if (isBudgeted && !this.#budget.trySpend(performance.now())) return;
    this.#send(choice, signal);
  }

  /**
   * Whether even the best destination reports too long a queue. A free slot
   * takes nothing from others, so it serves whatever ends before its deadline.
   */
  #isQueueTooLong(choice: DestinationChoice): boolean {
    const expectedEndMs = performance.now() + choice.waitMs + choice.serviceMs;
    const times = { ...this.#request, arrivedAtMs: this.#arrivedAtMs };
    const latestEndMs = choice.waitMs > 0
      ? latestUsefulMs(times, choice.isShort)
      : times.deadlineMs;
    if (expectedEndMs <= latestEndMs) return false;
    this.#steps.push(
      `${choice.record.id}:hopeless:${MeshReason.Overloaded}:${
        Math.round(choice.waitMs)
      }:0`,
    );
    this.#retryAfterMs = Math.min(this.#retryAfterMs, choice.waitMs);
    return true;
  }

  #chooseDestination(): DestinationChoice | undefined {
    const { directory, destinations, random, domain } = this.#context;
    const { service, route, body } = this.#request;
    return chooseDestination(directory.readyOf(service), {
      route: route.name,
      bodyBytes: body?.length ?? 0,
      ownDomain: domain,
      nowMs: performance.now(),
      excluded: this.#excluded,
      viewOf: (record) => destinations.viewOf(record),
      random,
    });
  }

  /** Sends the request; its events come from {@linkcode #nextEvent}. */
  async #send(choice: DestinationChoice, signal: AbortSignal): Promise<void> {
    const startedAtMs = performance.now();
    const attempt: Attempt = { choice, isSuspected: false };
    this.#sendCount++;
    this.#open.add(attempt);
    this.#excluded.add(choice.record.id);
    const outcome = await this.#context.destinations.execute(
      choice.record,
      this.#buildCall(choice),
      {
        signal,
        expectedMs: choice.waitMs + choice.serviceMs,
        onSuspected: (reason) => {
          if (!attempt.isSuspected) {
            this.#recordStep(choice, `doubted:${reason}`, startedAtMs);
          }
          this.#emit({ attempt, outcome: undefined });
        },
      },
    );
    const detail = outcome.kind === "answered"
      ? outcome.answer.status
      : outcome.reason;
    this.#recordStep(choice, `${outcome.kind}:${detail}`, startedAtMs);
    this.#emit({ attempt, outcome });
  }

  #emit(event: AttemptEvent): void {
    this.#events.push(event);
    this.#onEvent?.();
  }

  /** Waits until a send ends, or may be lost. */
  async #nextEvent(): Promise<AttemptEvent> {
    if (this.#events.length === 0) {
      await new Promise<void>((resolve) => this.#onEvent = resolve);
    }
    return this.#events.shift()!;
  }

  #recordStep(
    choice: DestinationChoice,
    outcome: string,
    startedAtMs: number,
  ): void {
    const tookMs = Math.round(performance.now() - startedAtMs);
    this.#steps.push(
      `${choice.record.id}:${outcome}:${Math.round(choice.waitMs)}:${tookMs}`,
    );
  }

  #buildCall(choice: DestinationChoice): MeshCall {
    const { route, ...request } = this.#request;
    return {
      ...request,
      route: route.name,
      kind: route.kind,
      priority: route.priority,
      callerService: this.#context.callerService,
      backendId: choice.record.id,
    };
  }

  #handleOutcome(attempt: Attempt, outcome: CallOutcome): NextStep {
    this.#open.delete(attempt);
    switch (outcome.kind) {
      case "answered":
        this.#countArrival(attempt);
        if (outcome.answer.status < 500) {
          return {
            kind: "done",
            result: { kind: "answered", answer: outcome.answer },
          };
        }
        this.#failedResponse = outcome.answer;
        return { kind: "continue", mode: this.#retry() };
      case "not-run":
        return {
          kind: "continue",
          mode: this.#handleNotRun(attempt, outcome),
        };
      case "unknown":
        this.#countArrival(attempt);
        this.#hasUnknownOutcome = true;
        return { kind: "continue", mode: this.#retry() };
    }
  }

  /** A doubt may come again while the send is open. */
  #handleSuspicion(attempt: Attempt): NextStep {
    if (!this.#open.has(attempt)) return { kind: "continue", mode: Retry.None };
    this.#countArrival(attempt);
    attempt.isSuspected = true;
    return { kind: "continue", mode: this.#retry() };
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
    if (outcome.reason === MeshReason.Expired) return Retry.None;
    if (outcome.arrived) {
      this.#countArrival(attempt);
      return Retry.Budgeted;
    }
    if (attempt.isSuspected) this.#arrivalCount--;
    return Retry.Free;
  }

  /** A doubted send has been counted. */
  #countArrival(attempt: Attempt): void {
    if (!attempt.isSuspected) this.#arrivalCount++;
  }

  #retry(): Retry {
    return this.#isIdempotent() ? Retry.Budgeted : Retry.None;
  }

  #isIdempotent(): boolean {
    return this.#request.route.kind === RequestKind.Idempotent;
  }

  /** Whether one more arrival is within the attempts of the route. */
  #hasAttemptLeft(): boolean {
    const { route, deadlineMs } = this.#request;
    return this.#arrivalCount < route.maxAttempts &&
      performance.now() < deadlineMs;
  }

  get #budget(): WindowBudget {
    return this.#context.budgetOf(this.#request.service);
  }

  /** Whether a backend server may have run it, or may be at work. */
  get #mayHaveRun(): boolean {
    return this.#hasUnknownOutcome || this.#open.size > 0;
  }

  #finalResult(): ForwardResult {
    if (this.#failedResponse !== undefined) {
      return { kind: "answered", answer: this.#failedResponse };
    }
    const reason = this.#steps.at(-1)?.split(":")[2] ?? MeshReason.NoBackend;
    return this.#mayHaveRun
      ? { kind: "failed", reason }
      : this.#refusal(reason);
  }

  #timeoutResult(): ForwardResult {
    return this.#mayHaveRun
      ? { kind: "timed-out" }
      : this.#refusal(MeshReason.Expired);
  }

  #refusal(reason: string): ForwardResult {
    const { random } = this.#context;
    const { objectiveAtMs, deadlineMs } = this.#request;
    const nowMs = performance.now();
    const minRetryAfterMs = Number.isFinite(this.#retryAfterMs)
      ? this.#retryAfterMs
      : DEFAULT_RETRY_AFTER_MS;
    // Who misses the objective anyway comes back best when the flood is over.
    const canMeetObjective = nowMs + minRetryAfterMs < objectiveAtMs;
    const lateRetryAfterMs = Math.max(
      minRetryAfterMs,
      (deadlineMs - nowMs) * MAX_RETRY_AFTER_SHARE,
    );
    const maxRetryAfterMs = canMeetObjective
      ? minRetryAfterMs * (1 + RETRY_AFTER_JITTER)
      : lateRetryAfterMs;
    const retryAfterMs = minRetryAfterMs +
      (maxRetryAfterMs - minRetryAfterMs) * random.fraction();
    return { kind: "refused", reason, retryAfterMs };
  }
}
