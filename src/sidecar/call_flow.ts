import type { Buffer } from "node:buffer";
import {
  chooseDestination,
  type DestinationChoice,
  latestUsefulMs,
} from "../coordination/dispatch/mod.ts";
import type { WindowBudget } from "../coordination/retry/window_budget.ts";
import { type MeshRoute, RequestKind } from "../protocol/mesh.ts";
import type {
  CallOutcome,
  MeshAnswer,
  MeshCall,
} from "../protocol/mesh_call.ts";
import { MeshReason } from "../protocol/mesh_call.ts";
import type { Random } from "../protocol/random.ts";
import type { BackendDirectory } from "../state/backend_directory.ts";
import type { Fleet } from "./fleet.ts";

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

/** A caller's request, read whole. */
export interface FlowRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly route: MeshRoute;
  readonly service: string;
  readonly deadlineMs: number;
  readonly objectiveAtMs: number;
}

/** What the caller gets. */
export type FlowResult =
  | { readonly kind: "answered"; readonly answer: MeshAnswer }
  /** It has not run and never will. */
  | {
    readonly kind: "refused";
    readonly reason: string;
    readonly retryAfterMs: number;
  }
  /** It may have run. */
  | { readonly kind: "failed"; readonly reason: string }
  /** The time ran out, and it may have run. */
  | { readonly kind: "timed-out" };

/** What a flow works with. */
export interface FlowContext {
  readonly fleet: Fleet;
  readonly directory: BackendDirectory;
  readonly random: Random;
  readonly domain: string;
  readonly callerService: string;
  readonly budgetOf: (service: string) => WindowBudget;
}

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
  #arrivals = 0;
  #mayHaveRun = false;
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
      const timer = setTimeout(() => {
        resolve(this.#timedOut());
        cancel.abort();
      }, Math.max(0, leftMs) + DEADLINE_MARGIN_MS);
      this.#loop(cancel.signal).then((result) => {
        clearTimeout(timer);
        resolve(result);
      });
    });
  }

  async #loop(signal: AbortSignal): Promise<FlowResult> {
    this.#context.budgetOf(this.#request.service).request(performance.now());
    for (let hop = 0; hop < MAX_HOPS && !signal.aborted; hop++) {
      const choice = this.#choose();
      if (choice === undefined || this.#isHopeless(choice)) break;
      const outcome = await this.#send(choice, signal);
      const result = this.#conclude(choice, outcome);
      if (result !== undefined) return result;
    }
    return this.#giveUp();
  }

  /** Whether even the best destination reports too long a queue. */
  #isHopeless(choice: DestinationChoice): boolean {
    const endMs = performance.now() + choice.waitMs + choice.serviceMs;
    const times = { ...this.#request, arrivedAtMs: this.#arrivedAtMs };
    if (endMs <= latestUsefulMs(times, choice.isShort)) return false;
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

  async #send(
    choice: DestinationChoice,
    signal: AbortSignal,
  ): Promise<CallOutcome> {
    const startedAtMs = performance.now();
    const mayHaveRunBefore = this.#mayHaveRun;
    this.#mayHaveRun = true;
    const call = this.#callFor(choice);
    const outcome = await this.#context.fleet.execute(
      choice.record,
      call,
      signal,
    );
    if (outcome.kind === "not-run") this.#mayHaveRun = mayHaveRunBefore;
    const tookMs = Math.round(performance.now() - startedAtMs);
    const detail = outcome.kind === "answered"
      ? outcome.answer.status
      : outcome.reason;
    this.#steps.push(
      `${choice.record.id}:${outcome.kind}:${detail}:${
        Math.round(choice.waitMs)
      }:${tookMs}`,
    );
    return outcome;
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

  /** Returns the result, or `undefined` where another destination is tried. */
  #conclude(
    choice: DestinationChoice,
    outcome: CallOutcome,
  ): FlowResult | undefined {
    this.#excluded.add(choice.record.id);
    switch (outcome.kind) {
      case "answered":
        this.#arrivals++;
        if (outcome.answer.status < 500) {
          return { kind: "answered", answer: outcome.answer };
        }
        this.#failedAnswer = outcome.answer;
        return this.#isRepeatable() && this.#mayRepeat()
          ? undefined
          : { kind: "answered", answer: outcome.answer };
      case "not-run":
        return this.#concludeNotRun(choice, outcome);
      case "unknown":
        this.#arrivals++;
        return this.#isRepeatable() && this.#mayRepeat()
          ? undefined
          : this.#giveUp();
    }
  }

  #concludeNotRun(
    choice: DestinationChoice,
    outcome: Extract<CallOutcome, { kind: "not-run" }>,
  ): FlowResult | undefined {
    if (outcome.retryAfterMs > 0) {
      this.#retryAfterMs = Math.min(this.#retryAfterMs, outcome.retryAfterMs);
    }
    const isGone = outcome.reason === MeshReason.Replaced ||
      outcome.reason === MeshReason.NoBackend;
    const entry = this.#context.directory.get(choice.record.instance);
    if (isGone && entry?.missingSinceMs !== 0) {
      this.#context.directory.remove(choice.record.instance);
    }
    if (outcome.reason === MeshReason.Expired) return this.#giveUp();
    if (!outcome.arrived) return undefined;
    this.#arrivals++;
    return this.#mayRepeat() ? undefined : this.#giveUp();
  }

  #isRepeatable(): boolean {
    return this.#request.route.kind === RequestKind.Idempotent;
  }

  /** Whether one more arrival is within the attempts and the budget. */
  #mayRepeat(): boolean {
    const { route, service, deadlineMs } = this.#request;
    if (this.#arrivals >= route.maxAttempts) return false;
    const nowMs = performance.now();
    if (nowMs >= deadlineMs) return false;
    return this.#context.budgetOf(service).trySpend(nowMs);
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
