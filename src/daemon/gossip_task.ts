import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import type { Result } from "neverthrow";
import { GossipQueue } from "../coordination/membership/gossip_queue.ts";
import type { Membership } from "../coordination/membership/membership.ts";
import type { QuarantineList } from "../coordination/quarantine/quarantine_list.ts";
import {
  type ExchangeRequest,
  ExchangeRequestSchema,
  type ExchangeResponse,
  ExchangeResponseSchema,
  type Gossip,
  GossipSchema,
  type Member,
  MemberState,
  type ProbeForRequest,
  type Quarantine,
  type SyncRequest,
  type SyncResponse,
  SyncResponseSchema,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import type { Random } from "../protocol/random.ts";
import type { StepError } from "../protocol/step_error.ts";
import type { ConfigStore } from "../state/config_store.ts";
import { BUCKET_COUNT } from "../state/member_table.ts";
import type { FleetClients } from "../transport/control/fleet_client.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { readClocks } from "./clocks.ts";
import { controlAddress } from "./control_address.ts";
import type { FleetBus } from "./fleet_bus.ts";
import { GossipIntake } from "./gossip_intake.ts";
import { MemberProber } from "./member_prober.ts";

/** Most member updates in one message. */
const MAX_UPDATES = 32;
/** Shortest time between two table comparisons, in ms. */
const SYNC_PERIOD_MS = 2_000;
/** Peers that learn of an urgent update at once. */
const URGENT_FANOUT = 4;
/** Periods between attempts to reach members that were declared dead. */
const REVIVE_PERIODS = 10;
/** Changes in one table comparison from which they are not spread further. */
const MAX_SPREAD_CHANGES = 64;
/** Part of the period by which rounds are shifted at random. */
const JITTER = 0.2;

/** What a {@linkcode GossipTask} needs. */
export interface GossipTaskOptions {
  readonly membership: Membership;
  readonly config: ConfigStore;
  readonly quarantine: QuarantineList;
  readonly clients: FleetClients;
  readonly bus: FleetBus;
  readonly log: EventLog;
  readonly random: Random;
  readonly periodMs: number;
  readonly probeTimeoutMs: number;
  readonly bridgePeriodMs: number;
  /** Addresses that may lead back into the fleet. */
  readonly contacts: readonly string[];
}

/**
 * Exchanges membership, quarantines and configuration versions with peers.
 *
 * @example
 * ```ts ignore
 * const gossip = new GossipTask(options);
 * await gossip.join(["10.0.0.2:7003"]);
 * gossip.start();
 * ```
 */
export class GossipTask {
  readonly #options: GossipTaskOptions;
  readonly #membership: Membership;
  readonly #quarantines = new GossipQueue<Quarantine>();
  readonly #intake: GossipIntake;
  readonly #prober: MemberProber;
  #timer: NodeJS.Timeout | undefined;
  #round = 0;
  #syncedAtMs = -Infinity;
  #bridgedAtMs = -Infinity;
  #contacts: string[];
  #isStopped = false;

  /**
   * Creates a task that follows the bus.
   *
   * @param options Its parts and timing.
   */
  constructor(options: GossipTaskOptions) {
    this.#options = options;
    this.#membership = options.membership;
    this.#contacts = [...options.contacts];
    this.#intake = new GossipIntake(options);
    this.#prober = new MemberProber({
      ...options,
      exchange: (target) => this.#exchange(target),
    });
    options.bus.on("quarantineNews", ({ quarantines, isOwn }) => {
      for (const one of quarantines) {
        this.#quarantines.add(one.fingerprint, one);
      }
      this.spreadNow();
      if (isOwn) this.#spreadToOtherDomains();
      else this.#bridge();
    });
    options.bus.on("contactsSeen", ({ addresses }) => this.#meet(addresses));
  }

  /** Starts the rounds. */
  start(): void {
    this.#schedule();
  }

  /** Ends the rounds. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /**
   * Learns the fleet from contacts and announces this daemon to them.
   *
   * @param addresses Control addresses of daemons that may be alive.
   * @returns The highest version that a peer saw this instance hold, for each
   * contact that answered.
   */
  async join(addresses: readonly string[]): Promise<number[]> {
    const answers = await Promise.all(
      addresses.map((address) => this.#sync(address)),
    );
    const versions = answers.flatMap((answer) =>
      answer === undefined ? [] : [answer.lastSeenVersion]
    );
    if (versions.length > 0) this.spreadNow();
    return versions;
  }

  /** Tells some peers at once what is pending. */
  spreadNow(): void {
    const peers = this.#membership.domainPeers();
    const targets = this.#options.random.sample(peers, URGENT_FANOUT);
    for (const target of targets) void this.#exchange(target);
  }

  /**
   * Tells every given member at once what is pending.
   *
   * @param members The members.
   * @returns Once each answered or failed.
   */
  async tell(members: readonly Member[]): Promise<void> {
    await Promise.all(members.map((member) => this.#exchange(member)));
  }

  /**
   * Answers a peer's exchange.
   *
   * @param request The peer's message.
   * @returns The answer.
   * @throws {ConnectError} If the peer meant another process.
   */
  onExchange(request: ExchangeRequest): ExchangeResponse {
    const self = this.#membership.self;
    if (request.targetId !== "" && request.targetId !== self.id) {
      throw new ConnectError(
        `this is ${self.id}, not ${request.targetId}`,
        Code.FailedPrecondition,
      );
    }
    const sender = request.sender;
    const lastSeenVersion = this.#intake.lastVersionOf(sender);
    if (sender !== undefined) this.#receive(sender, request.gossip);
    return create(ExchangeResponseSchema, {
      receiver: self,
      gossip: this.#gossip(),
      lastSeenVersion,
    });
  }

  /**
   * Probes a member for a peer that could not reach it.
   *
   * @param request The member.
   * @returns Whether it answered.
   */
  async onProbeFor(request: ProbeForRequest): Promise<boolean> {
    if (request.target === undefined) return false;
    const result = await this.#exchange(request.target, request.timeoutMs);
    return result.isOk();
  }

  /**
   * Answers a table comparison.
   *
   * @param request The sender's bucket digests.
   * @returns The members of the buckets that differ.
   */
  onSync(request: SyncRequest): SyncResponse {
    const own = this.#membership.table.bucketDigests;
    const differing = new Set<number>();
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      if (request.bucketDigests[bucket] !== own[bucket]) differing.add(bucket);
    }
    return create(SyncResponseSchema, {
      members: this.#membership.table.inBuckets(differing),
      configVersion: this.#options.config.version,
      lastSeenVersion: this.#intake.lastVersionOf(request.sender),
      quarantines: this.#options.quarantine.refused(readClocks().monotonicMs),
    });
  }

  #schedule(): void {
    if (this.#isStopped) return;
    const { periodMs, random } = this.#options;
    const shift = 1 + JITTER * (random.fraction() - 0.5);
    this.#timer = setTimeout(() => {
      this.#runRound();
      this.#schedule();
    }, periodMs * shift);
  }

  #runRound(): void {
    const now = readClocks();
    this.#round++;
    for (const target of this.#membership.tick(now)) {
      void this.#prober.probe(target);
    }
    if (now.monotonicMs - this.#bridgedAtMs >= this.#options.bridgePeriodMs) {
      this.#bridgedAtMs = now.monotonicMs;
      this.#bridge();
    }
    if (this.#round % REVIVE_PERIODS === 0) this.#revive();
  }

  #spreadToOtherDomains(): void {
    const { table, self } = this.#membership;
    for (const domain of table.domains()) {
      if (domain === self.domain) continue;
      const target = this.#options.random.pick(table.present(domain));
      if (target !== undefined) void this.#exchange(target);
    }
  }

  #bridge(): void {
    for (const partner of this.#membership.bridgePartners()) {
      void this.#exchange(partner);
    }
  }

  /** Tries a lost member or a contact, so that partitions heal. */
  #revive(): void {
    const dead = this.#membership.table.all().filter((member) =>
      member.state === MemberState.DEAD
    );
    const lost = this.#options.random.pick(dead);
    if (lost !== undefined) void this.#exchange(lost);
    if (this.#membership.domainPeers().length > 0) return;
    const contact = this.#options.random.pick(this.#contacts);
    if (contact !== undefined) void this.join([contact]);
  }

  /** Joins contacts that are not known as members. */
  #meet(addresses: readonly string[]): void {
    this.#contacts = [...new Set([...this.#options.contacts, ...addresses])];
    const known = new Set(
      this.#membership.table.present().map(controlAddress),
    );
    const strangers = addresses.filter((address) => !known.has(address));
    if (strangers.length > 0) void this.join(strangers);
  }

  async #exchange(
    target: Member,
    timeoutMs = this.#options.probeTimeoutMs,
  ): Promise<Result<ExchangeResponse, StepError>> {
    const request = create(ExchangeRequestSchema, {
      sender: this.#membership.self,
      targetId: target.id,
      gossip: this.#gossip(),
    });
    const result = await this.#options.clients.call(
      controlAddress(target),
      "exchange",
      (peer, options) => peer.exchange(request, options),
      { timeoutMs },
    );
    if (result.isOk() && result.value.receiver !== undefined) {
      this.#receive(result.value.receiver, result.value.gossip);
    }
    return result;
  }

  #gossip(): Gossip {
    const fleetSize = this.#membership.table.size;
    return create(GossipSchema, {
      members: this.#membership.takeUpdates(MAX_UPDATES),
      quarantines: this.#quarantines.take(MAX_UPDATES, fleetSize),
      configVersion: this.#options.config.version,
      configDigest: this.#options.config.digest,
      tableDigest: this.#membership.table.digest,
    });
  }

  #receive(peer: Member, gossip: Gossip | undefined): void {
    const now = readClocks();
    const mayDiffer = this.#intake.receive(peer, gossip, now);
    if (!mayDiffer || now.monotonicMs - this.#syncedAtMs <= SYNC_PERIOD_MS) {
      return;
    }
    this.#syncedAtMs = now.monotonicMs;
    void this.#sync(controlAddress(peer));
  }

  async #sync(address: string): Promise<SyncResponse | undefined> {
    const { table, self } = this.#membership;
    const result = await this.#options.clients.call(
      address,
      "sync",
      (peer, options) =>
        peer.sync(
          { sender: self, bucketDigests: [...table.bucketDigests] },
          options,
        ),
      { timeoutMs: 4 * this.#options.probeTimeoutMs },
    );
    if (result.isErr()) return undefined;
    const now = readClocks();
    const { members, quarantines } = result.value;
    this.#membership.receive(members, now, {
      shouldPropagate: members.length <= MAX_SPREAD_CHANGES,
    });
    for (const one of quarantines) {
      this.#options.quarantine.receive(one, now.monotonicMs);
    }
    return result.value;
  }
}
