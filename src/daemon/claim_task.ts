import { claimSlot, READER_PREFIX } from "../coordination/slots/slot_keeper.ts";
import type {
  ClaimRequest,
  ClaimResponse,
  CompleteClaimRequest,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { Reason } from "../protocol/outcome.ts";
import {
  ClaimHolder,
  type ClaimHolderOptions,
  refusedClaim,
} from "./claim_holder.ts";
import { monotonicMs } from "./clocks.ts";
import type { FleetBus, HeldSlot } from "./fleet_bus.ts";

/** Shortest time between two commits of a substitute, in ms. */
const MIN_SUBSTITUTE_INTERVAL_MS = 250;
/** Time after which an unused substitute ends, in ms. */
const SUBSTITUTE_IDLE_TIMEOUT_MS = 10_000;
/** Time between two looks at the substitutes, in ms. */
const SWEEP_PERIOD_MS = 2_000;

/** What a {@linkcode ClaimTask} needs. */
export interface ClaimTaskOptions extends ClaimHolderOptions {
  readonly bus: FleetBus;
  readonly partitions: number;
}

/** A holder without the partition's slot. */
interface Substitute {
  readonly holder: ClaimHolder;
  /** Monotonic time at which it ends unless it is used again. */
  expiresAtMs: number;
}

/** A holder by the partition's slot. */
interface HeldPartition {
  readonly holder: ClaimHolder;
  /** Store revision at which the slot was taken. */
  readonly epoch: number;
}

/**
 * Holds the claim partitions whose slots this daemon was given.
 *
 * A reader of its failure domain also stands in for holders that the domain
 * cannot reach: it commits to the same log, more slowly, and takes the slot
 * once the holder has lost it.
 *
 * @example
 * ```ts ignore
 * const task = new ClaimTask(options);
 * const response = await task.claim(request);
 * ```
 */
export class ClaimTask {
  readonly #options: ClaimTaskOptions;
  readonly #held = new Map<number, HeldPartition>();
  readonly #substitutes = new Map<number, Substitute>();
  #isReader = false;
  #sweepTimer: NodeJS.Timeout | undefined;

  /**
   * Creates a task that follows the bus.
   *
   * @param options Bus, store and timing.
   */
  constructor(options: ClaimTaskOptions) {
    this.#options = options;
    options.bus.on("slotsChanged", ({ held }) => this.#onSlotsChanged(held));
  }

  /** Number of claims in the partitions held here. */
  get size(): number {
    let size = 0;
    for (const { holder } of this.#held.values()) size += holder.size;
    return size;
  }

  /**
   * Says whether a partition's slot is held here.
   *
   * @param partition Number of the partition.
   * @returns Whether claims can be made directly.
   */
  holds(partition: number): boolean {
    return this.#held.has(partition);
  }

  /**
   * Claims a key, as the holder of its partition or in the holder's place.
   *
   * @param request The claim.
   * @returns The answer; refused where this daemon does neither.
   */
  async claim(request: ClaimRequest): Promise<ClaimResponse> {
    const holder = this.#holderOf(request.partition);
    return holder === undefined
      ? refusedClaim(Reason.ClaimUnavailable)
      : await holder.claim(request);
  }

  /**
   * Records the end of a claimed request.
   *
   * @param request Answer or release.
   * @returns Whether it is durable.
   */
  async complete(request: CompleteClaimRequest): Promise<boolean> {
    const holder = this.#holderOf(request.partition);
    return holder === undefined ? false : await holder.complete(request);
  }

  /** Gives up all partitions. */
  stop(): void {
    this.#isReader = false;
    clearInterval(this.#sweepTimer);
    for (const { holder } of this.#held.values()) holder.stop();
    this.#held.clear();
    this.#stopSubstitutes(() => true);
  }

  #holderOf(partition: number): ClaimHolder | undefined {
    const held = this.#held.get(partition);
    if (held !== undefined) return held.holder;
    if (!this.#isReader || partition >= this.#options.partitions) {
      return undefined;
    }
    let substitute = this.#substitutes.get(partition);
    if (substitute === undefined) {
      substitute = {
        holder: this.#createSubstitute(partition),
        expiresAtMs: 0,
      };
      this.#substitutes.set(partition, substitute);
    }
    substitute.expiresAtMs = monotonicMs() + SUBSTITUTE_IDLE_TIMEOUT_MS;
    return substitute.holder;
  }

  #createSubstitute(partition: number): ClaimHolder {
    const { log, commitIntervalMs } = this.#options;
    log.warn("claims-substituted", { partition });
    this.#suspect(partition);
    this.#sweepTimer ??= setInterval(() => this.#sweep(), SWEEP_PERIOD_MS);
    return new ClaimHolder(partition, {
      ...this.#options,
      commitIntervalMs: Math.max(commitIntervalMs, MIN_SUBSTITUTE_INTERVAL_MS),
    });
  }

  #suspect(partition: number): void {
    void this.#options.bus.emit("slotHolderUnreachable", {
      name: claimSlot(partition),
    });
  }

  /** Ends what is not used, and looks whether the slots of the rest are free. */
  #sweep(): void {
    const nowMs = monotonicMs();
    this.#stopSubstitutes((_, { expiresAtMs }) => expiresAtMs <= nowMs);
    for (const partition of this.#substitutes.keys()) this.#suspect(partition);
    if (this.#substitutes.size > 0) return;
    clearInterval(this.#sweepTimer);
    this.#sweepTimer = undefined;
  }

  #stopSubstitutes(
    shouldStop: (partition: number, substitute: Substitute) => boolean,
  ): void {
    for (const [partition, substitute] of this.#substitutes) {
      if (!shouldStop(partition, substitute)) continue;
      substitute.holder.stop();
      this.#substitutes.delete(partition);
    }
  }

  #onSlotsChanged(slots: readonly HeldSlot[]): void {
    this.#isReader = slots.some((slot) => slot.name.startsWith(READER_PREFIX));
    for (let partition = 0; partition < this.#options.partitions; partition++) {
      const slot = slots.find((candidate) =>
        candidate.name === claimSlot(partition)
      );
      const held = this.#held.get(partition);
      if (held !== undefined && held.epoch !== slot?.epoch) {
        held.holder.stop();
        this.#held.delete(partition);
      }
      if (slot === undefined || this.#held.has(partition)) continue;
      const holder = new ClaimHolder(partition, this.#options);
      this.#held.set(partition, { holder, epoch: slot.epoch });
    }
    this.#stopSubstitutes((partition) =>
      !this.#isReader || this.#held.has(partition)
    );
  }
}
