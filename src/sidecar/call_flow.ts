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
import type { FlowContext, FlowRequest, FlowResult } from "./flow_types.ts";

/** Most destinations that are asked for room in turn. */
const MAX_HOPS = 3;
/** Time left to the backend server's own answer at the deadline, in ms. */
const DEADLINE_MARGIN_MS = 40;
/** Wait suggested where nothing better is known, in ms. */
const DEFAULT_RETRY_AFTER_MS = 150;
/** Share by which suggested waits are spread, so that callers come apart. */
const RETRY_SPREAD = 0.5;
/** Part of the time left after which a caller still has time to be served. */
const LONGEST_RETURN_SHARE = 0.33;

/** One send of the request to a destination. */
interface Attempt {
  readonly choice: DestinationChoice;
  /** Whether it may be lost, by what questions about it found out. */
  isDoubted: boolean;
}

/** A send that ended, or that is in doubt where it has no outcome. */
interface AttemptEvent {
  readonly attempt: Attempt;
  readonly outcome: CallOutcome | undefined;
}

/** Whether another destination is tried. */
enum Look {
  None,
  /** Nothing has arrived at a backend server: only a hop is spent. */
  Free,
  /** One more arrival, within the route's attempts and the budget. */
  Repeat,
}

/** What follows from the end of a send. */
type NextStep =
  | { readonly kind: "done"; readonly result: FlowResult }
  | { readonly kind: "go-on"; readonly look: Look };

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
export class CallFlow {
  readonly #request: FlowRequest;
  readonly #context: FlowContext;
  readonly #excluded = new Set<string>();
  readonly #steps: string[] = [];
  readonly #arrivedAtMs = performance.now();
  /** Sends without an outcome yet. */
  readonly #open = new Set<Attempt>();
  readonly #events: AttemptEvent[] = [];
  #onEvent: (() => void) | undefined;
  #expire = () => {};
  #sends = 0;
  /** Arrivals at backend servers, as far as they are known or feared. */
  #arrivals = 0;
  /** Whether a send that has ended may have run. */
  #hasUnknown = false;
  #retryAfterMs = Infinity;
  #failedAnswer: MeshAnswer | undefined;

