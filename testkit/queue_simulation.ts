import type { WorkItem } from "../src/coordination/dispatch/work_item.ts";
import { WorkQueue } from "../src/coordination/dispatch/work_queue.ts";
import type { Random } from "../src/protocol/random.ts";

/** A request of a simulation, with the work that it really takes. */
export interface SimulatedRequest extends WorkItem {
  /** Requests with the same id are copies that one caller has sent. */
  readonly id: number;
  readonly serviceMs: number;
}

/** What became of a simulated request; times in ms. */
export interface SimulatedEnd {
  readonly request: SimulatedRequest;
  /** `undefined` if it was refused. */
  readonly startedAtMs: number | undefined;
  /** When it was answered or refused. */
  readonly endedAtMs: number;
}

/** Parameters of a {@linkcode simulateQueue} run. */
export interface SimulationOptions {
  readonly slots: number;
  /** Usual service times by route, which the queue has learned before. */
  readonly serviceMs: Readonly<Record<string, number>>;
  readonly requests: readonly SimulatedRequest[];
}

/**
 * Runs requests through the queue of one backend server, without a network.
 *
 * @param options Slots, service times and requests.
 * @returns The ends of all requests, in their order in time.
 *
 * @example
 * ```ts ignore
 * const ends = simulateQueue({ slots: 13, serviceMs: { read: 289 }, requests });
 * ```
 */
export function simulateQueue(options: SimulationOptions): SimulatedEnd[] {
  const queue = new WorkQueue<SimulatedRequest>(options.slots);
  for (const [route, ms] of Object.entries(options.serviceMs)) {
    queue.serviceTimes.record(route, ms);
  }
  const arrivals = [...options.requests]
    .sort((a, b) => a.arrivedAtMs - b.arrivedAtMs);
  const running: { request: SimulatedRequest; endMs: number }[] = [];
  const startedAtMs = new Map<SimulatedRequest, number>();
  const ends: SimulatedEnd[] = [];
  const start = (request: SimulatedRequest, nowMs: number) => {
    startedAtMs.set(request, nowMs);
    const endMs = nowMs + request.serviceMs;
    const index = running.findIndex((one) => one.endMs > endMs);
    running.splice(index < 0 ? running.length : index, 0, { request, endMs });
  };
  const refuse = (request: SimulatedRequest, nowMs: number) =>
    ends.push({ request, startedAtMs: undefined, endedAtMs: nowMs });
  const dispatch = (nowMs: number) => {
    const { started, expired } = queue.dispatch(nowMs);
    for (const request of expired) refuse(request, nowMs);
    for (const request of started) start(request, nowMs);
  };
  for (let next = 0; next < arrivals.length || running.length > 0;) {
    const arrival = arrivals[next];
    const first = running[0];
    if (
      first !== undefined &&
      (arrival === undefined || first.endMs <= arrival.arrivedAtMs)
    ) {
      const { request, endMs } = running.shift()!;
      queue.finish(request, request.serviceMs);
      ends.push({
        request,
        startedAtMs: startedAtMs.get(request),
        endedAtMs: endMs,
      });
      dispatch(endMs);
      continue;
    }
    next++;
    const nowMs = arrival!.arrivedAtMs;
    const offer = queue.offer(arrival!, nowMs);
    if (offer.kind === "start") start(arrival!, nowMs);
    if (offer.kind === "refuse") refuse(arrival!, nowMs);
    if (offer.kind === "displace") {
      for (const request of offer.displaced) refuse(request, nowMs);
    }
  }
  return ends;
}

/** A stream of requests of one route. */
export interface TrafficOptions {
  readonly route: string;
  readonly priority: number;
  readonly serviceMs: number;
  readonly objectiveMs: number;
  readonly timeoutMs: number;
  readonly perS: number;
  readonly fromMs: number;
  readonly toMs: number;
  /** Weights by organisation. */
  readonly weights?: readonly number[];
}

/** Largest relative deviation of a request's work from the usual. */
const WORK_DEVIATION = 0.4;

/**
 * Generates requests that arrive independently of each other.
 *
 * @param options The stream.
 * @param random Source of times, work and organisations.
 * @param firstId Id of the first request.
 * @returns The requests.
 */
export function generateTraffic(
  options: TrafficOptions,
  random: Random,
  firstId: number,
): SimulatedRequest[] {
  const requests: SimulatedRequest[] = [];
  const { weights = [], ...stream } = options;
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let atMs = stream.fromMs;
  for (;;) {
    atMs -= Math.log(1 - random.fraction()) * 1_000 / stream.perS;
    if (atMs >= stream.toMs) return requests;
    let rest = random.fraction() * total;
    const index = weights.findIndex((weight) => (rest -= weight) < 0);
    requests.push({
      id: firstId + requests.length,
      route: stream.route,
      priority: stream.priority,
      arrivedAtMs: atMs,
      objectiveAtMs: atMs + stream.objectiveMs,
      deadlineMs: atMs + stream.timeoutMs,
      serviceMs: stream.serviceMs *
        (1 + (2 * random.fraction() - 1) * WORK_DEVIATION),
      ...(index < 0 ? {} : { organisation: `o${index}` }),
    });
  }
}
