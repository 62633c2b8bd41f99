import type { BackendRecord } from "../../protocol/mesh.ts";
import type { ChoiceOptions, DestinationChoice } from "./choose_destination.ts";
import { needsTransferPermit } from "./transfer_limiter.ts";

/** Most destinations compared per choice, in the local and in other domains. */
const MAX_LOCAL_COMPARED = 6;
const MAX_REMOTE_COMPARED = 4;
/** Cost of leaving the local failure domain, as an equivalent wait in ms. */
const REMOTE_PENALTY_MS = 60;
/** Additional cost per byte that crosses failure domains, in ms. */
const REMOTE_PENALTY_PER_BYTE_MS = 0.05;
/** Most of the cost by bytes, so that a failing local server is left, in ms. */
const MAX_BYTES_PENALTY_MS = 600;
/** Share of the time to the objective that bytes may keep a request waiting. */
const MAX_BYTES_PENALTY_SHARE = 0.5;
/** Cost of a request that is certain to fail, as an equivalent wait in ms. */
const FAILURE_PENALTY_MS = 1_500;
/** Range of the random cost that spreads equal destinations, in ms. */
const JITTER_MS = 5;

/**
 * Chooses the destination with the lowest expected response time, with a
 * preference for the local failure domain that grows with the size of the body
 * and of the expected response.
 *
 * It serves deployments whose backend servers work alike, and in which a daemon
 * hears from each of them often.
 *
 * @param records Backend servers of the service that accept requests.
 * @param options The request, and the statistics of the destinations.
 * @returns The choice; `undefined` if none is left.
 *
 * @example
 * ```ts ignore
 * const records = directory.readyBackends("orders");
 * const choice = chooseByResponseTime(records, options);
 * ```
 */
export function chooseByResponseTime(
  records: readonly BackendRecord[],
  options: ChoiceOptions,
): DestinationChoice | undefined {
  const candidates = findReachable(records, options);
  let best: (DestinationChoice & { readonly cost: number }) | undefined;
  for (const record of sampleCandidates(candidates, options)) {
    const estimate = estimateCost(record, options);
    if (best === undefined || estimate.cost < best.cost) best = estimate;
  }
  return best;
}

function findReachable(
  records: readonly BackendRecord[],
  { excluded, statsOf, nowMs }: ChoiceOptions,
): readonly BackendRecord[] {
  const reachable = records.filter((one) =>
    !excluded.has(one.id) && !statsOf(one).isUnreachable(nowMs)
  );
  return reachable.length > 0
    ? reachable
    : records.filter((one) => !excluded.has(one.id));
}

function sampleCandidates(
  records: readonly BackendRecord[],
  options: ChoiceOptions,
): readonly BackendRecord[] {
  if (records.length <= MAX_REMOTE_COMPARED) return records;
  const { random, localDomain } = options;
  const local = records.filter((one) => one.domain === localDomain);
  const remote = records.filter((one) => one.domain !== localDomain);
  return [
    ...random.sample(local, MAX_LOCAL_COMPARED),
    ...random.sample(remote, MAX_REMOTE_COMPARED),
  ];
}

function estimateCost(
  record: BackendRecord,
  options: ChoiceOptions,
): DestinationChoice & { readonly cost: number } {
  const { nowMs } = options;
  const route = options.costKey[0]!;
  const stats = options.statsOf(record);
  const estimate = stats.estimateByMeans(route, nowMs, record.slots);
  const permitWaitMs = needsTransferPermit(options.bodyBytes, record.linkMbps)
    ? stats.expectedPermitWaitMs(nowMs)
    : 0;
  const { serviceMs } = estimate;
  const waitMs = estimate.waitMs + permitWaitMs;
  const queueMs = estimate.queueMs + permitWaitMs;
  const isRemote = record.domain !== options.localDomain;
  const remotePenaltyMs = isRemote ? computeRemotePenaltyMs(options) : 0;
  const failurePenaltyMs = stats.failureShare(nowMs) * FAILURE_PENALTY_MS;
  const jitterMs = options.random.fraction() * JITTER_MS;
  const cost = waitMs + serviceMs + remotePenaltyMs + failurePenaltyMs +
    jitterMs;
  const isShort = stats.isShortByMeans(route);
  return { record, waitMs, queueMs, serviceMs, isShort, cost };
}

/**
 * Bytes between domains are dear, but a request is not kept from its objective
 * for them.
 */
function computeRemotePenaltyMs(options: ChoiceOptions): number {
  const bytes = options.bodyBytes + options.responseBytes;
  const slackMs = Math.max(0, options.objectiveAtMs - options.nowMs);
  return REMOTE_PENALTY_MS + Math.min(
    MAX_BYTES_PENALTY_MS,
    bytes * REMOTE_PENALTY_PER_BYTE_MS,
    slackMs * MAX_BYTES_PENALTY_SHARE,
  );
}
