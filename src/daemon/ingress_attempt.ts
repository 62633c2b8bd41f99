import type { ChosenEndpoint } from "../coordination/routing/balancer.ts";
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
import type { PeerForwarder, PeerResponseSink } from "./peer_forwarder.ts";

/**
 * Minimum age of a call whose arrival is checked, in ms: the check uses a new
 * connection and may overtake the call.
 */
const MIN_CHECK_AGE_MS = 100;

/** Callbacks for the progress of an attempt. */
export interface AttemptListener {
  onAttemptHead(attempt: IngressAttempt, head: AnswerHead): void;
  onAttemptData(attempt: IngressAttempt, chunk: Uint8Array): boolean;
  onAttemptEnd(attempt: IngressAttempt): void;
  onAttemptTruncated(attempt: IngressAttempt, error: StepError): void;
  onAttemptRefused(attempt: IngressAttempt, refusal: Refusal): void;
  /** The result of the attempt ejected its endpoint for a while. */
  onEndpointEjected(endpoint: Endpoint): void;
  /**
   * The connection failed before the call reached its destination; a refusal
   * follows.
   */
  onAttemptLost(attempt: IngressAttempt): void;
}

/** Dependencies of all attempts. */
export interface AttemptOptions {
  readonly selfId: string;
  readonly peers: Pick<PeerForwarder, "execute" | "settle">;
  readonly destination: Pick<Destination, "admission" | "execute">;
}

/** Listener and dependencies of an attempt. */
export interface AttemptParts {
  readonly events: AttemptListener;
  readonly options: AttemptOptions;
  /** Consecutive failures that eject the endpoint. */
  readonly failuresToEject: number;
}

/**
 * One attempt to send an ingress call to one endpoint.
 *
 * @example
 * ```ts ignore
 * const attempt = new IngressAttempt(call, chosen, parts);
 * attempt.send();
 * ```
 */
export class IngressAttempt implements PeerResponseSink {
  readonly call: Call;
  readonly endpoint: Endpoint;
  readonly #listener: AttemptListener;
  readonly #options: AttemptOptions;
  readonly #failuresToEject: number;
  readonly #sentAtMs = monotonicMs();
  #execution: Execution | undefined;
  #isFinished = false;
  #isSettling = false;
  /** Whether the destination reported that the call ended. */
  #isReportedDone = false;

  /**
   * Creates an attempt that is not sent yet.
   *
   * @param call The call.
   * @param chosen The endpoint.
   * @param parts Listener and dependencies.
   */
  constructor(call: Call, chosen: ChosenEndpoint, parts: AttemptParts) {
    this.call = call;
    this.endpoint = chosen.endpoint;
    this.#listener = parts.events;
    this.#options = parts.options;
    this.#failuresToEject = parts.failuresToEject;
  }

  /** Sends the call; one for the local backend server is executed directly. */
  send(): void {
    const { member } = this.endpoint;
    this.endpoint.running++;
    if (member.id !== this.#options.selfId) {
      this.#execution = this.#options.peers.execute(member, this.call, this);
      return;
    }
    this.#execution = this.#options.destination.execute(this.call, this);
  }

  /** Cancels the attempt. */
  cancel(): void {
    if (!this.#finish()) return;
    this.#execution?.cancel();
  }

  /** Resumes the flow of response data. */
  resume(): void {
    this.#execution?.resume();
  }

  /**
   * Queries the state of a slow call over a new connection, and cancels the
   * attempt if the call did not arrive or its response was lost.
   *
   * @returns Once the result was handled.
   */
  async checkArrival(): Promise<void> {
    if (this.#isSettling || this.#isFinished) return;
    if (this.endpoint.member.id === this.#options.selfId) return;
    if (monotonicMs() - this.#sentAtMs < MIN_CHECK_AGE_MS) return;
    this.#isSettling = true;
    const state = await this.#settle(false);
    this.#isSettling = false;
    if (this.#isFinished || state === SettleState.RUNNING) return;
    if (state === SettleState.UNKNOWN) return;
    if (state === SettleState.DONE && !this.#isReportedDone) {
      // The response may still be in transit or unread in a local buffer.
      this.#isReportedDone = true;
      return;
    }
    // The call did not run or its response was lost, so the connection is dead.
    this.#execution?.cancel();
    if (state === SettleState.NOT_RUN) this.#listener.onAttemptLost(this);
    this.#finishRefused(refusalOf(state));
  }

  onLoad(load: AdmissionLoad): void {
    this.endpoint.recordLoad(load, monotonicMs());
  }

  onHead(head: AnswerHead): void {
    if (this.#isFinished) return;
    if (head.status >= 500) this.#recordFailure();
    else this.endpoint.recordSuccess(monotonicMs() - this.#sentAtMs);
    this.#listener.onAttemptHead(this, head);
  }

  onData(chunk: Uint8Array): boolean {
    if (this.#isFinished) return true;
    return this.#listener.onAttemptData(this, chunk);
  }

  onEnd(): void {
    if (this.#finish()) this.#listener.onAttemptEnd(this);
  }

  onAborted(error: StepError): void {
    this.#recordFailure();
    if (this.#finish()) this.#listener.onAttemptTruncated(this, error);
  }

  onRefused(refusal: Refusal): void {
    if (this.#isFinished) return;
    if (isEndpointFault(refusal.reason)) this.#recordFailure(refusal.reason);
    this.#finishRefused(refusal);
  }

  onConnectionLost(): void {
    if (this.#isFinished) return;
    this.endpoint.markPathSuspect();
    this.#recordFailure();
    void this.#settle(true).then((state) => {
      // The destination did not respond to the query either.
      if (state === SettleState.UNKNOWN) this.#markUnreachable();
      this.#finishRefused(refusalOf(state));
    });
  }

  #settle(givesUp: boolean): Promise<SettleState> {
    return this.#options.peers.settle(this.endpoint.member, {
      id: this.call.id,
      sentAtMs: this.#sentAtMs,
      givesUp,
    });
  }

  #finishRefused(refusal: Refusal): void {
    if (this.#finish()) this.#listener.onAttemptRefused(this, refusal);
  }

  #markUnreachable(): void {
    if (this.endpoint.recordUnreachable(monotonicMs())) {
      this.#listener.onEndpointEjected(this.endpoint);
    }
  }

  #recordFailure(reason?: Reason): void {
    // The peer could not be reached.
    if (reason === Reason.PeerFailed) return this.#markUnreachable();
    const isGone = reason === Reason.BackendCrashed ||
      reason === Reason.Draining;
    const failures = isGone ? 1 : this.#failuresToEject;
    if (this.endpoint.recordFailure(failures, monotonicMs())) {
      this.#listener.onEndpointEjected(this.endpoint);
    }
  }

  #finish(): boolean {
    if (this.#isFinished) return false;
    this.#isFinished = true;
    this.endpoint.running--;
    return true;
  }
}

function isEndpointFault(reason: Reason): boolean {
  return reason === Reason.PeerFailed || reason === Reason.BackendFailed ||
    reason === Reason.BackendCrashed || reason === Reason.NotReady ||
    reason === Reason.Draining;
}

function refusalOf(state: SettleState): Refusal {
  return state === SettleState.NOT_RUN
    ? notRun(Reason.PeerFailed, true)
    : { ...unknownOutcome(Reason.PeerFailed), isRetryable: true };
}
