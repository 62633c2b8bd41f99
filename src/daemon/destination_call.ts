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
import { ResponseRecorder } from "./response_recorder.ts";
import { Diagnosis } from "./backend_task.ts";
import { interpretClaimResponse } from "./claim_result.ts";
import { monotonicMs } from "./clocks.ts";
import type { DestinationContext } from "./destination.ts";

enum Phase {
  Waiting = "waiting",
  Claiming = "claiming",
  Running = "running",
  Ended = "ended",
}

/**
 * One call at its destination, from admission to the end of its response.
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
  #deadlineTimer: NodeJS.Timeout | undefined;
  #startedAtMs = 0;
  #hasSlot = false;
  #hasClaim = false;
  #head: AnswerHead | undefined;
  readonly #recorder = new ResponseRecorder();

  /**
   * Creates a call that has not requested a slot yet.
   *
   * @param call The call.
   * @param parts Service, receiver of the response, and the destination.
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

  /** Whether the request was sent to the backend server. */
  get isRunning(): boolean {
    return this.#phase === Phase.Running;
  }

  /** Requests a slot, after the claim where the service requires one. */
  admit(): void {
    const nowMs = monotonicMs();
    const remainingMs = this.deadlineMs - nowMs;
    if (remainingMs <= 0) return this.refuse(notRun(Reason.DeadlineExceeded));
    const { admission } = this.#context;
    if (this.call.isRedirectable && !admission.hasFreeSlot(this.rank, nowMs)) {
      return this.refuse(notRun(Reason.Busy, true));
    }
    this.#deadlineTimer = setTimeout(() => this.#onDeadline(), remainingMs);
    if (this.#service.delivery === Delivery.AtMostOnce) void this.#claim();
    else this.#requestSlot();
  }

  /** Runs the call in the slot that was assigned to it. */
  start(): void {
    this.#hasSlot = true;
    this.#run();
  }

  /**
   * Ends the call with a refusal.
   *
   * @param refusal Outcome and reason.
   */
  refuse(refusal: Refusal): void {
    const sink = this.#sink;
    this.#sink = undefined;
    this.#end(undefined);
    sink?.onRefused(refusal);
  }

  /** Cancels a waiting call, which is reported to its sender as not run. */
  settleNotRun(): void {
    const isPending = this.#phase === Phase.Waiting ||
      this.#phase === Phase.Claiming;
    if (isPending) this.refuse(notRun(Reason.Cancelled));
  }

  cancel(): void {
    this.#sink = undefined;
    switch (this.#phase) {
      case Phase.Waiting:
        return this.#end(undefined);
      case Phase.Running:
        if (isInterruptible(this.#service.delivery)) this.#abort();
        return;
      case Phase.Claiming:
      case Phase.Ended:
        return;
    }
  }

  resume(): void {
    this.#exchange?.resume();
  }

  #requestSlot(): void {
    const decision = this.#context.admission.admit(this, monotonicMs());
    switch (decision.kind) {
      case "start":
        return this.start();
      case "queued":
        return;
      case "refused": {
        // Another destination may have a free slot. That is no use when the
        // remaining time is too short, or when the claim has to be released
        // first.
        const isRetryable = decision.reason === Reason.Overloaded &&
          !this.#hasClaim;
        return this.refuse(notRun(decision.reason, isRetryable));
      }
    }
  }

  /** Claims the key first, so that no slot is idle while the claim is made. */
  async #claim(): Promise<void> {
    this.#phase = Phase.Claiming;
    const response = await this.#context.claims.claim(this.call);
    if (this.#phase !== Phase.Claiming) {
      if (response.state === ClaimState.GRANTED) {
        this.#context.claims.release(this.call);
      }
      return;
    }
    const result = interpretClaimResponse(response);
    switch (result.kind) {
      case "granted":
        this.#hasClaim = true;
        this.#phase = Phase.Waiting;
        return this.#requestSlot();
      case "replay":
        return this.#replay(result.answer);
      case "refused":
        if (result.mayBeHeld) this.#context.claims.release(this.call);
        return this.refuse(result.refusal);
    }
  }

  /** Answers a repeated request with the stored response of its first run. */
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
    const pool = this.#context.backend.poolOf(this.rank);
    const canRun = pool !== undefined && this.deadlineMs > monotonicMs() &&
      this.#context.ledger.start(this.id);
    if (!canRun) return this.refuse(notRun(Reason.NotReady, !this.#hasClaim));
    this.#phase = Phase.Running;
    this.#pool = pool;
    this.#startedAtMs = monotonicMs();
    this.#exchange = Exchange.send(pool, {
      method: this.call.method,
      path: this.call.path,
      headers: this.#createHeaders(),
      body: this.call.body,
    }, {
      onHead: (head) => this.#onHead(head),
      onData: (chunk) => this.#onData(chunk),
      onEnd: () => this.#onEnd(),
      onError: (error, sent) => void this.#onError(error, sent),
    });
  }

  #createHeaders(): string[] {
    const remainingMs = Math.max(
      1,
      Math.floor(this.deadlineMs - monotonicMs()),
    );
    return [
      ...this.call.headers,
      HEADER_REQUEST_ID,
      this.id,
      HEADER_CALLER,
      this.call.caller,
      HEADER_TIMEOUT_MS,
      String(remainingMs),
    ];
  }

  #onHead(head: AnswerHead): void {
    const echoed = singleHeader(head.headers, HEADER_REQUEST_ID);
    if (echoed !== undefined && echoed !== this.id) {
      this.#abort();
      return this.#fail(unknownOutcome(Reason.AnswerMismatch));
    }
    this.#head = head;
    if (isOverloadStatus(head.status)) {
      this.#context.admission.limit.recordOverload(monotonicMs());
    }
    if (head.status >= 500 && !isOverloadStatus(head.status)) {
      this.#context.backend.recordFailure();
    } else this.#context.backend.recordSuccess();
    this.#sink?.onHead(head);
  }

  #onData(chunk: Uint8Array): boolean {
    if (this.#hasClaim) this.#recorder.add(chunk);
    // Without a receiver the response is read to its end and discarded.
    return this.#sink?.onData(chunk) ?? true;
  }

  #onEnd(): void {
    if (this.#phase !== Phase.Running) return;
    const head = this.#head!;
    if (head.status < 500) {
      this.#context.recordServed(this.call.fingerprint);
    }
    if (this.#hasClaim) {
      this.#context.claims.complete(
        this.call,
        this.#recorder.toStoredAnswer(head),
      );
    }
    const sink = this.#sink;
    this.#end(monotonicMs() - this.#startedAtMs);
    sink?.onEnd();
  }

  async #onError(error: Error, isSent: boolean): Promise<void> {
    if (this.#phase !== Phase.Running) return;
    // Any request that was running when the connection broke may be the cause.
    this.#context.recordCrashSuspects();
    const diagnosis = await this.#context.backend.diagnose(this.#pool!);
    if (this.#phase !== Phase.Running) return;
    if (!isSent && this.#head === undefined) return this.#failUnsent();
    if (diagnosis === Diagnosis.Crashed) {
      this.#context.reportCrash();
      return this.#fail({
        ...unknownOutcome(Reason.BackendCrashed),
        isRetryable: true,
      }, error);
    }
    this.#context.backend.recordFailure();
    this.#fail(
      { ...unknownOutcome(Reason.BackendFailed), isRetryable: true },
      error,
    );
  }

  /** The connection could not be opened, so the request did not run. */
  #failUnsent(): void {
    const isRetryable = !this.#hasClaim;
    this.#phase = Phase.Waiting;
    this.refuse(notRun(Reason.BackendFailed, isRetryable));
  }

  #fail(refusal: Refusal, cause?: Error): void {
    const sink = this.#sink;
    const hasHead = this.#head !== undefined && cause !== undefined;
    this.#sink = undefined;
    this.#end(undefined);
    if (!hasHead) return sink?.onRefused(refusal);
    sink?.onAborted(
      new StepError(
        FailureKind.Ambiguous,
        "read-answer",
        `Cannot read the response: ${cause.message}`,
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
    this.#context.backend.recordFailure();
    this.#context.admission.limit.recordOverload(monotonicMs());
    if (isInterruptible(this.#service.delivery)) {
      this.#exchange?.cancel();
      return this.#fail(
        unknownOutcome(Reason.DeadlineExceeded),
        this.#head === undefined ? undefined : new Error("deadline exceeded"),
      );
    }
    // The request keeps running, so that its response is recorded.
    const sink = this.#sink;
    this.#sink = undefined;
    if (this.#head === undefined) {
      sink?.onRefused(unknownOutcome(Reason.DeadlineExceeded));
    } else {
      sink?.onAborted(
        new StepError(
          FailureKind.Ambiguous,
          "read-answer",
          "Cannot read the response: deadline exceeded",
          { peer: this.call.service },
        ),
      );
    }
  }

  #abort(): void {
    this.#exchange?.cancel();
    this.#end(undefined);
  }

  /** Ends the call and releases its slot; later calls have no effect. */
  #end(serviceMs: number | undefined): void {
    if (this.#phase === Phase.Ended) return;
    const hasRun = this.#phase === Phase.Running;
    const wasWaiting = this.#phase === Phase.Waiting && !this.#hasSlot;
    this.#phase = Phase.Ended;
    clearTimeout(this.#deadlineTimer);
    const nowMs = monotonicMs();
    if (hasRun) this.#context.ledger.finish(this.id, nowMs);
    else this.#context.ledger.refuse(this.id, nowMs);
    if (wasWaiting) this.#context.admission.cancel(this);
    if (this.#hasClaim && !hasRun) this.#context.claims.release(this.call);
    this.#context.remove(this);
    if (!this.#hasSlot) return;
    this.#hasSlot = false;
    const released = this.#context.admission
      .release(this.rank, serviceMs, nowMs);
    this.#context.applyReleased(released);
  }
}

function isOverloadStatus(status: number): boolean {
  return status === 503 || status === 429;
}

/** Whether a running request may be aborted; if not, its result is recorded. */
function isInterruptible(delivery: Delivery): boolean {
  switch (delivery) {
    case Delivery.Idempotent:
      return true;
    case Delivery.AtMostOnce:
      return false;
  }
}
