import type { BackendRecord } from "../../protocol/mesh.ts";
import type { Random } from "../../protocol/random.ts";
import { needsPlace } from "./body_gate.ts";
import type { DestinationView } from "./destination_view.ts";

/** Most destinations that one choice compares, of each of both kinds. */
const MAX_LOCAL_COMPARED = 6;
const MAX_REMOTE_COMPARED = 4;
/** Wait that the way into another failure domain is worth, in ms. */
const REMOTE_PENALTY_MS = 60;
/** Further wait that a byte sent into another failure domain is worth, in ms. */
const REMOTE_PENALTY_PER_BYTE_MS = 0.01;
/** Wait that a request which surely fails is worth, in ms. */
const FAILURE_PENALTY_MS = 1_500;
/** Range over which equal destinations are spread, in ms. */
const JITTER_MS = 5;

/** What a choice depends on besides the destinations. */
export interface ChoiceOptions {
  readonly route: string;
  readonly bodyBytes: number;
  readonly ownDomain: string;
  readonly nowMs: number;
  /** Ids of backend servers to leave out. */
  readonly excluded: ReadonlySet<string>;
  readonly viewOf: (record: BackendRecord) => DestinationView;
  readonly random: Random;
}

/** A destination with the estimate by which it was chosen. */
export interface DestinationChoice {
  readonly record: BackendRecord;
  readonly waitMs: number;
  readonly serviceMs: number;
  /** Whether the request takes little next to the destination's others. */
  readonly isShort: boolean;
}

/**
 * Chooses the destination that is expected to answer first, with a preference
 * for the own failure domain that grows with the size of the body.
 *
 * @param records Backend servers of the service that take work.
 * @param options The request, and what is known of the destinations.
 * @returns The choice; `undefined` where none is left.
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
  const { nowMs, viewOf, excluded } = options;
  const inReach = records.filter((one) =>
    !excluded.has(one.id) && !viewOf(one).isUnreachable(nowMs)
  );
  const usable = inReach.length > 0
    ? inReach
    : records.filter((one) => !excluded.has(one.id));
  let best: (DestinationChoice & { readonly cost: number }) | undefined;
  for (const record of compared(usable, options)) {
    const estimate = estimateOf(record, options);
    if (best === undefined || estimate.cost < best.cost) best = estimate;
  }
  return best;
}

function compared(
  records: readonly BackendRecord[],
  options: ChoiceOptions,
): readonly BackendRecord[] {
  if (records.length <= MAX_REMOTE_COMPARED) return records;
  const { random, ownDomain } = options;
  const local = records.filter((one) => one.domain === ownDomain);
  const remote = records.filter((one) => one.domain !== ownDomain);
  return [
    ...random.sample(local, MAX_LOCAL_COMPARED),
    ...random.sample(remote, MAX_REMOTE_COMPARED),
  ];
}

function estimateOf(
  record: BackendRecord,
  options: ChoiceOptions,
): DestinationChoice & { readonly cost: number } {
  const { nowMs, route } = options;
  const view = options.viewOf(record);
  const { waitMs: queueMs, serviceMs } = view.expected(
    route,
    nowMs,
    record.slots,
  );
  const placeMs = needsPlace(options.bodyBytes, record.linkMbps)
    ? view.placeWaitMs(nowMs)
    : 0;
  const waitMs = queueMs + placeMs;
  const isRemote = record.domain !== options.ownDomain;
  const penaltyMs = isRemote
    ? REMOTE_PENALTY_MS + options.bodyBytes * REMOTE_PENALTY_PER_BYTE_MS
    : 0;
  const failureMs = view.failureShare(nowMs) * FAILURE_PENALTY_MS;
  const jitterMs = options.random.fraction() * JITTER_MS;
  const cost = waitMs + serviceMs + penaltyMs + failureMs + jitterMs;
  const isShort = view.times.isShort(route);
  return { record, waitMs, serviceMs, isShort, cost };
}
