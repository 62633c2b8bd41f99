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
import { refusedClaim } from "./claim_holder.ts";
import type { ClaimTask } from "./claim_task.ts";
import { monotonicMs } from "./clocks.ts";
import { controlAddress } from "./control_address.ts";

/** Longest time of one call to a holder of the own or another domain, in ms. */
const CALL_TIMEOUT_MS = 2_000;
const FAR_CALL_TIMEOUT_MS = 750;
/** Time for which a claim waits for a partition to change hands, in ms. */
const HANDOVER_MS = 2_500;
/** Attempts to record the end of a request. */
const COMPLETE_ATTEMPTS = 5;
/** Pause between attempts, in ms; it grows with each. */
const PAUSE_MS = 100;

/** What a {@linkcode ClaimClient} needs. */
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
 * Makes the claims of calls that may run at most once.
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
   * @param options Members, control calls and the own partitions.
   */
  constructor(options: ClaimClientOptions) {
    this.#options = options;
    this.#holders = new HolderSelector(options.members, options.domain);
  }

  /**
   * Claims the key of a call.
   *
   * A call whose answer was lost is made again under the same id, which the
   * holder recognizes.
   *
   * @param call The call.
   * @returns The holder's answer; unknown where it could not be learned.
   */
  async claim(call: Call): Promise<ClaimResponse> {
    const verdict = checkKey(
      call.idempotencyKey,
      this.#options.windowMs,
      Date.now(),
    );
    if (verdict.kind === "refused") return refusedClaim(verdict.reason);
    const request = this.#request(call);
    const waitUntilMs = monotonicMs() + HANDOVER_MS;
    let isAmbiguous = false;
    while (monotonicMs() < call.deadlineMs) {
      const response = await this.#claimOnce(request);
      if (response === NO_HOLDER && monotonicMs() < waitUntilMs) {
        await sleep(PAUSE_MS);
        continue;
      }
      if (response.state !== ClaimState.UNKNOWN) {
        // A refusal after a lost answer does not prove that nothing is held.
        const isDoubtful = isAmbiguous && response.state === ClaimState.REFUSED;
        return isDoubtful ? unknownClaim() : response;
      }
      isAmbiguous = true;
      await sleep(PAUSE_MS);
    }
    return unknownClaim();
  }

  /**
   * Records the answer of a claimed call, in the background.
   *
   * @param call The call.
   * @param answer Its answer.
   */
  complete(call: Call, answer: StoredAnswer): void {
    void this.#completeUntilDone(create(CompleteClaimRequestSchema, {
      ...this.#identity(call),
      answer,
    }));
  }

  /**
   * Gives up the claim of a call that did not run, in the background.
   *
   * @param call The call.
   */
  release(call: Call): void {
    void this.#completeUntilDone(create(CompleteClaimRequestSchema, {
      ...this.#identity(call),
      released: true,
    }));
  }

  /** Asks the holder, and what stands in for it where it can not be asked. */
  async #claimOnce(request: ClaimRequest): Promise<ClaimResponse> {
    const { task, selfId } = this.#options;
    if (task.holds(request.partition)) return await task.claim(request);
    let last: ClaimResponse = NO_HOLDER;
    for (
      const holder of this.#holders.candidates(request.partition, monotonicMs())
    ) {
      const response = holder.id === selfId
        ? await task.claim(request)
        : await this.#claimAt(holder, request);
      if (!isUndecided(response)) return response;
      if (response !== NO_HOLDER) last = response;
    }
    return last;
  }

  async #claimAt(
    holder: Member,
    request: ClaimRequest,
  ): Promise<ClaimResponse> {
    const result = await this.#ask(
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
      : unknownClaim();
  }

  async #completeUntilDone(request: CompleteClaimRequest): Promise<void> {
    for (let attempt = 1; attempt <= COMPLETE_ATTEMPTS; attempt++) {
      if (await this.#completeOnce(request)) return;
      await sleep(PAUSE_MS * attempt);
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
    const result = await this.#ask(
      holder,
      "complete-claim",
      (peer, options) => peer.completeClaim(request, options),
    );
    return result.isOk() && result.value.recorded;
  }

  /** Calls a holder and remembers whether it could be reached. */
  async #ask<T>(
    holder: Member,
    step: string,
    run: (peer: PeerClient, options: { timeoutMs: number }) => Promise<T>,
  ): Promise<Result<T, StepError>> {
    const { clients, domain } = this.#options;
    const timeoutMs = holder.domain === domain
      ? CALL_TIMEOUT_MS
      : FAR_CALL_TIMEOUT_MS;
    const result = await clients
      .call(controlAddress(holder), step, run, { timeoutMs });
    if (result.isOk()) this.#holders.recordSuccess(holder.id);
    else this.#holders.recordFailure(holder.id, monotonicMs());
    return result;
  }

  #request(call: Call): ClaimRequest {
    return create(ClaimRequestSchema, {
      ...this.#identity(call),
      content: Buffer.from(call.contentDigest, "base64url"),
      issuedAtMs: issueTimeMs(call.idempotencyKey!),
    });
  }

  #identity(call: Call) {
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

/** The partition changes hands, or its holder is gone: nothing was written. */
const NO_HOLDER = refusedClaim(Reason.ClaimUnavailable);

/** Whether nothing was written nor decided, so that another may be asked. */
function isUndecided(response: ClaimResponse): boolean {
  return response.state === ClaimState.REFUSED &&
    response.reason === Reason.ClaimUnavailable;
}

function unknownClaim(): ClaimResponse {
  return create(ClaimResponseSchema, { state: ClaimState.UNKNOWN });
}
