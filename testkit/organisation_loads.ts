import { Random } from "../src/protocol/random.ts";
import {
  generateTraffic,
  type SimulatedRequest,
  simulateQueue,
  type TrafficOptions,
} from "./queue_simulation.ts";

const SLOTS = 13;
const READ = {
  route: "read",
  priority: 0,
  serviceMs: 289,
  objectiveMs: 869,
  timeoutMs: 1_500,
};
/** Reads per second that the slots can run. */
const CAPACITY_PER_S = SLOTS * 1_000 / READ.serviceMs;
const ORGANISATIONS = 75;
const ZIPF_EXPONENT = 1.2;
const SURGE_FROM_MS = 3_000;
const SURGE_TO_MS = 18_000;
/** Identical requests that a resending caller sends at the same time. */
const COPIES = 3;

const SEEDS = [11, 12, 13, 14, 15, 16];
/** Ids of the requests of one run. */
const ID_RANGE = 1e9;

/** Traffic of many organisations at one backend server. */
export interface OrganisationLoad {
  readonly name: string;
  /** Usual traffic, relative to what the slots can run. */
  readonly usual: number;
  /** Ranks by size of the organisations that send more than usual. */
  readonly surging: readonly number[];
  /** Their traffic relative to the usual. */
  readonly factor: number;
  /** Share of the requests whose callers send three copies at once. */
  readonly resending: number;
  /** Priority of the organisations of which the size's rank is odd. */
  readonly oddPriority?: number;
}

/** Requests that were answered within their objective, and their shares. */
export interface ServedShares {
  readonly total: number;
  readonly inTime: number;
  /** Mean of the tenth of the organisations with the lowest shares. */
  readonly worstTenth: number;
  /** Lowest share of an organisation, relative to that of all. */
  readonly leastRelative: number;
}

/**
 * Runs a load over several seeds.
 *
 * @param load The load.
 * @param isFair Whether the queue knows the organisations.
 * @returns What was served during the surge.
 *
 * @example
 * ```ts ignore
 * runOrganisationLoad(load, true).worstTenth; // 0.88
 * ```
 */
export function runOrganisationLoad(
  load: OrganisationLoad,
  isFair: boolean,
): ServedShares {
  const runs = SEEDS.map((seed) => runOnce(load, isFair, seed));
  return countServed(
    runs.flatMap(({ originals }) => originals),
    new Set(runs.flatMap(({ served }) => served)),
  );
}

interface Run {
  readonly originals: readonly SimulatedRequest[];
  /** Ids of the requests that were answered within their objective. */
  readonly served: readonly number[];
}

function runOnce(
  load: OrganisationLoad,
  isFair: boolean,
  seed: number,
): Run {
  const random = new Random(seed);
  const originals = generateOrganisations(
    load,
    { ...READ, perS: load.usual * CAPACITY_PER_S },
    random,
    seed * ID_RANGE,
  );
  const requests = originals.flatMap((request) =>
    Array.from(
      { length: random.fraction() < load.resending ? COPIES : 1 },
      () => ({ ...request }),
    )
  );
  const ends = simulateQueue({
    slots: SLOTS,
    serviceMs: { [READ.route]: READ.serviceMs },
    requests: isFair ? requests : requests.map(withoutOrganisation),
  });
  const served = ends.filter(({ request, startedAtMs, endedAtMs }) =>
    startedAtMs !== undefined && endedAtMs <= request.objectiveAtMs
  ).map(({ request }) => request.id);
  return { originals, served };
}

/**
 * Generates the requests of a load's organisations.
 *
 * @param load The load.
 * @param stream Their route, and the usual requests per second of all.
 * @param random Source of times, work and organisations.
 * @param firstId Id of the first request.
 * @returns The requests.
 *
 * @example
 * ```ts ignore
 * const requests = generateOrganisations(load, stream, random, 0);
 * ```
 */
export function generateOrganisations(
  load: OrganisationLoad,
  stream: Omit<TrafficOptions, "weights" | "fromMs" | "toMs">,
  random: Random,
  firstId: number,
): readonly SimulatedRequest[] {
  const weights = Array.from(
    { length: ORGANISATIONS },
    (_, index) => (index + 1) ** -ZIPF_EXPONENT,
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const usual = generateTraffic(
    { ...stream, weights, fromMs: 0, toMs: SURGE_TO_MS },
    random,
    firstId,
  );
  const extra = load.surging.flatMap((rank) =>
    generateTraffic(
      {
        ...stream,
        perS: stream.perS * (load.factor - 1) * weights[rank]! / total,
        weights: weights.map((_, index) => index === rank ? 1 : 0),
        fromMs: SURGE_FROM_MS,
        toMs: SURGE_TO_MS,
      },
      random,
      firstId + (rank + 1) * 1_000_000,
    )
  );
  return [...usual, ...extra].map((request) => ({
    ...request,
    organisationPriority: isOdd(request) ? load.oddPriority ?? 0 : 0,
  }));
}

function isOdd({ organisation }: SimulatedRequest): boolean {
  return Number(organisation!.slice(1)) % 2 === 1;
}

function withoutOrganisation(request: SimulatedRequest): SimulatedRequest {
  const { organisation: _, organisationPriority: __, ...rest } = request;
  return rest;
}

/**
 * Counts what was served during the surge.
 *
 * @param originals The requests, without copies.
 * @param served Ids of those that were served.
 * @returns The shares.
 *
 * @example
 * ```ts ignore
 * countServed(requests, new Set([1])).total; // 1
 * ```
 */
export function countServed(
  originals: readonly SimulatedRequest[],
  served: ReadonlySet<number>,
): ServedShares {
  const measured = originals.filter(({ arrivedAtMs }) =>
    arrivedAtMs >= SURGE_FROM_MS
  );
  const byOrganisation = new Map<string, SimulatedRequest[]>();
  for (const request of measured) {
    const group = byOrganisation.get(request.organisation!) ?? [];
    group.push(request);
    byOrganisation.set(request.organisation!, group);
  }
  const shareOf = (requests: readonly SimulatedRequest[]) =>
    requests.filter(({ id }) => served.has(id)).length /
    Math.max(1, requests.length);
  const shares = [...byOrganisation.values()].map(shareOf).sort((a, b) =>
    a - b
  );
  const worst = shares.slice(0, Math.ceil(shares.length / 10));
  const inTime = shareOf(measured);
  return {
    total: measured.filter(({ id }) => served.has(id)).length,
    inTime: round(inTime),
    worstTenth: round(
      worst.reduce((sum, share) => sum + share, 0) / worst.length,
    ),
    leastRelative: round(shares[0]! / inTime),
  };
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