  /**
   * Creates a flow that has not started.
   *
   * @param request The request.
   * @param context Fleet, budgets and own place.
   */
  constructor(request: FlowRequest, context: FlowContext) {
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
  run(cancel: AbortController): Promise<FlowResult> {
    return new Promise((resolve) => {
      const leftMs = this.#request.deadlineMs - performance.now();
      this.#expire = () => {
        clearTimeout(timer);
        resolve(this.#timedOut());
        cancel.abort();
      };
      const timer = setTimeout(
        this.#expire,
        Math.max(0, leftMs) + DEADLINE_MARGIN_MS,
      );
      this.#loop(cancel.signal).then((result) => {
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

  async #loop(signal: AbortSignal): Promise<FlowResult> {
    this.#budget.request(performance.now());
    this.#tryNext(Look.Free, signal);
    while (this.#open.size > 0 && !signal.aborted) {
      const { attempt, outcome } = await this.#nextEvent();
      const next = outcome === undefined
        ? this.#concludeDoubt(attempt)
        : this.#conclude(attempt, outcome);
      if (next.kind === "done") return next.result;
      this.#tryNext(next.look, signal);
    }
    return this.#giveUp();
  }

  /**
   * Sends the request to one more destination, if there is a good one. A send
   * that is not in doubt is waited for instead.
   */
  #tryNext(look: Look, signal: AbortSignal): void {
    if (look === Look.None || signal.aborted || this.#sends >= MAX_HOPS) return;
    if ([...this.#open].some(({ isDoubted }) => !isDoubted)) return;
    const isRepeat = look === Look.Repeat;
    if (isRepeat && !this.#mayRepeat()) return;
    const choice = this.#choose();
    if (choice === undefined || this.#isHopeless(choice)) return;
    if (isRepeat && !this.#budget.trySpend(performance.now())) return;
    this.#send(choice, signal);
  }

  /**
   * Whether even the best destination reports too long a queue. A free slot
   * takes nothing from others, so it serves whatever ends before its deadline.
   */
  #isHopeless(choice: DestinationChoice): boolean {
    const endMs = performance.now() + choice.waitMs + choice.serviceMs;
    const times = { ...this.#request, arrivedAtMs: this.#arrivedAtMs };
    const untilMs = choice.waitMs > 0
      ? latestUsefulMs(times, choice.isShort)
      : times.deadlineMs;
    if (endMs <= untilMs) return false;
    this.#steps.push(
      `${choice.record.id}:hopeless:${MeshReason.Overloaded}:${
        Math.round(choice.waitMs)
      }:0`,
    );
    this.#retryAfterMs = Math.min(this.#retryAfterMs, choice.waitMs);
    return true;
  }

  #choose(): DestinationChoice | undefined {
    const { directory, fleet, random, domain } = this.#context;
    const { service, route, body } = this.#request;
    return chooseDestination(directory.readyOf(service), {
      route: route.name,
      bodyBytes: body?.length ?? 0,
      ownDomain: domain,
      nowMs: performance.now(),
      excluded: this.#excluded,
      viewOf: (record) => fleet.viewOf(record),
      random,
    });
  }

  /** Sends the request; its events come from {@linkcode #nextEvent}. */
  async #send(choice: DestinationChoice, signal: AbortSignal): Promise<void> {
    const startedAtMs = performance.now();
    const attempt: Attempt = { choice, isDoubted: false };
    this.#sends++;
    this.#open.add(attempt);
    this.#excluded.add(choice.record.id);
    const outcome = await this.#context.fleet.execute(
      choice.record,
      this.#callFor(choice),
      {
        signal,
        expectedMs: choice.waitMs + choice.serviceMs,
        onDoubt: (reason) => {
          if (!attempt.isDoubted) {
            this.#note(choice, `doubted:${reason}`, startedAtMs);
          }
          this.#tell({ attempt, outcome: undefined });
        },
      },
    );
    const detail = outcome.kind === "answered"
      ? outcome.answer.status
      : outcome.reason;
    this.#note(choice, `${outcome.kind}:${detail}`, startedAtMs);
    this.#tell({ attempt, outcome });
  }

  #tell(event: AttemptEvent): void {
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

  #note(choice: DestinationChoice, outcome: string, startedAtMs: number): void {
    const tookMs = Math.round(performance.now() - startedAtMs);
    this.#steps.push(
      `${choice.record.id}:${outcome}:${Math.round(choice.waitMs)}:${tookMs}`,
    );
  }

  #callFor(choice: DestinationChoice): MeshCall {
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

  #conclude(attempt: Attempt, outcome: CallOutcome): NextStep {
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
        this.#failedAnswer = outcome.answer;
        return { kind: "go-on", look: this.#lookAgain() };
      case "not-run":
        return { kind: "go-on", look: this.#concludeNotRun(attempt, outcome) };
      case "unknown":
        this.#countArrival(attempt);
        this.#hasUnknown = true;
        return { kind: "go-on", look: this.#lookAgain() };
    }
  }

  /** A doubt may come again while the send is open. */
  #concludeDoubt(attempt: Attempt): NextStep {
    if (!this.#open.has(attempt)) return { kind: "go-on", look: Look.None };
    this.#countArrival(attempt);
    attempt.isDoubted = true;
    return { kind: "go-on", look: this.#lookAgain() };
  }

  #concludeNotRun(
    attempt: Attempt,
    outcome: Extract<CallOutcome, { kind: "not-run" }>,
  ): Look {
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
    if (outcome.reason === MeshReason.Expired) return Look.None;
    if (outcome.hasReachedBackend) {
      this.#countArrival(attempt);
      return Look.Repeat;
    }
    if (attempt.isDoubted) this.#arrivals--;
    return Look.Free;
  }

  /** A doubted send has been counted. */
  #countArrival(attempt: Attempt): void {
    if (!attempt.isDoubted) this.#arrivals++;
  }

  #lookAgain(): Look {
    return this.#isRepeatable() ? Look.Repeat : Look.None;
  }

  #isRepeatable(): boolean {
    return this.#request.route.kind === RequestKind.Idempotent;
  }

  /** Whether one more arrival is within the attempts of the route. */
  #mayRepeat(): boolean {
    const { route, deadlineMs } = this.#request;
    return this.#arrivals < route.maxAttempts && performance.now() < deadlineMs;
  }

  get #budget(): WindowBudget {
    return this.#context.budgetOf(this.#request.service);
  }

  /** Whether a backend server may have run it, or may be at work. */
  get #mayHaveRun(): boolean {
    return this.#hasUnknown || this.#open.size > 0;
  }

  #giveUp(): FlowResult {
    if (this.#failedAnswer !== undefined) {
      return { kind: "answered", answer: this.#failedAnswer };
    }
    const reason = this.#steps.at(-1)?.split(":")[2] ?? MeshReason.NoBackend;
    return this.#mayHaveRun
      ? { kind: "failed", reason }
      : this.#refused(reason);
  }

  #timedOut(): FlowResult {
    return this.#mayHaveRun
      ? { kind: "timed-out" }
      : this.#refused(MeshReason.Expired);
  }

  #refused(reason: string): FlowResult {
    const { random } = this.#context;
    const { objectiveAtMs, deadlineMs } = this.#request;
    const nowMs = performance.now();
    const drainMs = Number.isFinite(this.#retryAfterMs)
      ? this.#retryAfterMs
      : DEFAULT_RETRY_AFTER_MS;
    // Who misses the objective anyway comes back best when the flood is over.
    const canBeTimely = nowMs + drainMs < objectiveAtMs;
    const longestMs = Math.max(
      drainMs,
      (deadlineMs - nowMs) * LONGEST_RETURN_SHARE,
    );
    const untilMs = canBeTimely ? drainMs * (1 + RETRY_SPREAD) : longestMs;
    const retryAfterMs = drainMs + (untilMs - drainMs) * random.fraction();
    return { kind: "refused", reason, retryAfterMs };
  }
}
