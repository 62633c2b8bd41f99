import { setTimeout as sleep } from "node:timers/promises";
import { create } from "@bufbuild/protobuf";
import { ClaimLog } from "../coordination/claims/claim_log.ts";
import { ClaimPartition } from "../coordination/claims/claim_partition.ts";
import {
  type ClaimEntry,
  type ClaimRequest,
  type ClaimResponse,
  ClaimResponseSchema,
  ClaimState,
  type CompleteClaimRequest,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { Reason } from "../protocol/outcome.ts";
import type { StepError } from "../protocol/step_error.ts";
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
/** Longest time for which a claim waits for the partition to load, in ms. */
const LOAD_WAIT_MS = 1_000;
/** Shortest time between two looks at what others committed, in ms. */
const LOOK_PERIOD_MS = 1_000;

/** Holders that this process has had. */
let holders = 0;

type Waiter = (isDurable: boolean) => void;

/** What a {@linkcode ClaimHolder} needs. */
export interface ClaimHolderOptions {
  readonly selfId: string;
  readonly store: Store;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly windowMs: number;
  readonly commitIntervalMs: number;
}

/**
 * Makes the claims of one partition durable, many in one commit.
 *
 * One commit is under way at a time. What arrives meanwhile goes into the next
 * one, so that the store's writes do not grow with the claims. Where another
 * holder commits to the same partition, the two take turns.
 *
 * @example
 * ```ts ignore
 * const holder = new ClaimHolder(3, options);
 * const response = await holder.claim(request);
 * ```
 */
export class ClaimHolder {
  readonly #partitionNumber: number;
  readonly #options: ClaimHolderOptions;
  readonly #partition: ClaimPartition;
  readonly #log: ClaimLog;
  readonly #loading: Promise<void>;
  #waiters: Waiter[] = [];
  #isReady = false;
  #isStopped = false;
  #committing = false;
  #commitStartedMs = 0;
  #lastCommitMs = -Infinity;
  #lookedAtMs = -Infinity;

  /**
   * Starts to load the partition.
   *
   * @param partition Number of the partition.
   * @param options Store, log and timing.
   */
  constructor(partition: number, options: ClaimHolderOptions) {
    this.#partitionNumber = partition;
    this.#options = options;
    this.#partition = new ClaimPartition(options.windowMs);
    this.#log = new ClaimLog(options.store, {
      partition,
      // Not even an earlier holder of this process has the same name.
      writer: `${options.selfId}/${++holders}`,
    });
    this.#loading = this.#load();
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
    if (!await this.#isOpen() || this.#isStalled()) {
      return refusedClaim(Reason.ClaimUnavailable);
    }
    let decision = this.#partition.claim(request, Date.now());
    if (decision.response.state === ClaimState.HELD) {
      // Another holder may have recorded its end.
      await this.#lookAtOthers();
      decision = this.#partition.claim(request, Date.now());
    }
    switch (decision.kind) {
      case "answer":
        return decision.response;
      case "await-commit": {
        const isDurable = await this.#durable();
        return isDurable
          ? this.#partition.answerAfterCommit(request)
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
    // An end is taken while commits are stalled too: it must not be lost.
    if (!await this.#isOpen()) return false;
    if (!this.#partition.complete(request)) {
      // Another holder may have granted the claim.
      await this.#lookAtOthers();
      if (!this.#partition.complete(request)) return false;
    }
    return await this.#durable();
  }

  /** Gives up the partition; claims under way end as unknown. */
  stop(): void {
    this.#isStopped = true;
    for (const waiter of this.#waiters.splice(0)) waiter(false);
  }

  /** Waits a while for the partition to load. */
  async #isOpen(): Promise<boolean> {
    if (!this.#isReady) {
      await Promise.race([
        this.#loading,
        sleep(LOAD_WAIT_MS, undefined, { ref: false }),
      ]);
    }
    return this.#isReady && !this.#isStopped;
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

  /** Takes in what others committed, unless a commit will find it out anyway. */
  async #lookAtOthers(): Promise<void> {
    const nowMs = monotonicMs();
    if (this.#committing || nowMs - this.#lookedAtMs < LOOK_PERIOD_MS) return;
    this.#lookedAtMs = nowMs;
    this.#committing = true;
    const result = await this.#log.catchUp();
    if (result.isOk()) this.#partition.rebase(result.value, []);
    this.#committing = false;
    if (this.#waiters.length > 0) void this.#commitLoop();
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
    const entries = this.#partition.takeBatch();
    this.#commitStartedMs = monotonicMs();
    const isDurable = await this.#appendUntilSettled(entries);
    this.#lastCommitMs = monotonicMs();
    this.#commitStartedMs = 0;
    for (const waiter of waiters) waiter(isDurable);
    this.#options.metrics.count("claims.committed", entries.length);
    if (isDurable && this.#log.shouldCompact) await this.#compact();
  }

  /** Writes entries until they are durable, or overruled by another holder's. */
  async #appendUntilSettled(entries: readonly ClaimEntry[]): Promise<boolean> {
    let left = entries;
    while (!this.#isStopped) {
      if (left.length === 0) return true;
      const result = await this.#log.append(left);
      if (result.isErr()) {
        this.#report("claims-commit-failed", result.error);
        await sleep(RETRY_PAUSE_MS);
        continue;
      }
      switch (result.value.kind) {
        case "durable":
          return true;
        case "conflict":
          left = this.#partition.rebase(result.value.committed, left);
          this.#options.metrics.count("claims.conflicts");
      }
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
