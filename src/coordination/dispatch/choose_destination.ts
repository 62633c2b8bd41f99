import type { BackendRecord } from "../../protocol/mesh.ts";
import type { Random } from "../../protocol/random.ts";
import { needsTransferPermit } from "./transfer_limiter.ts";
import type { CostDistribution } from "./cost_distribution.ts";
import type { DestinationStats } from "./destination_stats.ts";
import type { RequestCostKey } from "./request_cost_key.ts";
import type { RequestCosts } from "./request_costs.ts";

/** Most destinations compared per choice, in the local and in other domains. */
const MAX_LOCAL_COMPARED = 2;
const MAX_REMOTE_COMPARED = 4;
/** Most destinations compared because they were lately free. */
const MAX_FREE_COMPARED = 4;
/** Age of a report up to which a destination counts as free, in ms. */
const MAX_FREE_AGE_MS = 200;
/**
 * Value of a byte that stays in its failure domain, in answers within their
 * objective. The operators pay a twentieth of such an answer for 5 kB that
 * cross domains, and nine tenths for 90 kB.
 */
const VALUE_PER_LOCAL_BYTE = 0.000_01;
/** Value of an answer past the objective, in answers within it. */
const LATE_VALUE = 0.3;
/** Value of an answer at once instead of at the objective, likewise. */
const PROMPTNESS_VALUE = 0.1;
/** Shortest objective by which promptness is measured, in ms. */
const MIN_OBJECTIVE_MS = 100;
/** Cost of a failure besides the lost answer: the work and the caller's wait. */
const FAILURE_COST = 1.5;
/** Range of the random value that spreads equal destinations, likewise. */
const JITTER_VALUE = 0.002;

/** Parameters of a choice besides the destinations. */
export interface ChoiceOptions {
  /** Key of the request's cost, with the name of its route first. */
  readonly costKey: RequestCostKey;
  /** Costs of the requests of the service. */
  readonly costs: RequestCosts;
  readonly bodyBytes: number;
  /** Expected size of the response, in bytes. */
  readonly responseBytes: number;
  readonly objectiveAtMs: number;
  readonly deadlineMs: number;
  readonly localDomain: string;
  /** Monotonic time. */
  readonly nowMs: number;
  /** Ids of backend servers to leave out. */
  readonly excluded: ReadonlySet<string>;
  readonly statsOf: (record: BackendRecord) => DestinationStats;
  readonly random: Random;
}

/** A chosen destination with its estimated wait and service time, in ms. */
export interface DestinationChoice {
  readonly record: BackendRecord;
  readonly waitMs: number;
  /** The part of the wait that is spent behind other requests. */
  readonly queueMs: number;
  readonly serviceMs: number;
  /** Whether the request is short compared to the destination's average. */
  readonly isShort: boolean;
}

/**
 * Chooses the destination with the highest expected value: the chance that the
 * response meets its objective, less the cost of the bytes that cross failure
 * domains. A request leaves the local domain where that raises its chance by
 * more than its bytes are worth.
 *
 * @param records Backend servers of the service that accept requests.
 * @param options The request, and the statistics of the destinations.
 * @returns The choice; `undefined` if none is left.
 *
 * @example
 * ```ts ignore
 * const choice = chooseDestination(directory.readyBackends("orders"), options);
 * ```
 */
export function chooseDestination(
  records: readonly BackendRecord[],
  options: ChoiceOptions,
): DestinationChoice | undefined {
  const cost = options.costs.estimate(options.costKey, options.nowMs);
  let best: ValuedChoice | undefined;
  const compare = (record: BackendRecord) => {
    const choice = estimateValue(record, options, cost);
    if (best === undefined || choice.value > best.value) best = choice;
  };
  const { local, remote, recentlyFree } = findCandidates(records, options);
  if (local.length + remote.length <= MAX_REMOTE_COMPARED) {
    local.forEach(compare);
    remote.forEach(compare);
    return best;
  }
  recentlyFree.forEach(compare);
  takeRandom(local, MAX_LOCAL_COMPARED, options.random).forEach(compare);
  takeRandom(remote, MAX_REMOTE_COMPARED, options.random).forEach(compare);
  return best;
}

/** A choice with its expected value, in answers within their objective. */
type ValuedChoice = DestinationChoice & { readonly value: number };

interface Candidates {
  readonly local: BackendRecord[];
  readonly remote: BackendRecord[];
  /** Local ones that had a free slot lately, the latest first. */
  readonly recentlyFree: readonly BackendRecord[];
}

