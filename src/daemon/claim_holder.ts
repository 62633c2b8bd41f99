import { setTimeout as sleep } from "node:timers/promises";
import { create } from "@bufbuild/protobuf";
import { ClaimLog } from "../coordination/claims/claim_log.ts";
import { ClaimPartition } from "../coordination/claims/claim_partition.ts";
import { claimSlot } from "../coordination/slots/slot_keeper.ts";
import {
  type ClaimBatch,
  type ClaimRequest,
  type ClaimResponse,
  ClaimResponseSchema,
  ClaimState,
  type CompleteClaimRequest,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { Reason } from "../protocol/outcome.ts";
import { FailureKind, type StepError } from "../protocol/step_error.ts";
import type { Store } from "../protocol/store.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import type { Metrics } from "../transport/observe/metrics.ts";
import { monotonicMs } from "./clocks.ts";

/** Pause before a failed commit is tried again, in ms. */
const RETRY_PAUSE_MS = 200;
/** Age of an unfinished commit from which new claims are refused, in ms. */
const STALL_MS = 1_000;
/** Pause before a failed load is tried again, in ms. */
const LOAD_RETRY_MS = 500;

type Waiter = (isDurable: boolean) => void;

/** What a {@linkcode ClaimHolder} needs. */
export interface ClaimHolderOptions {
  readonly store: Store;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly windowMs: number;
  readonly commitIntervalMs: number;
}

/**
 * Holds one claim partition for as long as its lease lasts.
 *
 * One commit is under way at a time. What arrives meanwhile goes into the next
 * one, so that the store's writes do not grow with the claims.
 *
 * @example
 * ```ts ignore
 * const holder = new ClaimHolder(3, { name, epoch }, options);
 * const response = await holder.claim(request);
 * ```
 */
export class ClaimHolder {
  readonly #partitionNumber: number;
  readonly #options: ClaimHolderOptions;
  readonly #partition: ClaimPartition;
  readonly #log: ClaimLog;
  readonly #epoch: number;
  #waiters: Waiter[] = [];
  #isReady = false;
  #isStopped = false;
  #committing = false;
  #commitStartedMs = 0;
  #lastCommitMs = -Infinity;

  /**
   * Starts to load the partition.
   *
   * @param partition Number of the partition.
   * @param epoch Store revision at which its slot was taken.
   * @param options Store, log and timing.
   */
  constructor(partition: number, epoch: number, options: ClaimHolderOptions) {
    this.#partitionNumber = partition;
    this.#epoch = epoch;
    this.#options = options;
    this.#partition = new ClaimPartition(options.windowMs);
    this.#log = new ClaimLog(options.store, {
      partition,
      slotKey: claimSlot(partition),
      epoch,
    });
    void this.#load();
  }

  /** Store revision at which the slot was taken. */
  get epoch(): number {
    return this.#epoch;
  }

  /** Number of claims that are kept. */
  get size(): number {
    return this.#partition.size;
  }

  /**
   * Claims a key.
   *
   * @param request The claim.
   * @returns The answer; a grant only once it is durable.
   */
  async claim(request: ClaimRequest): Promise<ClaimResponse> {
    if (!this.#isReady || this.#isStopped || this.#isStalled()) {
      return refusedClaim(Reason.ClaimUnavailable);
    }
    const decision = this.#partition.claim(request, Date.now());
    switch (decision.kind) {
      case "answer":
        return decision.response;
      case "await-commit": {
        const isDurable = await this.#durable();
        return isDurable
          ? decision.response
          : create(ClaimResponseSchema, { state: ClaimState.UNKNOWN });
      }
    }
  }

  /**
   * Records the end of a claimed request.
   *
   * @param request Answer or release.
   * @returns Whether it is durable.
   */
  async complete(request: CompleteClaimRequest): Promise<boolean> {
    if (!this.#isReady || this.#isStopped) return false;
    if (!this.#partition.complete(request)) return false;
    return await this.#durable();
  }

  /** Gives up the partition; claims under way end as unknown. */
  stop(): void {
    this.#isStopped = true;
    for (const waiter of this.#waiters.splice(0)) waiter(false);
  }

  async #load(): Promise<void> {
    while (!this.#isStopped) {
      const result = await this.#log.load();
      if (result.isOk()) {
        this.#partition.restore(result.value);
        this.#isReady = true;
        this.#options.log.info("claims-loaded", {
          partition: this.#partitionNumber,
          claims: this.#partition.size,
        });
        return;
      }
      this.#report("claims-load-failed", result.error);
      await sleep(LOAD_RETRY_MS);
    }
  }

  /** Waits until what is pending now is durable. */
  #durable(): Promise<boolean> {
    return new Promise((resolve) => {
      this.#waiters.push(resolve);
      if (!this.#committing) void this.#commitLoop();
    });
  }

  async #commitLoop(): Promise<void> {
    this.#committing = true;
    while (this.#waiters.length > 0 && !this.#isStopped) {
      const dueMs = this.#lastCommitMs + this.#options.commitIntervalMs;
      const waitMs = dueMs - monotonicMs();
      if (waitMs > 0 && !this.#partition.isBatchFull) await sleep(waitMs);
      await this.#commitOnce();
    }
    this.#committing = false;
  }

  async #commitOnce(): Promise<void> {
    const waiters = this.#waiters.splice(0);
    const batch = this.#partition
      .takeBatch(this.#epoch, this.#log.nextSequence);
    this.#commitStartedMs = monotonicMs();
    const isDurable = batch.entries.length === 0 ||
      await this.#appendUntilSettled(batch);
    this.#lastCommitMs = monotonicMs();
    this.#commitStartedMs = 0;
    for (const waiter of waiters) waiter(isDurable);
    this.#options.metrics.count("claims.committed", batch.entries.length);
    if (isDurable && this.#log.wantsCompaction) await this.#compact();
  }

  /** Writes the same batch until it is known to be durable or fenced. */
  async #appendUntilSettled(batch: ClaimBatch): Promise<boolean> {
    while (!this.#isStopped) {
      const result = await this.#log.append(batch);
      if (result.isOk()) return true;
      this.#report("claims-commit-failed", result.error);
      if (result.error.kind === FailureKind.Conflict) {
        this.stop();
        return false;
      }
      await sleep(RETRY_PAUSE_MS);
    }
    return false;
  }

  async #compact(): Promise<void> {
    const result = await this.#log.compact(this.#partition.entries);
    if (result.isErr()) this.#report("claims-compact-failed", result.error);
  }

  #isStalled(): boolean {
    return this.#commitStartedMs > 0 &&
      monotonicMs() - this.#commitStartedMs > STALL_MS;
  }

  #report(event: string, error: StepError): void {
    this.#options.log.warn(event, {
      partition: this.#partitionNumber,
      step: error.step,
      peer: error.peer,
      kind: error.kind,
      error: error.message,
    });
  }
}

/**
 * Builds the answer to a claim that was not written.
 *
 * @param reason Why not.
 * @returns The answer.
 *
 * @example
 * ```ts
 * refusedClaim(Reason.ClaimUnavailable).state; // ClaimState.REFUSED
 * ```
 */
export function refusedClaim(reason: Reason): ClaimResponse {
  return create(ClaimResponseSchema, { state: ClaimState.REFUSED, reason });
}
