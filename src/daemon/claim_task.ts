import { claimSlot } from "../coordination/slots/slot_keeper.ts";
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
import type { FleetBus, HeldSlot } from "./fleet_bus.ts";

/** What a {@linkcode ClaimTask} needs. */
export interface ClaimTaskOptions extends ClaimHolderOptions {
  readonly bus: FleetBus;
  readonly partitions: number;
}

/**
 * Holds the claim partitions whose slots this daemon was given.
 *
 * @example
 * ```ts ignore
 * const task = new ClaimTask(options);
 * const response = await task.claim(request);
 * ```
 */
export class ClaimTask {
  readonly #options: ClaimTaskOptions;
  readonly #holders = new Map<number, ClaimHolder>();

  /**
   * Creates a task that follows the bus.
   *
   * @param options Bus, store and timing.
   */
  constructor(options: ClaimTaskOptions) {
    this.#options = options;
    options.bus.on("slotsChanged", ({ held }) => this.#follow(held));
  }

  /** Number of claims in the partitions held here. */
  get size(): number {
    let size = 0;
    for (const holder of this.#holders.values()) size += holder.size;
    return size;
  }

  /**
   * Says whether a partition is held here.
   *
   * @param partition Number of the partition.
   * @returns Whether claims can be made directly.
   */
  holds(partition: number): boolean {
    return this.#holders.has(partition);
  }

  /**
   * Claims a key in a partition held here.
   *
   * @param request The claim.
   * @returns The answer; refused where the partition is not held.
   */
  async claim(request: ClaimRequest): Promise<ClaimResponse> {
    const holder = this.#holders.get(request.partition);
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
    const holder = this.#holders.get(request.partition);
    return holder === undefined ? false : await holder.complete(request);
  }

  /** Gives up all partitions. */
  stop(): void {
    for (const holder of this.#holders.values()) holder.stop();
    this.#holders.clear();
  }

  #follow(held: readonly HeldSlot[]): void {
    for (let number = 0; number < this.#options.partitions; number++) {
      const slot = held.find((one) => one.name === claimSlot(number));
      const holder = this.#holders.get(number);
      if (holder !== undefined && holder.epoch !== slot?.epoch) {
        holder.stop();
        this.#holders.delete(number);
      }
      if (slot !== undefined && !this.#holders.has(number)) {
        const next = new ClaimHolder(number, slot.epoch, this.#options);
        this.#holders.set(number, next);
      }
    }
  }
}
