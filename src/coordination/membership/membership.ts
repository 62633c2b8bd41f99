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

/** Fields of this daemon's record that may change. */
export type SelfPatch = Partial<
  Pick<
    Member,
    "service" | "state" | "backendReady" | "slots" | "leasedSlots" | "readyAtMs"
  >
>;

/** Options of {@linkcode Membership.receive}. */
export interface ReceiveOptions {
  /** Whether to propagate the changes to other daemons. @default {true} */
  shouldPropagate?: boolean;
}

/** Options of a {@linkcode Membership}. */
export interface MembershipOptions {
  readonly random: Random;
  readonly periodMs: number;
  readonly suspicionMs: number;
  /** Called for each change of the table. */
  readonly onChange?: (change: MemberChange) => void;
}

/**
 * Tracks the members of the fleet and propagates changes to other daemons.
 *
 * Members of the local failure domain are probed and may be declared dead. For
 * other domains, a daemon only forwards updates from their own members, so that
 * a network partition between domains removes no members.
 *
 * @example
 * ```ts ignore
 * const membership = new Membership(self, { random, periodMs: 1000, suspicionMs: 4000 });
 * const probes = membership.tick({ wallMs: Date.now(), monotonicMs: performance.now() });
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
   * Creates a membership that contains only this daemon.
   *
   * @param self Record of this daemon.
   * @param options Timing, random source and change handler.
   */
  constructor(self: Member, options: MembershipOptions) {
    this.#self = self;
    this.#onChange = options.onChange ?? (() => {});
    this.#detector = new FailureDetector(options.random, options);
    this.#bridges = new BridgeSelector(this.table, self, options.random);
    this.table.merge(self, 0);
    this.#updates.add(self.id, self);
  }

  /** The record of this daemon. */
  get self(): Member {
    return this.#self;
  }

  /** Number of updates that are still being propagated. */
  get pendingUpdates(): number {
    return this.#updates.size;
  }

  /** Returns the other members of the local failure domain. */
  domainPeers(): Member[] {
    return this.table.present(this.#self.domain)
      .filter((member) => member.id !== this.#self.id);
  }

  /** Returns members of other failure domains to gossip with now. */
  bridgePartners(): Member[] {
    return this.#bridges.selectPartners();
  }

  /**
   * Changes the record of this daemon and propagates it.
   *
   * @param patch Fields to change.
   * @param nowMs Unix time in ms.
   * @returns The new record.
   */
  updateSelf(patch: SelfPatch, nowMs: number): Member {
    return this.#replaceSelf(patch, this.#self.incarnation, nowMs);
  }

  /**
   * Merges member updates from a peer.
   *
   * @param members The updates.
   * @param now Wall-clock and monotonic time.
   * @param options Whether to propagate the changes.
   * @returns The resulting changes.
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
   * @param now Wall-clock and monotonic time.
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
   * @param now Wall-clock and monotonic time.
   */
  recordMissedProbe(id: string, now: Clocks): void {
    this.#run({ kind: "missed", id }, now);
  }

  /**
   * Declares a member dead on proof, such as another process at its address.
   *
   * @param id The member's id.
   * @param now Wall-clock and monotonic time.
   */
  declareDead(id: string, now: Clocks): void {
    this.#markAs(id, MemberState.DEAD, now);
  }

  /**
   * Returns the updates for one message and counts them as sent.
   *
   * @param limit Maximum number of updates.
   * @returns The updates.
   */
  takeUpdates(limit: number): Member[] {
    return this.#updates.take(limit, this.table.size);
  }

  #replaceSelf(
    patch: SelfPatch,
    incarnation: number,
    nowMs: number,
  ): Member {
    const next = Object.assign(clone(MemberSchema, this.#self), patch);
    next.incarnation = incarnation + 1;
    // Peers that suspect this daemon replace its state by SUSPECT. A suspected
    // member still receives requests if its backend server is ready.
    if (next.state !== MemberState.ALIVE) next.backendReady = false;
    this.#self = next;
    this.#merge(next, { wallMs: nowMs, monotonicMs: nowMs });
    return next;
  }

  #run(event: DetectorEvent, now: Clocks): Member[] {
    const commands = this.#detector.step(event, now.monotonicMs);
    return commands.flatMap((command) => this.#execute(command, now));
  }

  #execute(command: DetectorCommand, now: Clocks): Member[] {
    switch (command.kind) {
      case "probe": {
        const target = this.table.get(command.id);
        return target === undefined ? [] : [target];
      }
      case "suspect":
        this.#markAs(command.id, MemberState.SUSPECT, now);
        return [];
      case "declare-dead":
        this.#markAs(command.id, MemberState.DEAD, now);
        return [];
    }
  }

  #markAs(id: string, state: MemberState, now: Clocks): void {
    const known = this.table.get(id);
    if (known === undefined || !isPresent(known)) return;
    const marked = clone(MemberSchema, known);
    marked.state = state;
    this.#merge(marked, now);
  }

  #merge(
    member: Member,
    now: Clocks,
    shouldPropagate = true,
  ): MemberChange | undefined {
    const change = this.table.merge(member, now.wallMs);
    if (change === undefined) return undefined;
    if (shouldPropagate) this.#updates.add(member.id, member);
    const kind = member.state === MemberState.SUSPECT ? "suspected" : "cleared";
    if (kind === "cleared" || member.domain === this.#self.domain) {
      this.#detector.step({ kind, id: member.id }, now.monotonicMs);
    }
    this.#onChange(change);
    return change;
  }

  /**
   * Refutes an update about this daemon, unless it is outdated or correct, such
   * as one that says LEFT after this daemon left.
   */
  #refute(update: Member, nowMs: number): void {
    if (update.incarnation < this.#self.incarnation) return;
    if (
      update.incarnation === this.#self.incarnation &&
      update.state === this.#self.state
    ) return;
    this.#replaceSelf({}, update.incarnation, nowMs);
  }
}

/** Wall-clock and monotonic time, in ms. */
export interface Clocks {
  readonly wallMs: number;
  readonly monotonicMs: number;
}
