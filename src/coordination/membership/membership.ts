import { clone } from "@bufbuild/protobuf";
import {
  type Member,
  MemberSchema,
  MemberState,
} from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import type { Random } from "../../protocol/random.ts";
import {
  isPresent,
  type MemberChange,
  MemberTable,
} from "../../state/member_table.ts";
import { BridgeSelector } from "./bridge_selector.ts";
import { GossipQueue } from "./gossip_queue.ts";
import {
  type DetectorCommand,
  type DetectorEvent,
  FailureDetector,
} from "./failure_detector.ts";

/** Fields of the own record that may change. */
export type SelfPatch = Partial<
  Pick<
    Member,
    "service" | "state" | "backendReady" | "slots" | "leasedSlots" | "readyAtMs"
  >
>;

/** Optional settings of {@linkcode Membership.receive}. */
export interface ReceiveOptions {
  /** Whether the changes are told to others. @default {true} */
  shouldPropagate?: boolean;
}

/** Timing and hooks of a {@linkcode Membership}. */
export interface MembershipOptions {
  readonly random: Random;
  readonly periodMs: number;
  readonly suspicionMs: number;
  /** Called for each change of the table. */
  readonly onChange?: (change: MemberChange) => void;
}

/**
 * What this daemon knows of the fleet and tells others.
 *
 * Members of the own failure domain are probed and may be declared dead. About
 * other domains it only passes on what their own members say, so that a cut
 * between domains removes nobody.
 *
 * @example
 * ```ts ignore
 * const membership = new Membership(self, { random, periodMs: 1000, suspicionMs: 4000 });
 * const probes = membership.tick(Date.now(), performance.now());
 * ```
 */
export class Membership {
  readonly table = new MemberTable();
  readonly #detector: FailureDetector;
  readonly #updates = new GossipQueue<Member>();
  readonly #bridges: BridgeSelector;
  readonly #onChange: (change: MemberChange) => void;
  #self: Member;

  /**
   * Creates a fleet of one.
   *
   * @param self The own record.
   * @param options Timing and hooks.
   */
  constructor(self: Member, options: MembershipOptions) {
    this.#self = self;
    this.#onChange = options.onChange ?? (() => {});
    this.#detector = new FailureDetector(options.random, options);
    this.#bridges = new BridgeSelector(this.table, self, options.random);
    this.table.merge(self, 0);
    this.#updates.add(self.id, self);
  }

  /** The own record. */
  get self(): Member {
    return this.#self;
  }

  /** Number of updates that are still being sent. */
  get pendingUpdates(): number {
    return this.#updates.size;
  }

  /** Other members of the own failure domain. */
  domainPeers(): Member[] {
    return this.table.present(this.#self.domain)
      .filter((member) => member.id !== this.#self.id);
  }

  /** Members of other failure domains to exchange with now. */
  bridgePartners(): Member[] {
    return this.#bridges.selectPartners();
  }

  /**
   * Changes the own record and spreads it.
   *
   * @param patch Fields to change.
   * @param nowMs Unix time.
   * @returns The own record.
   */
  updateSelf(patch: SelfPatch, nowMs: number): Member {
    return this.#supersedeSelf(patch, this.#self.incarnation, nowMs);
  }

  /**
   * Takes in what a peer says of members.
   *
   * @param members The updates.
   * @param now Both clocks.
   * @param options Whether the changes are told to others.
   * @returns The changes that they made.
   */
  receive(
    members: readonly Member[],
    now: Clocks,
    options: ReceiveOptions = {},
  ): MemberChange[] {
    return members.flatMap((member) => {
      if (member.id === this.#self.id) {
        this.#refute(member, now.wallMs);
        return [];
      }
      const change = this.#merge(member, now, options.shouldPropagate);
      return change === undefined ? [] : [change];
    });
  }

  /**
   * Advances the failure detector by a period.
   *
   * @param now Both clocks.
   * @returns Members to probe.
   */
  tick(now: Clocks): Member[] {
    const peers = this.domainPeers().map((member) => member.id);
    this.table.removeExpired(now.wallMs);
    return this.#run({ kind: "tick", peers }, now);
  }

  /**
   * Records that neither a direct nor an indirect probe reached a member.
   *
   * @param id The member's id.
   * @param now Both clocks.
   */
  recordMissedProbe(id: string, now: Clocks): void {
    this.#run({ kind: "missed", id }, now);
  }

  /**
   * Declares a member dead on proof, such as another process at its address.
   *
   * @param id The member's id.
   * @param now Both clocks.
   */
  declareDead(id: string, now: Clocks): void {
    this.#accuse(id, MemberState.DEAD, now);
  }

  /**
   * Takes the updates for one message.
   *
   * @param limit Most updates.
   * @returns The updates.
   */
  takeUpdates(limit: number): Member[] {
    return this.#updates.take(limit, this.table.size);
  }

  #supersedeSelf(
    patch: SelfPatch,
    incarnation: number,
    nowMs: number,
  ): Member {
    const next = Object.assign(clone(MemberSchema, this.#self), patch);
    next.incarnation = incarnation + 1;
    // A suspicion takes the place of the state, and the suspected get work.
    if (next.state !== MemberState.ALIVE) next.backendReady = false;
    this.#self = next;
    this.#merge(next, { wallMs: nowMs, monotonicMs: nowMs });
    return next;
  }

  #run(event: DetectorEvent, now: Clocks): Member[] {
    const commands = this.#detector.step(event, now.monotonicMs);
    return commands.flatMap((command) => this.#carryOut(command, now));
  }

  #carryOut(command: DetectorCommand, now: Clocks): Member[] {
    switch (command.kind) {
      case "probe": {
        const target = this.table.get(command.id);
        return target === undefined ? [] : [target];
      }
      case "suspect":
        this.#accuse(command.id, MemberState.SUSPECT, now);
        return [];
      case "declare-dead":
        this.#accuse(command.id, MemberState.DEAD, now);
        return [];
    }
  }

  #accuse(id: string, state: MemberState, now: Clocks): void {
    const known = this.table.get(id);
    if (known === undefined || !isPresent(known)) return;
    const accused = clone(MemberSchema, known);
    accused.state = state;
    this.#merge(accused, now);
  }

  #merge(
    member: Member,
    now: Clocks,
    isSpread = true,
  ): MemberChange | undefined {
    const change = this.table.merge(member, now.wallMs);
    if (change === undefined) return undefined;
    if (isSpread) this.#updates.add(member.id, member);
    const kind = member.state === MemberState.SUSPECT ? "suspected" : "cleared";
    if (kind === "cleared" || member.domain === this.#self.domain) {
      this.#detector.step({ kind, id: member.id }, now.monotonicMs);
    }
    this.#onChange(change);
    return change;
  }

  /** Overrules an accusation, unless this daemon has left indeed. */
  #refute(accusation: Member, nowMs: number): void {
    if (accusation.incarnation < this.#self.incarnation) return;
    if (
      accusation.incarnation === this.#self.incarnation &&
      accusation.state === this.#self.state
    ) return;
    this.#supersedeSelf({}, accusation.incarnation, nowMs);
  }
}

/** Wall-clock and monotonic time, in ms. */
export interface Clocks {
  readonly wallMs: number;
  readonly monotonicMs: number;
}
