import type { Dispatcher } from "undici";
import type { SlotRequest } from "../coordination/admission/admission_queue.ts";
import type {
  AnswerHead,
  AnswerSink,
  Call,
  Execution,
} from "../protocol/call.ts";
import { Delivery, type Service } from "../protocol/config_schema.ts";
import {
  ClaimState,
  type StoredAnswer,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import {
  HEADER_CALLER,
  HEADER_REPLAYED,
  HEADER_REQUEST_ID,
  HEADER_TIMEOUT_MS,
} from "../protocol/headers.ts";
import {
  notRun,
  Reason,
  type Refusal,
  unknownOutcome,
} from "../protocol/outcome.ts";
import { FailureKind, StepError } from "../protocol/step_error.ts";
import { Exchange } from "../transport/http/exchange.ts";
import { singleHeader } from "../transport/http/header_filter.ts";
import { AnswerCopy } from "./answer_copy.ts";
import { Diagnosis } from "./backend_task.ts";
import { verdictOf } from "./claim_verdict.ts";
import { monotonicMs } from "./clocks.ts";
import type { DestinationContext } from "./destination.ts";

enum Phase {
  Waiting = "waiting",
  Claiming = "claiming",
  Running = "running",
  Ended = "ended",
}

/**
 * One call at its destination, from admission to the end of its answer.
 *
 * @example
 * ```ts ignore
 * const running = new DestinationCall(call, { service, sink, context });
 * running.admit();
 * ```
 */
export class DestinationCall implements Execution, SlotRequest {
  readonly call: Call;
  readonly #service: Service;
  readonly #context: DestinationContext;
  #sink: AnswerSink | undefined;
  #phase = Phase.Waiting;
  #exchange: Exchange | undefined;
  #pool: Dispatcher | undefined;
  #deadline: NodeJS.Timeout | undefined;
  #startedAtMs = 0;
  #hasSlot = false;
  #hasClaim = false;
  #head: AnswerHead | undefined;
  readonly #copy = new AnswerCopy();

  /**
   * Creates a call that has not asked for a slot yet.
   *
   * @param call The call.
   * @param parts Service, receiver of the answer, and the destination.
   */
  constructor(
    call: Call,
    parts: { service: Service; sink: AnswerSink; context: DestinationContext },
  ) {
    this.call = call;
    this.#service = parts.service;
    this.#sink = parts.sink;
    this.#context = parts.context;
  }

  get id(): string {
    return this.call.id;
  }

  get rank(): Call["rank"] {
    return this.call.rank;
  }

  get deadlineMs(): number {
    return this.call.deadlineMs;
  }

  /** Whether the request was handed to the backend server. */
  get isRunning(): boolean {
    return this.#phase === Phase.Running;
  }

  /** Asks for a slot. */
  admit(): void {
    const nowMs = monotonicMs();
    const leftMs = this.deadlineMs - nowMs;
    if (leftMs <= 0) return this.refuse(notRun(Reason.DeadlineExceeded));
    const { admission } = this.#context;
    if (this.call.isRedirectable && !admission.isFree(this.rank, nowMs)) {
      return this.refuse(notRun(Reason.Busy, true));
    }
    this.#deadline = setTimeout(() => this.#onDeadline(), leftMs);
    if (this.#service.delivery === Delivery.AtMostOnce) void this.#claim();
    else this.#askSlot();
  }

  /** Uses the slot that the call was given. */
  start(): void {
    this.#hasSlot = true;
    this.#run();
  }

  /**
   * Answers that the call did not run, or that nothing is known.
   *
   * @param refusal The answer.
   */
  refuse(refusal: Refusal): void {
    const sink = this.#sink;
    this.#sink = undefined;
    this.#end(undefined);
    sink?.onRefused(refusal);
  }

  /** Settles a waiting call as not run. */
  settleNotRun(): void {
    const mayRun = this.#phase === Phase.Waiting ||
      this.#phase === Phase.Claiming;
    if (mayRun) this.refuse(notRun(Reason.Cancelled));
  }

  cancel(): void {
    this.#sink = undefined;
    switch (this.#phase) {
      case Phase.Waiting:
        return this.#end(undefined);
      case Phase.Running:
        if (isInterruptible(this.#service.delivery)) this.#interrupt();
        return;
      case Phase.Claiming:
      case Phase.Ended:
        return;
    }
  }

  resume(): void {
    this.#exchange?.resume();
  }

  #askSlot(): void {
    const admission = this.#context.admission.ask(this, monotonicMs());
    switch (admission.kind) {
      case "start":
        return this.start();
      case "queued":
        return;
      case "refused": {
        // Another destination may have room, unless time is too short or the
        // claim has to be given up first.
        const isElsewhere = admission.reason === Reason.Overloaded &&
          !this.#hasClaim;
        return this.refuse(notRun(admission.reason, isElsewhere));
      }
    }
  }

  /** Claims the key before a slot is asked for, as the claim takes its time. */
  async #claim(): Promise<void> {
    this.#phase = Phase.Claiming;
    const response = await this.#context.claims.claim(this.call);
    if (this.#phase !== Phase.Claiming) {
      if (response.state === ClaimState.GRANTED) {
        this.#context.claims.release(this.call);
      }
      return;
    }
    const verdict = verdictOf(response);
    switch (verdict.kind) {
      case "granted":
        this.#hasClaim = true;
        this.#phase = Phase.Waiting;
        return this.#askSlot();
      case "replay":
        return this.#replay(verdict.answer);
      case "refused":
        if (verdict.mayBeHeld) this.#context.claims.release(this.call);
        return this.refuse(verdict.refusal);
    }
  }

  /** Gives the first answer to a request that came again. */
  #replay(answer: StoredAnswer): void {
    const sink = this.#sink;
    this.#sink = undefined;
    this.#end(undefined);
    sink?.onHead({
      status: answer.status,
      headers: {
        "content-type": answer.contentType,
        [HEADER_REPLAYED]: answer.hasBody ? "whole" : "status-only",
      },
    });
    if (answer.hasBody && answer.body.length > 0) sink?.onData(answer.body);
    sink?.onEnd();
  }

  #run(): void {
    const pool = this.#context.backend.pool(this.rank);
    const mayRun = pool !== undefined && this.deadlineMs > monotonicMs() &&
      this.#context.ledger.run(this.id);
    if (!mayRun) return this.refuse(notRun(Reason.NotReady, !this.#hasClaim));
    this.#phase = Phase.Running;
    this.#pool = pool;
    this.#startedAtMs = monotonicMs();
    this.#exchange = Exchange.send(pool, {
      method: this.call.method,
      path: this.call.path,
      headers: this.#headers(),
      body: this.call.body,
    }, {
      onHead: (head) => this.#onHead(head),
      onData: (chunk) => this.#onData(chunk),
      onEnd: () => this.#onEnd(),
      onError: (error, sent) => void this.#onError(error, sent),
    });
  }

  #headers(): string[] {
    const leftMs = Math.max(1, Math.floor(this.deadlineMs - monotonicMs()));
    return [
      ...this.call.headers,
      HEADER_REQUEST_ID,
      this.id,
      HEADER_CALLER,
      this.call.caller,
      HEADER_TIMEOUT_MS,
      String(leftMs),
    ];
  }

  #onHead(head: AnswerHead): void {
    const echoed = singleHeader(head.headers, HEADER_REQUEST_ID);
    if (echoed !== undefined && echoed !== this.id) {
      this.#interrupt();
      return this.#fail(unknownOutcome(Reason.AnswerMismatch));
    }
    this.#head = head;
    if (isOverloadStatus(head.status)) {
      this.#context.admission.limit.overloaded(monotonicMs());
    }
    if (head.status >= 500 && !isOverloadStatus(head.status)) {
      this.#context.backend.exchangeFailed();
    } else this.#context.backend.exchangeSucceeded();
    this.#sink?.onHead(head);
  }

  #onData(chunk: Uint8Array): boolean {
    if (this.#hasClaim) this.#copy.add(chunk);
    // Without a receiver the answer is read to its end and dropped.
    return this.#sink?.onData(chunk) ?? true;
  }

  #onEnd(): void {
    if (this.#phase !== Phase.Running) return;
    const head = this.#head!;
    if (head.status < 500) {
      this.#context.served(this.call.fingerprint);
    }
    if (this.#hasClaim) {
      this.#context.claims.complete(this.call, this.#copy.toAnswer(head));
    }
    const sink = this.#sink;
    this.#end(monotonicMs() - this.#startedAtMs);
    sink?.onEnd();
  }

  async #onError(error: Error, sent: boolean): Promise<void> {
    if (this.#phase !== Phase.Running) return;
    // All that ran when the connection broke is suspect, not only this call.
    this.#context.noteCrashSuspects();
    const diagnosis = await this.#context.backend.diagnose(this.#pool!);
    if (this.#phase !== Phase.Running) return;
    if (!sent && this.#head === undefined) return this.#failUnsent();
    if (diagnosis === Diagnosis.Crashed) {
      this.#context.reportCrash();
      return this.#fail({
        ...unknownOutcome(Reason.BackendCrashed),
        isRetryable: true,
      }, error);
    }
    this.#context.backend.exchangeFailed();
    this.#fail(
      { ...unknownOutcome(Reason.BackendFailed), isRetryable: true },
      error,
    );
  }

  /** The connection could not be opened, so the request did not run. */
  #failUnsent(): void {
    const isElsewhere = !this.#hasClaim;
    this.#phase = Phase.Waiting;
    this.refuse(notRun(Reason.BackendFailed, isElsewhere));
  }

  #fail(refusal: Refusal, cause?: Error): void {
    const sink = this.#sink;
    const hadHead = this.#head !== undefined && cause !== undefined;
    this.#sink = undefined;
    this.#end(undefined);
    if (!hadHead) return sink?.onRefused(refusal);
    sink?.onAborted(
      new StepError(
        FailureKind.Ambiguous,
        "read-answer",
        `Cannot read the answer: ${cause.message}`,
        { peer: this.call.service, cause },
      ),
    );
  }

  #onDeadline(): void {
    switch (this.#phase) {
      case Phase.Waiting:
      case Phase.Claiming:
        return this.refuse(notRun(Reason.DeadlineExceeded));
      case Phase.Running:
        return this.#onRunningDeadline();
      case Phase.Ended:
        return;
    }
  }

  #onRunningDeadline(): void {
    this.#context.backend.exchangeFailed();
    this.#context.admission.limit.overloaded(monotonicMs());
    if (isInterruptible(this.#service.delivery)) {
      this.#exchange?.cancel();
      return this.#fail(
        unknownOutcome(Reason.DeadlineExceeded),
        this.#head === undefined ? undefined : new Error("deadline exceeded"),
      );
    }
    // The request runs on, so that its answer is recorded.
    const sink = this.#sink;
    this.#sink = undefined;
    if (this.#head === undefined) {
      sink?.onRefused(unknownOutcome(Reason.DeadlineExceeded));
    } else {
      sink?.onAborted(
        new StepError(
          FailureKind.Ambiguous,
          "read-answer",
          "Cannot read the answer: deadline exceeded",
          { peer: this.call.service },
        ),
      );
    }
  }

  #interrupt(): void {
    this.#exchange?.cancel();
    this.#end(undefined);
  }

  /** Gives back the slot; runs once. */
  #end(serviceMs: number | undefined): void {
    if (this.#phase === Phase.Ended) return;
    const ran = this.#phase === Phase.Running;
    const waited = this.#phase === Phase.Waiting && !this.#hasSlot;
    this.#phase = Phase.Ended;
    clearTimeout(this.#deadline);
    const nowMs = monotonicMs();
    if (ran) this.#context.ledger.finish(this.id, nowMs);
    else this.#context.ledger.refuse(this.id, nowMs);
    if (waited) this.#context.admission.cancel(this);
    if (this.#hasClaim && !ran) this.#context.claims.release(this.call);
    this.#context.ended(this);
    if (!this.#hasSlot) return;
    this.#hasSlot = false;
    const released = this.#context.admission
      .release(this.rank, serviceMs, nowMs);
    this.#context.apply(released);
  }
}

function isOverloadStatus(status: number): boolean {
  return status === 503 || status === 429;
}

/** Says whether a running request may be broken off; else its end is recorded. */
function isInterruptible(delivery: Delivery): boolean {
  switch (delivery) {
    case Delivery.Idempotent:
      return true;
    case Delivery.AtMostOnce:
      return false;
  }
}
