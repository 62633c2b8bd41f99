import type { Chosen } from "../coordination/routing/balancer.ts";
import type { AdmissionLoad } from "../coordination/admission/admission_queue.ts";
import type { Endpoint } from "../coordination/routing/endpoint.ts";
import type { AnswerHead, Call, Execution } from "../protocol/call.ts";
import { SettleState } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import {
  notRun,
  Reason,
  type Refusal,
  unknownOutcome,
} from "../protocol/outcome.ts";
import type { StepError } from "../protocol/step_error.ts";
import type { Destination } from "./destination.ts";
import { monotonicMs } from "./clocks.ts";
import type { PeerCaller, PeerSink } from "./peer_caller.ts";

/**
 * Age from which a call that did not arrive counts as lost, in ms. A question
 * over a new connection may overtake the call.
 */
const MIN_LOST_AGE_MS = 100;

/** Receives what becomes of an attempt. */
export interface AttemptEvents {
  onAttemptHead(attempt: IngressAttempt, head: AnswerHead): void;
  onAttemptData(attempt: IngressAttempt, chunk: Uint8Array): boolean;
  onAttemptEnd(attempt: IngressAttempt): void;
  onAttemptCut(attempt: IngressAttempt, error: StepError): void;
  onAttemptRefused(attempt: IngressAttempt, refusal: Refusal): void;
  /** The attempt showed that its endpoint is not to be used for a while. */
  onEndpointEjected(endpoint: Endpoint): void;
  /** The call did not arrive, as its connection was lost; a refusal follows. */
  onAttemptLost(attempt: IngressAttempt): void;
}

/** What an attempt needs. */
export interface AttemptOptions {
  readonly selfId: string;
  readonly peers: Pick<PeerCaller, "execute" | "settle">;
  readonly destination: Pick<Destination, "admission" | "execute">;
}

/** Receiver and environment of an attempt. */
export interface AttemptParts {
  readonly events: AttemptEvents;
  readonly options: AttemptOptions;
  /** Failures in a row that eject the endpoint. */
  readonly failuresToEject: number;
}

/**
 * One attempt of an ingress call at one endpoint.
 *
 * @example
 * ```ts ignore
 * const attempt = new IngressAttempt(call, chosen, { events, options });
 * attempt.send();
 * ```
 */
export class IngressAttempt implements PeerSink {
  readonly call: Call;
  readonly endpoint: Endpoint;
  readonly #events: AttemptEvents;
  readonly #options: AttemptOptions;
  readonly #failuresToEject: number;
  readonly #sentAtMs = monotonicMs();
  #execution: Execution | undefined;
  #isOver = false;
  #isSettling = false;
  /** Whether the destination has said that the call ended. */
  #hasEnded = false;

  /**
   * Creates an attempt that is not sent yet.
   *
   * @param call The call.
   * @param chosen The endpoint.
   * @param parts Receiver and environment.
   */
  constructor(call: Call, chosen: Chosen, parts: AttemptParts) {
    this.call = call;
    this.endpoint = chosen.endpoint;
    this.#events = parts.events;
    this.#options = parts.options;
    this.#failuresToEject = parts.failuresToEject;
  }

  /** Sends the call, to the own backend server directly. */
  send(): void {
    const { member } = this.endpoint;
    this.endpoint.running++;
    if (member.id !== this.#options.selfId) {
      this.#execution = this.#options.peers.execute(member, this.call, this);
      return;
    }
    this.#execution = this.#options.destination.execute(this.call, this);
  }

  /** Gives up the attempt. */
  cancel(): void {
    if (!this.#finish()) return;
    this.#execution?.cancel();
  }

  /** Asks for more data. */
  resume(): void {
    this.#execution?.resume();
  }

  /**
   * Finds out over a new connection whether a late call arrived at all.
   *
   * @returns Once a call that did not arrive was given up.
   */
  async checkArrival(): Promise<void> {
    if (this.#isSettling || this.#isOver) return;
    if (this.endpoint.member.id === this.#options.selfId) return;
    if (monotonicMs() - this.#sentAtMs < MIN_LOST_AGE_MS) return;
    this.#isSettling = true;
    const state = await this.#settle(false);
    this.#isSettling = false;
    if (this.#isOver || state === SettleState.RUNNING) return;
    if (state === SettleState.UNKNOWN) return;
    if (state === SettleState.DONE && !this.#hasEnded) {
      // Its answer may be on its way, or wait here to be read.
      this.#hasEnded = true;
      return;
    }
    // Not run, or its answer was lost: the connection has gone silent.
    this.#execution?.cancel();
    if (state === SettleState.NOT_RUN) this.#events.onAttemptLost(this);
    this.#refused(refusalOf(state));
  }

  onLoad(load: AdmissionLoad): void {
    this.endpoint.reported(load, monotonicMs());
  }

  onHead(head: AnswerHead): void {
    if (this.#isOver) return;
    if (head.status >= 500) this.#fail();
    else this.endpoint.succeeded(monotonicMs() - this.#sentAtMs);
    this.#events.onAttemptHead(this, head);
  }

  onData(chunk: Uint8Array): boolean {
    if (this.#isOver) return true;
    return this.#events.onAttemptData(this, chunk);
  }

  onEnd(): void {
    if (this.#finish()) this.#events.onAttemptEnd(this);
  }

  onAborted(error: StepError): void {
    this.#fail();
    if (this.#finish()) this.#events.onAttemptCut(this, error);
  }

  onRefused(refusal: Refusal): void {
    if (this.#isOver) return;
    if (isFault(refusal.reason)) this.#fail(refusal.reason);
    this.#refused(refusal);
  }

  onBroken(): void {
    if (this.#isOver) return;
    this.endpoint.doubted();
    this.#fail();
    void this.#settle(true).then((state) => {
      // Nobody answers the question either.
      if (state === SettleState.UNKNOWN) this.#unreached();
      this.#refused(refusalOf(state));
    });
  }

  #settle(givesUp: boolean): Promise<SettleState> {
    return this.#options.peers.settle(this.endpoint.member, {
      id: this.call.id,
      sentAtMs: this.#sentAtMs,
      givesUp,
    });
  }

  #refused(refusal: Refusal): void {
    if (this.#finish()) this.#events.onAttemptRefused(this, refusal);
  }

  #unreached(): void {
    if (this.endpoint.unreached(monotonicMs())) {
      this.#events.onEndpointEjected(this.endpoint);
    }
  }

  #fail(reason?: Reason): void {
    // Nobody listens there.
    if (reason === Reason.PeerFailed) return this.#unreached();
    const isGone = reason === Reason.BackendCrashed ||
      reason === Reason.Draining;
    const failures = isGone ? 1 : this.#failuresToEject;
    if (this.endpoint.failed(failures, monotonicMs())) {
      this.#events.onEndpointEjected(this.endpoint);
    }
  }

  #finish(): boolean {
    if (this.#isOver) return false;
    this.#isOver = true;
    this.endpoint.running--;
    return true;
  }
}

function isFault(reason: Reason): boolean {
  return reason === Reason.PeerFailed || reason === Reason.BackendFailed ||
    reason === Reason.BackendCrashed || reason === Reason.NotReady ||
    reason === Reason.Draining;
}

function refusalOf(state: SettleState): Refusal {
  return state === SettleState.NOT_RUN
    ? notRun(Reason.PeerFailed, true)
    : { ...unknownOutcome(Reason.PeerFailed), isRetryable: true };
}
