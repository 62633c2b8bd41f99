import {
  claimSlotName,
  READER_SLOT_PREFIX,
} from "../coordination/slots/slot_planner.ts";
import type {
  ClaimRequest,
  ClaimResponse,
  CompleteClaimRequest,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { Reason } from "../protocol/outcome.ts";
import {
  ClaimHolder,
  type ClaimHolderOptions,
  refuseClaim,
} from "./claim_holder.ts";
import { monotonicMs } from "./clocks.ts";
import type { FleetBus, HeldSlot } from "./fleet_bus.ts";

/** Shortest interval between two commits of a substitute, in ms. */
const MIN_SUBSTITUTE_INTERVAL_MS = 250;
/** Time after which an unused substitute is stopped, in ms. */
const SUBSTITUTE_IDLE_TIMEOUT_MS = 10_000;
/** Interval at which substitutes are checked, in ms. */
const SWEEP_PERIOD_MS = 2_000;

/** Options of a {@linkcode ClaimTask}. */
export interface ClaimTaskOptions extends ClaimHolderOptions {
  readonly bus: FleetBus;
  readonly partitions: number;
}

/** A holder that acts for a partition whose slot is held elsewhere. */
interface Substitute {
  readonly holder: ClaimHolder;
  /** Monotonic time at which it is stopped unless it is used again. */
  expiresAtMs: number;
}

/** A holder of a partition whose slot this daemon holds. */
interface HeldPartition {
  readonly holder: ClaimHolder;
  /** Store revision at which the slot was taken. */
  readonly epoch: number;
}

/**
 * Runs the holders of the claim partitions whose slots this daemon holds.
 *
 * A daemon that holds a reader slot of its failure domain also acts as a
 * substitute for holders that the domain cannot reach: it commits to the same
 * log, at a lower rate, and takes the slot once the holder has lost it.
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
   * Creates a task that subscribes to the bus.
   *
   * @param options Bus, store and timing.
   */
  constructor(options: ClaimTaskOptions) {
    this.#options = options;
    options.bus.on("slotsChanged", ({ held }) => this.#onSlotsChanged(held));
  }

  /** Number of claims in the partitions whose slots are held here. */
  get size(): number {
    let size = 0;
    for (const { holder } of this.#held.values()) size += holder.size;
    return size;
  }

  /**
   * Returns whether a partition's slot is held here.
   *
   * @param partition Number of the partition.
   * @returns Whether claims can be made directly.
   */
  holds(partition: number): boolean {
    return this.#held.has(partition);
  }

  /**
   * Claims a key, as the holder of its partition or as a substitute.
   *
   * @param request The claim.
   * @returns The response; refused if this daemon is neither.
   */
  async claim(request: ClaimRequest): Promise<ClaimResponse> {
    const holder = this.#holderOf(request.partition);
    return holder === undefined
      ? refuseClaim(Reason.ClaimUnavailable)
      : await holder.claim(request);
  }

  /**
   * Records the end of a claimed request.
   *
   * @param request Response or release.
   * @returns Whether the end is durable.
   */
  async complete(request: CompleteClaimRequest): Promise<boolean> {
    const holder = this.#holderOf(request.partition);
    return holder === undefined ? false : await holder.complete(request);
  }

  /** Stops all holders and substitutes. */
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
      name: claimSlotName(partition),
    });
  }

  /** Stops unused substitutes and repeats the event for those in use. */
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

  #onSlotsChanged(heldSlots: readonly HeldSlot[]): void {
    this.#isReader = heldSlots.some((slot) =>
      slot.name.startsWith(READER_SLOT_PREFIX)
    );
    for (let partition = 0; partition < this.#options.partitions; partition++) {
      const slot = heldSlots.find((candidate) =>
        candidate.name === claimSlotName(partition)
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
