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
import { GossipReceiver } from "./gossip_receiver.ts";
import { MemberProber } from "./member_prober.ts";

/** Most member updates and most quarantines in one message. */
const MAX_UPDATES = 32;
/** Shortest interval between two table comparisons, in ms. */
const MIN_SYNC_INTERVAL_MS = 2_000;
/** Peers to which urgent updates are sent immediately. */
const IMMEDIATE_FANOUT = 4;
/** Gossip periods between attempts to reach members declared dead. */
const RECOVERY_PERIODS = 10;
/** Most changes of one table comparison that are disseminated further. */
const MAX_DISSEMINATED_CHANGES = 64;
/** Width of the random variation of the period, relative to it. */
const JITTER_RATIO = 0.2;

/** Options of a {@linkcode GossipTask}. */
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
  /** Control addresses of daemons through which to rejoin the fleet. */
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
  readonly #pendingQuarantines = new GossipQueue<Quarantine>();
  readonly #receiver: GossipReceiver;
  readonly #prober: MemberProber;
  #timer: NodeJS.Timeout | undefined;
  #roundCount = 0;
  #syncedAtMs = -Infinity;
  #bridgeExchangeAtMs = -Infinity;
  #contacts: string[];
  #isStopped = false;

  /**
   * Creates a task that subscribes to the bus.
   *
   * @param options Dependencies and timing.
   */
  constructor(options: GossipTaskOptions) {
    this.#options = options;
    this.#membership = options.membership;
    this.#contacts = [...options.contacts];
    this.#receiver = new GossipReceiver(options);
    this.#prober = new MemberProber({
      ...options,
      exchange: (target) => this.#exchange(target),
    });
    options.bus.on("quarantinesChanged", ({ quarantines, isLocal }) => {
      for (const quarantine of quarantines) {
        this.#pendingQuarantines.add(quarantine.fingerprint, quarantine);
      }
      this.disseminateNow();
      if (isLocal) this.#exchangeWithOtherDomains();
      else this.#exchangeWithBridges();
    });
    options.bus.on(
      "contactsDiscovered",
      ({ addresses }) => this.#joinUnknownContacts(addresses),
    );
  }

  /** Starts the gossip rounds. */
  start(): void {
    this.#schedule();
  }

  /** Stops the gossip rounds. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /**
   * Reads the member table from contacts and announces this daemon to them.
   *
   * @param addresses Control addresses of daemons that may be alive.
   * @returns For each contact that answered, the highest configuration version
   * that it saw this instance hold.
   */
  async join(addresses: readonly string[]): Promise<number[]> {
    const responses = await Promise.all(
      addresses.map((address) => this.#sync(address)),
    );
    const versions = responses.flatMap((response) =>
      response === undefined ? [] : [response.lastSeenVersion]
    );
    if (versions.length > 0) this.disseminateNow();
    return versions;
  }

  /** Sends pending updates to some peers immediately. */
  disseminateNow(): void {
    const peers = this.#membership.domainPeers();
    const targets = this.#options.random.sample(peers, IMMEDIATE_FANOUT);
    for (const target of targets) void this.#exchange(target);
  }

  /**
   * Exchanges pending updates with members immediately.
   *
   * @param members The members.
   * @returns Once all exchanges have succeeded or failed.
   */
  async exchangeWithAll(members: readonly Member[]): Promise<void> {
    await Promise.all(members.map((member) => this.#exchange(member)));
  }

  /**
   * Handles a peer's exchange.
   *
   * @param request The peer's message.
   * @returns The response.
   * @throws {ConnectError} If the message is addressed to another process.
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
    const lastSeenVersion = this.#receiver.lastVersionOf(sender);
    if (sender !== undefined) this.#receive(sender, request.gossip);
    return create(ExchangeResponseSchema, {
      receiver: self,
      gossip: this.#createGossip(),
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
   * Handles a peer's table comparison.
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
      lastSeenVersion: this.#receiver.lastVersionOf(request.sender),
      quarantines: this.#options.quarantine.quarantined(
        readClocks().monotonicMs,
      ),
    });
  }

  #schedule(): void {
    if (this.#isStopped) return;
    const { periodMs, random } = this.#options;
    const jitter = 1 + JITTER_RATIO * (random.fraction() - 0.5);
    this.#timer = setTimeout(() => {
      this.#runRound();
      this.#schedule();
    }, periodMs * jitter);
  }

  #runRound(): void {
    const now = readClocks();
    this.#roundCount++;
    for (const target of this.#membership.tick(now)) {
      void this.#prober.probe(target);
    }
    if (
      now.monotonicMs - this.#bridgeExchangeAtMs >= this.#options.bridgePeriodMs
    ) {
      this.#bridgeExchangeAtMs = now.monotonicMs;
      this.#exchangeWithBridges();
    }
    if (this.#roundCount % RECOVERY_PERIODS === 0) this.#reconnect();
  }

  #exchangeWithOtherDomains(): void {
    const { table, self } = this.#membership;
    for (const domain of table.domains()) {
      if (domain === self.domain) continue;
      const target = this.#options.random.pick(table.present(domain));
      if (target !== undefined) void this.#exchange(target);
    }
  }

  #exchangeWithBridges(): void {
    for (const partner of this.#membership.bridgePartners()) {
      void this.#exchange(partner);
    }
  }

  /** Contacts a dead member, and if alone a contact, so that partitions heal. */
  #reconnect(): void {
    const dead = this.#membership.table.all().filter((member) =>
      member.state === MemberState.DEAD
    );
    const deadMember = this.#options.random.pick(dead);
    if (deadMember !== undefined) void this.#exchange(deadMember);
    if (this.#membership.domainPeers().length > 0) return;
    const contact = this.#options.random.pick(this.#contacts);
    if (contact !== undefined) void this.join([contact]);
  }

  /** Joins through contacts that are not known as members. */
  #joinUnknownContacts(addresses: readonly string[]): void {
    this.#contacts = [...new Set([...this.#options.contacts, ...addresses])];
    const known = new Set(
      this.#membership.table.present().map(controlAddress),
    );
    const unknownAddresses = addresses.filter((address) => !known.has(address));
    if (unknownAddresses.length > 0) void this.join(unknownAddresses);
  }

  async #exchange(
    target: Member,
    timeoutMs = this.#options.probeTimeoutMs,
  ): Promise<Result<ExchangeResponse, StepError>> {
    const request = create(ExchangeRequestSchema, {
      sender: this.#membership.self,
      targetId: target.id,
      gossip: this.#createGossip(),
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

  #createGossip(): Gossip {
    const fleetSize = this.#membership.table.size;
    return create(GossipSchema, {
      members: this.#membership.takeUpdates(MAX_UPDATES),
      quarantines: this.#pendingQuarantines.take(MAX_UPDATES, fleetSize),
      configVersion: this.#options.config.version,
      configDigest: this.#options.config.digest,
      tableDigest: this.#membership.table.digest,
    });
  }

  #receive(peer: Member, gossip: Gossip | undefined): void {
    const now = readClocks();
    const mayDiffer = this.#receiver.receive(peer, gossip, now);
    if (
      !mayDiffer || now.monotonicMs - this.#syncedAtMs <= MIN_SYNC_INTERVAL_MS
    ) {
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
      shouldPropagate: members.length <= MAX_DISSEMINATED_CHANGES,
    });
    for (const quarantine of quarantines) {
      this.#options.quarantine.merge(quarantine, now.monotonicMs);
    }
    return result.value;
  }
}
