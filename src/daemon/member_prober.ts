import type { Result } from "neverthrow";
import type { Membership } from "../coordination/membership/membership.ts";
import type {
  ExchangeResponse,
  Member,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import type { Random } from "../protocol/random.ts";
import { FailureKind, type StepError } from "../protocol/step_error.ts";
import {
  type FleetClients,
  isTimeout,
} from "../transport/control/fleet_client.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { readClocks } from "./clocks.ts";
import { controlAddress } from "./control_address.ts";

/** Most members that are asked to probe another one. */
const MAX_RELAYS = 2;

/** Options of a {@linkcode MemberProber}. */
export interface MemberProberOptions {
  readonly membership: Membership;
  readonly clients: FleetClients;
  readonly log: EventLog;
  readonly random: Random;
  readonly probeTimeoutMs: number;
  /** Exchanges gossip with a member, which serves as the direct probe. */
  readonly exchange: (
    target: Member,
  ) => Promise<Result<ExchangeResponse, StepError>>;
}

/**
 * Probes members directly and through relays, and updates the membership.
 *
 * @example
 * ```ts ignore
 * await prober.probe(member);
 * ```
 */
export class MemberProber {
  readonly #options: MemberProberOptions;

  /**
   * Creates a prober.
   *
   * @param options Membership, clients and timing.
   */
  constructor(options: MemberProberOptions) {
    this.#options = options;
  }

  /**
   * Probes a member once.
   *
   * @param target The member.
   * @returns Once the membership is updated.
   */
  async probe(target: Member): Promise<void> {
    const { membership, log } = this.#options;
    const direct = await this.#options.exchange(target);
    if (direct.isOk()) return;
    if (direct.error.kind === FailureKind.Conflict) {
      // Another process answers at the address, so the member is gone.
      return membership.declareDead(target.id, readClocks());
    }
    if (await this.#probeIndirectly(target)) return;
    if (!isTimeout(direct.error)) {
      // Its address refuses connections, from the relays too.
      return membership.declareDead(target.id, readClocks());
    }
    log.info("probe-missed", {
      member: target.id,
      peer: controlAddress(target),
      error: direct.error.message,
    });
    membership.recordMissedProbe(target.id, readClocks());
  }

  async #probeIndirectly(target: Member): Promise<boolean> {
    const { membership, random } = this.#options;
    const relays = random.sample(
      membership.domainPeers().filter((peer) => peer.id !== target.id),
      MAX_RELAYS,
    );
    const results = await Promise.all(
      relays.map((relay) => this.#probeThroughRelay(relay, target)),
    );
    return results.includes(true);
  }

  async #probeThroughRelay(relay: Member, target: Member): Promise<boolean> {
    const { membership, probeTimeoutMs, clients } = this.#options;
    const senderId = membership.self.id;
    const result = await clients.call(
      controlAddress(relay),
      "probe-for",
      (peer, options) =>
        peer.probeFor({ senderId, target, timeoutMs: probeTimeoutMs }, options),
      { timeoutMs: 2 * probeTimeoutMs },
    );
    return result.isOk() && result.value.reached;
  }
}
