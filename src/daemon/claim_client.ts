import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import { create } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import {
  checkKey,
  claimKey,
  type ClaimScope,
  issueTimeMs,
  partitionOf,
} from "../coordination/claims/idempotency_key.ts";
import { HolderSelector } from "../coordination/claims/holder_selector.ts";
import type { Call } from "../protocol/call.ts";
import {
  type ClaimRequest,
  ClaimRequestSchema,
  type ClaimResponse,
  ClaimResponseSchema,
  ClaimState,
  type CompleteClaimRequest,
  CompleteClaimRequestSchema,
  type Member,
  type StoredAnswer,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { Reason } from "../protocol/outcome.ts";
import { FailureKind, type StepError } from "../protocol/step_error.ts";
import type { MemberTable } from "../state/member_table.ts";
import type {
  FleetClients,
  PeerClient,
} from "../transport/control/fleet_client.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { refuseClaim } from "./claim_holder.ts";
import type { ClaimTask } from "./claim_task.ts";
import { monotonicMs } from "./clocks.ts";
import { controlAddress } from "./control_address.ts";

/** Timeouts of a call to a holder in the same and in another domain, in ms. */
const CALL_TIMEOUT_MS = 2_000;
const REMOTE_CALL_TIMEOUT_MS = 750;
/** Longest wait for a partition to get a new holder, in ms. */
const HANDOVER_WAIT_MS = 2_500;
/** Most attempts to record the end of a request. */
const MAX_COMPLETE_ATTEMPTS = 5;
/** Pause between attempts, in ms; grows with each attempt to record an end. */
const RETRY_PAUSE_MS = 100;

/** Options of a {@linkcode ClaimClient}. */
export interface ClaimClientOptions {
  readonly members: MemberTable;
  readonly clients: FleetClients;
  readonly task: ClaimTask;
  /** Id and failure domain of this daemon. */
  readonly selfId: string;
  readonly domain: string;
  readonly log: EventLog;
  readonly partitions: number;
  readonly windowMs: number;
}

/**
 * Claims idempotency keys for calls with at-most-once delivery.
 *
 * @example
 * ```ts ignore
 * const response = await claims.claim(call);
 * ```
 */
export class ClaimClient {
  readonly #options: ClaimClientOptions;
  readonly #holders: HolderSelector;

  /**
   * Creates a client.
   *
   * @param options Members, control clients and local partitions.
   */
  constructor(options: ClaimClientOptions) {
    this.#options = options;
    this.#holders = new HolderSelector(options.members, options.domain);
  }

  /**
   * Claims the key of a call.
   *
   * A claim whose response was lost is sent again under the same request id,
   * which the holder recognizes.
   *
   * @param call The call.
   * @returns The holder's response; state unknown if none could be obtained.
   */
  async claim(call: Call): Promise<ClaimResponse> {
    const keyCheck = checkKey(
      call.idempotencyKey,
      this.#options.windowMs,
      Date.now(),
    );
    if (keyCheck.kind === "refused") return refuseClaim(keyCheck.reason);
    const request = this.#createRequest(call);
    const handoverDeadlineMs = monotonicMs() + HANDOVER_WAIT_MS;
    let wasAmbiguous = false;
    while (monotonicMs() < call.deadlineMs) {
      const response = await this.#claimOnce(request);
      if (response === NO_HOLDER && monotonicMs() < handoverDeadlineMs) {
        await sleep(RETRY_PAUSE_MS);
        continue;
      }
      if (response.state !== ClaimState.UNKNOWN) {
        // A refusal after a lost response does not prove that no claim is held.
        const isInconclusive = wasAmbiguous &&
          response.state === ClaimState.REFUSED;
        return isInconclusive ? createUnknownResponse() : response;
      }
      wasAmbiguous = true;
      await sleep(RETRY_PAUSE_MS);
    }
    return createUnknownResponse();
  }

  /**
   * Records the response of a claimed call, in the background.
   *
   * @param call The call.
   * @param answer Its response.
   */
  complete(call: Call, answer: StoredAnswer): void {
    void this.#completeWithRetries(create(CompleteClaimRequestSchema, {
      ...this.#identityOf(call),
      answer,
    }));
  }

  /**
   * Releases the claim of a call that did not run, in the background.
   *
   * @param call The call.
   */
  release(call: Call): void {
    void this.#completeWithRetries(create(CompleteClaimRequestSchema, {
      ...this.#identityOf(call),
      released: true,
    }));
  }

  /** Asks the holder, or its substitutes if it cannot be reached. */
  async #claimOnce(request: ClaimRequest): Promise<ClaimResponse> {
    const { task, selfId } = this.#options;
    if (task.holds(request.partition)) return await task.claim(request);
    let lastRefusal: ClaimResponse = NO_HOLDER;
    for (
      const holder of this.#holders.candidates(request.partition, monotonicMs())
    ) {
      const response = holder.id === selfId
        ? await task.claim(request)
        : await this.#claimAt(holder, request);
      if (!isUndecided(response)) return response;
      if (response !== NO_HOLDER) lastRefusal = response;
    }
    return lastRefusal;
  }

  async #claimAt(
    holder: Member,
    request: ClaimRequest,
  ): Promise<ClaimResponse> {
    const result = await this.#callHolder(
      holder,
      "claim",
      (peer, options) => peer.claim(request, options),
    );
    if (result.isOk()) return result.value;
    this.#options.log.warn("claim-failed", {
      partition: request.partition,
      peer: result.error.peer,
      error: result.error.message,
    });
    return result.error.kind === FailureKind.Unavailable
      ? NO_HOLDER
      : createUnknownResponse();
  }

  async #completeWithRetries(request: CompleteClaimRequest): Promise<void> {
    for (let attempt = 1; attempt <= MAX_COMPLETE_ATTEMPTS; attempt++) {
      if (await this.#completeOnce(request)) return;
      await sleep(RETRY_PAUSE_MS * attempt);
    }
    this.#options.log.warn("claim-end-not-recorded", {
      partition: request.partition,
      request: request.requestId,
    });
  }

  async #completeOnce(request: CompleteClaimRequest): Promise<boolean> {
    const { task, selfId } = this.#options;
    if (task.holds(request.partition)) return await task.complete(request);
    for (
      const holder of this.#holders.candidates(request.partition, monotonicMs())
    ) {
      const isRecorded = holder.id === selfId
        ? await task.complete(request)
        : await this.#completeAt(holder, request);
      if (isRecorded) return true;
    }
    return false;
  }

  async #completeAt(
    holder: Member,
    request: CompleteClaimRequest,
  ): Promise<boolean> {
    const result = await this.#callHolder(
      holder,
      "complete-claim",
      (peer, options) => peer.completeClaim(request, options),
    );
    return result.isOk() && result.value.recorded;
  }

  /** Calls a holder and records whether it could be reached. */
  async #callHolder<T>(
    holder: Member,
    step: string,
    run: (peer: PeerClient, options: { timeoutMs: number }) => Promise<T>,
  ): Promise<Result<T, StepError>> {
    const { clients, domain } = this.#options;
    const timeoutMs = holder.domain === domain
      ? CALL_TIMEOUT_MS
      : REMOTE_CALL_TIMEOUT_MS;
    const result = await clients
      .call(controlAddress(holder), step, run, { timeoutMs });
    if (result.isOk()) this.#holders.recordSuccess(holder.id);
    else this.#holders.recordFailure(holder.id, monotonicMs());
    return result;
  }

  #createRequest(call: Call): ClaimRequest {
    return create(ClaimRequestSchema, {
      ...this.#identityOf(call),
      content: Buffer.from(call.contentDigest, "base64url"),
      issuedAtMs: issueTimeMs(call.idempotencyKey!),
    });
  }

  #identityOf(call: Call) {
    const scope: ClaimScope = {
      service: call.service,
      caller: call.caller,
      key: call.idempotencyKey!,
    };
    return {
      partition: partitionOf(scope, this.#options.partitions),
      key: claimKey(scope),
      requestId: call.id,
    };
  }
}

/** The partition has no reachable holder at present; nothing was written. */
const NO_HOLDER = refuseClaim(Reason.ClaimUnavailable);

/** Whether nothing was written or decided, so another holder may be asked. */
function isUndecided(response: ClaimResponse): boolean {
  return response.state === ClaimState.REFUSED &&
    response.reason === Reason.ClaimUnavailable;
}

function createUnknownResponse(): ClaimResponse {
  return create(ClaimResponseSchema, { state: ClaimState.UNKNOWN });
}
