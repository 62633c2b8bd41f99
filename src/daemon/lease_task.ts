import type { SlotMember } from "../coordination/slots/slot_planner.ts";
import {
  type SlotDefinition,
  SlotPlanner,
} from "../coordination/slots/slot_planner.ts";
import { FailureKind, type StepError } from "../protocol/step_error.ts";
import type { Store, StoreWrite } from "../protocol/store.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { monotonicMs } from "./clocks.ts";
import type { FleetBus, HeldSlot } from "./fleet_bus.ts";

/** Interval between two rounds, in ms. */
const ROUND_PERIOD_MS = 500;
/** Rounds after which a daemon with more than its share releases a slot. */
const ROUNDS_PER_RELEASE = 3;
/** Number of renewals within the time to live of a lease. */
const RENEWALS_PER_TTL = 3;

/** Options of a {@linkcode LeaseTask}. */
export interface LeaseTaskOptions {
  readonly selfId: string;
  /** Control address of this daemon, stored as the value of its slots' keys. */
  readonly address: string;
  readonly slots: readonly SlotDefinition[];
  readonly ttlS: number;
  readonly store: Store;
  readonly bus: FleetBus;
  readonly log: EventLog;
  /** Returns the present members, this daemon included. */
  readonly members: () => readonly SlotMember[];
  /** Returns whether the member with a control address is known to be gone. */
  readonly isGone: (address: string) => boolean;
}

interface Lease {
  readonly id: string;
  /** Monotonic time from which the lease may have expired. */
  deadlineMs: number;
}

/**
 * Acquires vacant slots and holds them with a single lease.
 *
 * The lease deadline counts from before each renewal was sent, so that a daemon
 * that was paused drops its slots before the store does.
 *
 * @example
 * ```ts ignore
 * const task = new LeaseTask(options);
 * task.start();
 * ```
 */
export class LeaseTask {
  readonly #options: LeaseTaskOptions;
  readonly #slotPlanner: SlotPlanner;
  #held: HeldSlot[] = [];
  #lease: Lease | undefined;
  #renewAtMs = 0;
  #roundCount = 0;
  readonly #suspectSlots = new Set<string>();
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;

  /**
   * Creates a task that holds no slots.
   *
   * @param options Store, slots and members.
   */
  constructor(options: LeaseTaskOptions) {
    this.#options = options;
    this.#slotPlanner = new SlotPlanner(options.selfId, options.slots);
    options.bus.on(
      "slotHolderUnreachable",
      ({ name }) => void this.#suspectSlots.add(name),
    );
  }

  /** The slots that this daemon holds. */
  get held(): readonly HeldSlot[] {
    return this.#held;
  }

  /** Starts the rounds. */
  start(): void {
    this.#schedule();
  }

  /** Releases all slots and revokes the lease. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    const lease = this.#lease;
    this.#dropAll("stopped");
    if (lease !== undefined) await this.#options.store.revokeLease(lease.id);
  }

  #schedule(): void {
    if (this.#isStopped) return;
    this.#timer = setTimeout(() => {
      void this.#runRound().finally(() => this.#schedule());
    }, ROUND_PERIOD_MS);
  }

  async #runRound(): Promise<void> {
    if (this.#lease !== undefined) await this.#renewLease(this.#lease);
    if (this.#isStopped) return;
    const nowMs = monotonicMs();
    const wantedSlots = this.#slotPlanner.slotsToAcquire(
      this.#options.members(),
      nowMs,
    );
    for (const name of new Set([...wantedSlots, ...this.#suspectSlots])) {
      this.#suspectSlots.delete(name);
      if (!this.#isHeld(name)) await this.#acquire(name);
    }
    this.#roundCount++;
    if (this.#roundCount % ROUNDS_PER_RELEASE === 0) {
      const surplusSlot = this.#slotPlanner.slotToRelease(
        this.#options.members(),
      );
      if (surplusSlot !== undefined) await this.#release(surplusSlot);
    }
    await this.#revokeUnusedLease();
  }

  /** Revokes a lease without slots, which would cause needless renewals. */
  async #revokeUnusedLease(): Promise<void> {
    const lease = this.#lease;
    if (lease === undefined || this.#held.length > 0) return;
    this.#lease = undefined;
    await this.#options.store.revokeLease(lease.id);
  }

  async #renewLease(lease: Lease): Promise<void> {
    const nowMs = monotonicMs();
    if (nowMs >= lease.deadlineMs) return this.#dropAll("lapsed");
    if (nowMs < this.#renewAtMs) return;
    const result = await this.#options.store.renewLease(lease.id);
    if (result.isErr()) {
      this.#report("lease-renewal-failed", result.error);
      if (monotonicMs() >= lease.deadlineMs) this.#dropAll("lapsed");
      return;
    }
    if (result.value <= 0) return this.#dropAll("lapsed");
    this.#extend(lease, nowMs);
  }

