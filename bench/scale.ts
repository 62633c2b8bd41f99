import { hash } from "node:crypto";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { create, toBinary } from "@bufbuild/protobuf";
import { ClaimPartition } from "../src/coordination/claims/claim_partition.ts";
import { Membership } from "../src/coordination/membership/membership.ts";
import { Balancer } from "../src/coordination/routing/balancer.ts";
import {
  claimSlotName,
  readerSlotName,
  SlotPlanner,
  slotsFor,
} from "../src/coordination/slots/slot_planner.ts";
import {
  ClaimRequestSchema,
  CompleteClaimRequestSchema,
  ExchangeRequestSchema,
  GossipSchema,
  type Member,
  MemberSchema,
  MemberState,
} from "../src/protocol/gen/sesamepond/v1/fleet_pb.ts";
import { Random } from "../src/protocol/random.ts";
import { sampleService } from "../testkit/sample_config.ts";
import { fitLine, median, round } from "../testkit/statistics.ts";

/** Sizes of the fleet, in members. */
const SIZES = [300, 600, 1_200, 2_400];
/** Failure domains and services of the fleet in two years. */
const DOMAINS = 7;
const SERVICES = 89;
const PARTITIONS = 16;
/** Members that change on an ordinary day: restarts, each with three states. */
const CHANGES_PER_S = 3 * 930 / 86_400;
/** Times that each step is run, in turns. */
const RUNS = 200;
const TURNS = 5;

/** Claims by which the memory of one is measured. */
const CLAIMS = 20_000;

/** A step of a daemon's control, with how often it runs. */
interface Step {
  readonly perSecond: number;
  readonly run: (number: number) => void;
}

/**
 * Measures what one daemon's decisions cost as the fleet grows, in one process
 * and without sockets, and follows the lines to the size in two years.
 */
export function benchScale(seed: number): Promise<unknown> {
  const sizes = SIZES.map((size) => ({ size, ...measureSize(size, seed) }));
  const steps = Object.keys(sizes[0]!.microsPerRun);
  const slopes = Object.fromEntries(steps.map((name) => {
    const points = sizes.map((one) =>
      [one.size, one.microsPerRun[name]!] as const
    );
    return [name, {
      microsPer1000Members: round(fitLine(points).slope * 1_000),
    }];
  }));
  const heapBytesPerClaim = measureClaims();
  return Promise.resolve({ sizes, slopes, heapBytesPerClaim });
}

/** Measures what a holder keeps of a claim whose answer has no body. */
function measureClaims(): number {
  const collect = collector();
  const before = collect();
  const partition = new ClaimPartition(900_000);
  for (let number = 0; number < CLAIMS; number++) {
    const key = hash("sha256", `key-${number}`, "buffer");
    const requestId = `instance-1-0a1b2c3d-${number.toString(36)}.1`;
    const content = hash("sha1", `content-${number}`, "buffer");
    const nowMs = Date.now();
    partition.claim(
      create(ClaimRequestSchema, {
        key,
        requestId,
        content,
        issuedAtMs: nowMs,
      }),
      nowMs,
    );
    partition.complete(create(CompleteClaimRequestSchema, {
      key,
      requestId,
      answer: { status: 200, contentType: "text/plain", hasBody: true },
    }));
    partition.takeBatch();
  }
  const heapBytes = Math.round((collect() - before) / CLAIMS);
  return partition.size === CLAIMS ? heapBytes : Number.NaN;
}

function measureSize(size: number, seed: number) {
  const collect = collector();
  const before = collect();
  const world = createWorld(size, seed);
  const bytesPerMember = (collect() - before) / size;
  const steps = stepsOf(world, size);
  const microsPerRun: Record<string, number> = {};
  let corePercent = 0;
  for (const [name, step] of Object.entries(steps)) {
    const micros = median(
      Array.from({ length: TURNS }, () => timeOf(step)),
    );
    microsPerRun[name] = round(micros);
    corePercent += micros * step.perSecond / 1e6 * 100;
  }
  return {
    heapBytesPerMember: Math.round(bytesPerMember),
    recordBytes: toBinary(MemberSchema, world.membership.self).length,
    exchangeBytes: exchangeOf(world.membership).length,
    microsPerRun,
    corePercent: round(corePercent),
  };
}

