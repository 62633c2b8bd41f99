import { Membership } from "../coordination/membership/membership.ts";
import { QuarantineList } from "../coordination/quarantine/quarantine_list.ts";
import { Balancer } from "../coordination/routing/balancer.ts";
import {
  type Member,
  MemberState,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import type { Random } from "../protocol/random.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import { ConfigStore } from "../state/config_store.ts";
import { DecisionLog } from "../state/decision_log.ts";
import { isPresent, type MemberChange } from "../state/member_table.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { monotonicMs } from "./clocks.ts";
import { controlAddress } from "./control_address.ts";
import { createFleetBus, type FleetBus } from "./fleet_bus.ts";

/** Options of a {@linkcode DaemonCore}. */
export interface DaemonCoreOptions {
  readonly settings: Settings;
  /** Member record of this daemon. */
  readonly self: Member;
  readonly random: Random;
  readonly log: EventLog;
}

/**
 * State and decision logic that the tasks of a daemon share.
 *
 * @example
 * ```ts ignore
 * const core = new DaemonCore({ settings, self, random, log });
 * core.config.version; // 0
 * ```
 */
export class DaemonCore {
  readonly bus: FleetBus = createFleetBus();
  readonly config = new ConfigStore();
  readonly decisions = new DecisionLog();
  readonly quarantine = new QuarantineList();
  readonly random: Random;
  readonly membership: Membership;
  readonly balancer: Balancer;
  readonly #log: EventLog;

  /**
   * Creates the state of a daemon that knows no other members.
   *
   * @param options Settings, member record, random source and log.
   */
  constructor(options: DaemonCoreOptions) {
    const { settings, self, random, log } = options;
    this.random = random;
    this.#log = log;
    this.balancer = new Balancer(self, random);
    this.membership = new Membership(self, {
      random,
      periodMs: settings.gossip.periodMs,
      suspicionMs: settings.gossip.suspicionMs,
      onChange: (change) => this.#onChange(change),
    });
    this.balancer.update(self, monotonicMs());
  }

  /**
   * Returns whether the member with a control address is known to be gone.
   *
   * @param address "ip:port" of the control interface.
   * @returns Whether it is gone; false if a member restarted at the address.
   */
  isGone(address: string): boolean {
    const members = this.membership.table.all()
      .filter((member) => controlAddress(member) === address);
    return members.length > 0 && !members.some(isPresent);
  }

  #onChange({ member, previous }: MemberChange): void {
    this.balancer.update(member, monotonicMs());
    if (member.state === previous?.state) return;
    this.#log.info("member-changed", {
      member: member.id,
      domain: member.domain,
      state: MemberState[member.state].toLowerCase(),
      incarnation: member.incarnation,
    });
  }
}