  #extend(lease: Lease, sentAtMs: number): void {
    const ttlMs = this.#options.ttlS * 1_000;
    lease.deadlineMs = sentAtMs + ttlMs;
    this.#renewAtMs = sentAtMs + ttlMs / RENEWALS_PER_TTL;
  }

  async #acquire(name: string): Promise<void> {
    const lease = await this.#ensureLease();
    if (lease === undefined || this.#isStopped) return;
    const result = await this.#options.store.commit({
      conditions: [{ kind: "absent", key: name }],
      writes: [this.#slotWrite(name, lease)],
    });
    if (result.isOk() && result.value.succeeded) {
      return this.#addHeld({ name, epoch: result.value.revision });
    }
    this.#slotPlanner.backOff(name, monotonicMs());
    if (result.isOk()) return await this.#checkHolder(name, lease);
    this.#report("slot-not-taken", result.error);
    // The write may still arrive; dropping the lease limits how long it lasts.
    if (result.error.kind === FailureKind.Ambiguous) this.#dropAll("unsure");
  }

  /**
   * Checks the holder of a slot that seemed vacant: either the holder is not a
   * known member yet, or it is gone and its lease has not expired yet.
   */
  async #checkHolder(name: string, lease: Lease): Promise<void> {
    const entry = await this.#options.store.get(name);
    if (entry.isErr() || entry.value === undefined) return;
    const { value, modRevision } = entry.value;
    const address = new TextDecoder().decode(value);
    if (this.#options.isGone(address)) {
      return await this.#takeOver(name, lease, modRevision);
    }
    void this.#options.bus.emit("contactsDiscovered", { addresses: [address] });
  }

  /** Safe even if the holder is alive, since claims allow two holders. */
  async #takeOver(
    name: string,
    lease: Lease,
    modRevision: number,
  ): Promise<void> {
    const result = await this.#options.store.commit({
      conditions: [{ kind: "unchanged", key: name, modRevision }],
      writes: [this.#slotWrite(name, lease)],
    });
    if (result.isOk() && result.value.succeeded) {
      this.#addHeld({ name, epoch: result.value.revision });
    } else if (result.isErr()) this.#dropAll("unsure");
  }

  #slotWrite(name: string, lease: Lease): StoreWrite {
    const { address } = this.#options;
    return { kind: "put", key: name, value: address, leaseId: lease.id };
  }

  /** Releases a slot that another daemon should hold. */
  async #release(name: string): Promise<void> {
    const slot = this.#held.find((held) => held.name === name);
    if (slot === undefined) return;
    this.#setHeld(this.#held.filter((held) => held !== slot));
    this.#options.log.info("slot-given-up", { slot: name });
    this.#slotPlanner.backOff(name, monotonicMs());
    const result = await this.#options.store.commit({
      conditions: [{ kind: "unchanged", key: name, modRevision: slot.epoch }],
      writes: [{ kind: "delete", key: name }],
    });
    if (result.isErr()) this.#dropAll("unsure");
  }

  #isHeld(name: string): boolean {
    return this.#held.some((slot) => slot.name === name);
  }

  #addHeld(slot: HeldSlot): void {
    this.#options.log.info("slot-taken", {
      slot: slot.name,
      epoch: slot.epoch,
    });
    this.#setHeld([...this.#held, slot]);
  }

  async #ensureLease(): Promise<Lease | undefined> {
    if (this.#lease !== undefined) return this.#lease;
    const sentAtMs = monotonicMs();
    const result = await this.#options.store.grantLease(this.#options.ttlS);
    if (result.isErr()) {
      this.#report("lease-not-granted", result.error);
      return undefined;
    }
    this.#lease = { id: result.value, deadlineMs: 0 };
    this.#extend(this.#lease, sentAtMs);
    return this.#lease;
  }

  #dropAll(reason: string): void {
    this.#lease = undefined;
    if (this.#held.length === 0) return;
    this.#options.log.warn("slots-dropped", {
      reason,
      slots: this.#held.map((slot) => slot.name).join(","),
    });
    this.#setHeld([]);
  }

  #setHeld(held: HeldSlot[]): void {
    this.#held = held;
    void this.#options.bus.emit("slotsChanged", { held });
  }

  #report(event: string, error: StepError): void {
    this.#options.log.warn(event, {
      step: error.step,
      peer: error.peer,
      kind: error.kind,
      error: error.message,
    });
  }
}
