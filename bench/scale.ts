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

/** Fleet sizes, in members. */
const SIZES = [300, 600, 1_200, 2_400];
/** Number of failure domains and services expected in two years. */
const DOMAINS = 7;
const SERVICES = 89;
const PARTITIONS = 16;
/** Member changes on an ordinary day: 930 restarts with three states each. */
const CHANGES_PER_S = 3 * 930 / 86_400;
/** Runs of a step per turn; the median over all turns counts. */
const RUNS = 200;
const TURNS = 5;

/** Claims over which the heap use of a claim is averaged. */
const CLAIM_COUNT = 20_000;

/** A periodic step of a daemon's control loop. */
interface Step {
  readonly perSecond: number;
  readonly run: (number: number) => void;
}

/**
 * Measures the cost of a daemon's control decisions by fleet size, in one
 * process and without sockets, and fits a line through the sizes.
 */
export function benchScale(seed: number): Promise<unknown> {
  const sizes = SIZES.map((size) => ({ size, ...measureSize(size, seed) }));
  const steps = Object.keys(sizes[0]!.microsPerRun);
  const slopes = Object.fromEntries(steps.map((name) => {
    const points = sizes.map((entry) =>
      [entry.size, entry.microsPerRun[name]!] as const
    );
    return [name, {
      microsPer1000Members: round(fitLine(points).slope * 1_000),
    }];
  }));
  const heapBytesPerClaim = measureHeapBytesPerClaim();
  return Promise.resolve({ sizes, slopes, heapBytesPerClaim });
}

/** Measures the heap use of a claim whose stored response has no body. */
function measureHeapBytesPerClaim(): number {
  const measureHeapBytes = createHeapProbe();
  const before = measureHeapBytes();
  const partition = new ClaimPartition(900_000);
  for (let number = 0; number < CLAIM_COUNT; number++) {
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
  const heapBytes = Math.round((measureHeapBytes() - before) / CLAIM_COUNT);
  return partition.size === CLAIM_COUNT ? heapBytes : Number.NaN;
}

function measureSize(size: number, seed: number) {
  const measureHeapBytes = createHeapProbe();
  const before = measureHeapBytes();
  const state = createControlState(size, seed);
  const bytesPerMember = (measureHeapBytes() - before) / size;
  const steps = createSteps(state, size);
  const microsPerRun: Record<string, number> = {};
  let corePercent = 0;
  for (const [name, step] of Object.entries(steps)) {
    const micros = median(
      Array.from({ length: TURNS }, () => measureStepMicros(step)),
    );
    microsPerRun[name] = round(micros);
    corePercent += micros * step.perSecond / 1e6 * 100;
  }
  return {
    heapBytesPerMember: Math.round(bytesPerMember),
    recordBytes: toBinary(MemberSchema, state.membership.self).length,
    exchangeBytes: encodeExchange(state.membership).length,
    microsPerRun,
    corePercent: round(corePercent),
  };
}

interface ControlState {
  readonly membership: Membership;
  readonly balancer: Balancer;
  readonly planner: SlotPlanner;
}

function createControlState(size: number, seed: number): ControlState {
  const random = new Random(seed);
  const self = createMember(0);
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
    (_, index) => createMember(index + 1),
  );
  membership.receive(others, { wallMs: 0, monotonicMs: 0 }, {
    shouldPropagate: false,
  });
  const planner = new SlotPlanner(self.id, slotsFor(self.domain, PARTITIONS));
  return { membership, balancer, planner };
}

function createMember(number: number): Member {
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
    leasedSlots: leasedSlotsFor(number, domain),
  });
}

/**
 * Returns the slots of a member: the first members hold the claim partitions,
 * and two members of each domain are its store readers.
 */
function leasedSlotsFor(number: number, domain: string): string[] {
  const claims = number < PARTITIONS ? [claimSlotName(number)] : [];
  const indexInDomain = Math.floor(number / DOMAINS);
  const isReader = indexInDomain === 3 || indexInDomain === 4;
  return isReader ? [readerSlotName(domain, indexInDomain - 3)] : claims;
}

function createSteps(state: ControlState, size: number): Record<string, Step> {
  const { membership, balancer, planner } = state;
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
    exchange: { perSecond: 4, run: () => encodeExchange(membership) },
    slotLook: {
      perSecond: 2,
      run: (number) => {
        const present = membership.table.present();
        planner.slotsToAcquire(present, number);
        planner.slotToRelease(present);
      },
    },
    memberChange: {
      perSecond: CHANGES_PER_S,
      run: (number) => {
        const changed = createMember(1 + number % (size - 1));
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

function encodeExchange(membership: Membership): Uint8Array {
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

/** Returns the average time of a run, in µs. */
function measureStepMicros(step: Step): number {
  const startMs = performance.now();
  for (let number = 0; number < RUNS; number++) step.run(number);
  return (performance.now() - startMs) * 1_000 / RUNS;
}

/** Returns a function that collects garbage and returns the heap size. */
function createHeapProbe(): () => number {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  return () => {
    collect();
    return process.memoryUsage().heapUsed;
  };
}