interface World {
  readonly membership: Membership;
  readonly balancer: Balancer;
  readonly keeper: SlotPlanner;
}

function createWorld(size: number, seed: number): World {
  const random = new Random(seed);
  const self = memberOf(0);
  const balancer = new Balancer(self, random);
  const membership = new Membership(self, {
    random,
    periodMs: 1_000,
    suspicionMs: 4_000,
    onChange: ({ member }) => balancer.update(member, 0),
  });
  balancer.update(self, 0);
  const others = Array.from(
    { length: size - 1 },
    (_, index) => memberOf(index + 1),
  );
  membership.receive(others, { wallMs: 0, monotonicMs: 0 }, {
    shouldPropagate: false,
  });
  const keeper = new SlotPlanner(self.id, slotsFor(self.domain, PARTITIONS));
  return { membership, balancer, keeper };
}

function memberOf(number: number): Member {
  const domain = `domain-${number % DOMAINS}`;
  return create(MemberSchema, {
    id: `instance-${number}-0a1b2c3d`,
    instance: `instance-${number}`,
    domain,
    service: `service-${number % SERVICES}`,
    host: `10.${number >> 16}.${(number >> 8) & 255}.${number & 255}`,
    peerPort: 7_002,
    controlPort: 7_003,
    state: MemberState.ALIVE,
    incarnation: 1,
    backendReady: true,
    slots: 20,
    leasedSlots: slotsOf(number, domain),
  });
}

/** The first members hold the claim partitions, two of each domain read. */
function slotsOf(number: number, domain: string): string[] {
  const claims = number < PARTITIONS ? [claimSlotName(number)] : [];
  const round = Math.floor(number / DOMAINS);
  const reads = round === 3 || round === 4;
  return reads ? [readerSlotName(domain, round - 3)] : claims;
}

function stepsOf(world: World, size: number): Record<string, Step> {
  const { membership, balancer, keeper } = world;
  const service = sampleService();
  const tried = new Set<string>();
  let incarnation = 1;
  return {
    probeRound: {
      perSecond: 1,
      run: (number) => {
        membership.tick({ wallMs: number, monotonicMs: number * 1_000 });
      },
    },
    bridges: { perSecond: 1, run: () => membership.bridgePartners() },
    exchange: { perSecond: 4, run: () => exchangeOf(membership) },
    slotLook: {
      perSecond: 2,
      run: (number) => {
        const present = membership.table.present();
        keeper.slotsToAcquire(present, number);
        keeper.slotToRelease(present);
      },
    },
    memberChange: {
      perSecond: CHANGES_PER_S,
      run: (number) => {
        const changed = memberOf(1 + number % (size - 1));
        changed.incarnation = ++incarnation;
        const now = { wallMs: 0, monotonicMs: 0 };
        membership.receive([changed], now, { shouldPropagate: false });
        membership.bridgePartners();
      },
    },
    claimHolder: {
      perSecond: 0,
      run: (number) => {
        membership.table.holdersOf(claimSlotName(number % PARTITIONS));
      },
    },
    choice: {
      perSecond: 0,
      run: (number) => {
        const options = { service, tried, nowMs: number };
        balancer.choose(`service-${number % SERVICES}`, options);
      },
    },
  };
}

function exchangeOf(membership: Membership): Uint8Array {
  const gossip = create(GossipSchema, {
    members: membership.takeUpdates(32),
    configVersion: 1,
    configDigest: "0".repeat(64),
    tableDigest: membership.table.digest,
  });
  const request = { sender: membership.self, targetId: "peer", gossip };
  return toBinary(
    ExchangeRequestSchema,
    create(ExchangeRequestSchema, request),
  );
}

/** Average time of a run, in µs. */
function timeOf(step: Step): number {
  const startMs = performance.now();
  for (let number = 0; number < RUNS; number++) step.run(number);
  return (performance.now() - startMs) * 1_000 / RUNS;
}

/** Returns a function that collects garbage and tells the heap's size. */
function collector(): () => number {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  return () => {
    collect();
    return process.memoryUsage().heapUsed;
  };
}
