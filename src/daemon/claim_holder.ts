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

/** Pause before a failed commit is retried, in ms. */
const COMMIT_RETRY_PAUSE_MS = 200;
/** Age of a running commit from which new claims are refused, in ms. */
const COMMIT_STALL_MS = 1_000;
/** Pause before a failed load is retried, in ms. */
const LOAD_RETRY_PAUSE_MS = 500;
/** Longest wait of a claim for the partition to load, in ms. */
const MAX_LOAD_WAIT_MS = 1_000;
/** Shortest time between two reads of other holders' commits, in ms. */
const POLL_PERIOD_MS = 1_000;

/** Number of holders that this process has created. */
let holderCount = 0;

type Waiter = (isDurable: boolean) => void;

/** Options of a {@linkcode ClaimHolder}. */
export interface ClaimHolderOptions {
  readonly selfId: string;
  readonly store: Store;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly windowMs: number;
  readonly commitIntervalMs: number;
}

/**
 * Decides the claims of one partition and commits them to the store in batches.
 *
 * One commit runs at a time. Claims that arrive meanwhile go into the next one,
 * so that the number of writes to the store does not grow with the claims. If
 * another holder commits to the same partition, the two take turns.
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
  readonly #loaded: Promise<void>;
  #waiters: Waiter[] = [];
  #isReady = false;
  #isStopped = false;
  #isCommitting = false;
  #commitStartedAtMs = 0;
  #lastCommitAtMs = -Infinity;
  #polledAtMs = -Infinity;

  /**
   * Creates a holder and starts to load the partition.
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
      // Unique, also among the holders that this process created earlier.
      writer: `${options.selfId}/${++holderCount}`,
    });
    this.#loaded = this.#load();
  }

  /** Number of claims in memory. */
  get size(): number {
    return this.#partition.size;
  }

  /**
   * Claims a key.
   *
   * @param request The claim.
   * @returns The response; a grant only once it is durable.
   */
  async claim(request: ClaimRequest): Promise<ClaimResponse> {
    if (!await this.#waitUntilReady() || this.#isStalled()) {
      return refuseClaim(Reason.ClaimUnavailable);
    }
    let decision = this.#partition.claim(request, Date.now());
    if (decision.response.state === ClaimState.HELD) {
      // Another holder may have recorded the end of the request.
      await this.#pollLog();
      decision = this.#partition.claim(request, Date.now());
    }
    switch (decision.kind) {
      case "answer":
        return decision.response;
      case "await-commit": {
        const isDurable = await this.#waitUntilDurable();
        return isDurable
          ? this.#partition.answerAfterCommit(request)
          : create(ClaimResponseSchema, { state: ClaimState.UNKNOWN });
      }
    }
  }

  /**
   * Records the end of a claimed request.
   *
   * @param request Response or release.
   * @returns Whether the end is durable.
   */
  async complete(request: CompleteClaimRequest): Promise<boolean> {
    // Accepted even while commits are stalled, since an end must not be lost.
    if (!await this.#waitUntilReady()) return false;
    if (!this.#partition.complete(request)) {
      // Another holder may have granted the claim.
      await this.#pollLog();
      if (!this.#partition.complete(request)) return false;
    }
    return await this.#waitUntilDurable();
  }

  /** Stops the holder; pending claims end as unknown. */
  stop(): void {
    this.#isStopped = true;
    for (const waiter of this.#waiters.splice(0)) waiter(false);
  }

  /** Waits a limited time for the partition to load. */
  async #waitUntilReady(): Promise<boolean> {
    if (!this.#isReady) {
      await Promise.race([
        this.#loaded,
        sleep(MAX_LOAD_WAIT_MS, undefined, { ref: false }),
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
      await sleep(LOAD_RETRY_PAUSE_MS);
    }
  }

  /** Reads other holders' commits, unless a running commit does so anyway. */
  async #pollLog(): Promise<void> {
    const nowMs = monotonicMs();
    if (this.#isCommitting || nowMs - this.#polledAtMs < POLL_PERIOD_MS) return;
    this.#polledAtMs = nowMs;
    this.#isCommitting = true;
    const result = await this.#log.catchUp();
    if (result.isOk()) this.#partition.rebase(result.value, []);
    this.#isCommitting = false;
    if (this.#waiters.length > 0) void this.#commitLoop();
  }

  /** Waits until all pending entries are durable. */
  #waitUntilDurable(): Promise<boolean> {
    return new Promise((resolve) => {
      this.#waiters.push(resolve);
      if (!this.#isCommitting) void this.#commitLoop();
    });
  }

  async #commitLoop(): Promise<void> {
    this.#isCommitting = true;
    while (this.#waiters.length > 0 && !this.#isStopped) {
      const dueMs = this.#lastCommitAtMs + this.#options.commitIntervalMs;
      const waitMs = dueMs - monotonicMs();
      if (waitMs > 0 && !this.#partition.isBatchFull) await sleep(waitMs);
      await this.#commitOnce();
    }
    this.#isCommitting = false;
  }

  async #commitOnce(): Promise<void> {
    const waiters = this.#waiters.splice(0);
    const entries = this.#partition.takeBatch();
    this.#commitStartedAtMs = monotonicMs();
    const isDurable = await this.#appendUntilDurable(entries);
    this.#lastCommitAtMs = monotonicMs();
    this.#commitStartedAtMs = 0;
    for (const waiter of waiters) waiter(isDurable);
    this.#options.metrics.count("claims.committed", entries.length);
    if (isDurable && this.#log.shouldCompact) await this.#compact();
  }

  /** Writes entries until they are durable or overruled by another holder's. */
  async #appendUntilDurable(entries: readonly ClaimEntry[]): Promise<boolean> {
    let remaining = entries;
    while (!this.#isStopped) {
      if (remaining.length === 0) return true;
      const result = await this.#log.append(remaining);
      if (result.isErr()) {
        this.#report("claims-commit-failed", result.error);
        await sleep(COMMIT_RETRY_PAUSE_MS);
        continue;
      }
      switch (result.value.kind) {
        case "durable":
          return true;
        case "conflict":
          remaining = this.#partition.rebase(result.value.committed, remaining);
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
    return this.#commitStartedAtMs > 0 &&
      monotonicMs() - this.#commitStartedAtMs > COMMIT_STALL_MS;
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
 * Creates the response to a claim that was not written.
 *
 * @param reason Reason of the refusal.
 * @returns The response.
 *
 * @example
 * ```ts
 * refuseClaim(Reason.ClaimUnavailable).state; // ClaimState.REFUSED
 * ```
 */
export function refuseClaim(reason: Reason): ClaimResponse {
  return create(ClaimResponseSchema, { state: ClaimState.REFUSED, reason });
}