/** Leaves out unreachable destinations, unless there are no others. */
function findCandidates(
  records: readonly BackendRecord[],
  options: ChoiceOptions,
): Candidates {
  const { nowMs, localDomain, excluded, statsOf } = options;
  const local: BackendRecord[] = [];
  const remote: BackendRecord[] = [];
  const unreachable: BackendRecord[] = [];
  const recentlyFree = new LatestRecords(MAX_FREE_COMPARED);
  for (const record of records) {
    if (excluded.has(record.id)) continue;
    const stats = statsOf(record);
    const isLocal = record.domain === localDomain;
    if (stats.isUnreachable(nowMs)) {
      unreachable.push(record);
    } else if (isLocal) {
      local.push(record);
      const { freeAtMs } = stats;
      if (nowMs - freeAtMs <= MAX_FREE_AGE_MS) {
        recentlyFree.add(record, freeAtMs);
      }
    } else {
      remote.push(record);
    }
  }
  if (local.length + remote.length > 0) {
    return { local, remote, recentlyFree: recentlyFree.records };
  }
  for (const record of unreachable) {
    (record.domain === localDomain ? local : remote).push(record);
  }
  return { local, remote, recentlyFree: [] };
}

/** The records with the latest times, in the order of these. */
class LatestRecords {
  readonly records: BackendRecord[] = [];
  readonly #timesMs: number[] = [];
  readonly #size: number;

  constructor(size: number) {
    this.#size = size;
  }

  add(record: BackendRecord, atMs: number): void {
    let at = this.records.length;
    while (at > 0 && this.#timesMs[at - 1]! < atMs) at--;
    if (at >= this.#size) return;
    this.records.splice(at, 0, record);
    this.#timesMs.splice(at, 0, atMs);
    if (this.records.length <= this.#size) return;
    this.records.pop();
    this.#timesMs.pop();
  }
}

/** Moves random records to the front, and returns these. */
function takeRandom(
  records: BackendRecord[],
  count: number,
  random: Random,
): readonly BackendRecord[] {
  const size = Math.min(count, records.length);
  for (let index = 0; index < size; index++) {
    const other = index + random.below(records.length - index);
    [records[index], records[other]] = [records[other]!, records[index]!];
  }
  return records.slice(0, size);
}

function estimateValue(
  record: BackendRecord,
  options: ChoiceOptions,
  cost: CostDistribution,
): ValuedChoice {
  const { nowMs, costKey, objectiveAtMs, deadlineMs } = options;
  const stats = options.statsOf(record);
  const estimate = stats.estimate(costKey, nowMs, record.slots, cost);
  const permitWaitMs = needsTransferPermit(options.bodyBytes, record.linkMbps)
    ? stats.expectedPermitWaitMs(nowMs)
    : 0;
  const { serviceMs, pace } = estimate;
  const waitMs = estimate.waitMs + permitWaitMs;
  const queueMs = estimate.queueMs + permitWaitMs;
  const delayMs = estimate.delayMs + permitWaitMs;
  const within = (atMs: number) =>
    shareWithin(cost, atMs - nowMs, delayMs, pace);
  const inTime = within(objectiveAtMs);
  const served = inTime + LATE_VALUE * (within(deadlineMs) - inTime);
  const objectiveMs = Math.max(MIN_OBJECTIVE_MS, objectiveAtMs - nowMs);
  const failureShare = stats.failureShare(nowMs);
  const value = served * (1 - failureShare) - FAILURE_COST * failureShare -
    PROMPTNESS_VALUE * (waitMs + serviceMs) / objectiveMs -
    (record.domain === options.localDomain ? 0 : crossingCost(options)) +
    options.random.fraction() * JITTER_VALUE;
  const isShort = stats.isShort(costKey[0]!);
  return { record, waitMs, queueMs, serviceMs, isShort, value };
}

/** Chance that a request ends in time; the delay may be off by a half. */
function shareWithin(
  cost: CostDistribution,
  remainingMs: number,
  delayMs: number,
  pace: number,
): number {
  const early = cost.shareWithin((remainingMs - delayMs * 0.5) / pace);
  const late = cost.shareWithin((remainingMs - delayMs * 1.5) / pace);
  return (early + late) / 2;
}

function crossingCost(options: ChoiceOptions): number {
  const bytes = options.bodyBytes + options.responseBytes;
  return bytes * VALUE_PER_LOCAL_BYTE;
}
