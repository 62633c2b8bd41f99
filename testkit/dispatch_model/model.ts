import { Buffer } from "node:buffer";
import {
  type CallOutcome,
  type DestinationLoad,
  MeshReason,
  notRunOutcome,
} from "../../src/protocol/mesh_call.ts";
import { type BackendRecord, BackendState } from "../../src/protocol/mesh.ts";
import { Random } from "../../src/protocol/random.ts";
import {
  type WorkItem,
  WorkQueue,
} from "../../src/coordination/dispatch/mod.ts";
import type { Load, RequestSpec } from "./loads.ts";
import { Timeline } from "./timeline.ts";

const DOMAINS = ["a", "b", "c"];
const MAX_SENDS = 3;
/** Time without measurement, in which the daemons learn, in ms. */
const WARM_UP_MS = 4_000;
/** Slowdown of a backend server that runs requests in all its slots. */
const FULL_SLOWDOWN = 0.25;

/** A request of the trace. */
export interface ModelRequest {
  readonly spec: RequestSpec;
  readonly arrivedAtMs: number;
  readonly objectiveAtMs: number;
  readonly deadlineMs: number;
  /** Its work at the usual pace, in ms. */
  readonly workMs: number;
}

/** Chooses the destinations of the requests that enter at one daemon. */
export interface Chooser {
  /** @returns Index of a server; `undefined` refuses the request. */
  choose(
    request: ModelRequest,
    excluded: ReadonlySet<string>,
    nowMs: number,
  ): number | undefined;
  recordSend(request: ModelRequest, server: number): void;
  recordEnd(
    request: ModelRequest,
    server: number,
    outcome: CallOutcome,
    load: DestinationLoad,
    nowMs: number,
  ): void;
}

/** Creates the chooser of one daemon. */
export type ChooserFactory = (
  fleet: { readonly load: Load; readonly servers: readonly ModelServer[] },
  domain: string,
  random: Random,
) => Chooser;

/** What became of the requests of a trial. */
export interface TrialResult {
  /** Share that was answered within the objective. */
  readonly inTime: number;
  /** The same of the requests that entered in the domain with the least. */
  readonly worstInTime: number;
  /** Answers in time, less the cost of the bytes between domains. */
  readonly value: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly refused: number;
  readonly remoteKb: number;
}

interface Job extends WorkItem {
  readonly request: ModelRequest;
  readonly onEnd: (outcome: CallOutcome) => void;
}

/** One answer in time is worth as much as this many bytes between domains. */
export const BYTES_PER_ANSWER = 100_000;

/** A backend server with the queue of its daemon. */
export class ModelServer {
  readonly record: BackendRecord;
  readonly speed: number;
  readonly #timeline: Timeline;
  readonly #paces: readonly number[];
  readonly #paceMs: number;
  readonly #queue: WorkQueue<Job>;
  /** When each running request ends. */
  readonly #ends = new Map<Job, number>();
  readonly #waiting = new Set<Job>();
  /** Requests on their way to the server. */
  readonly #expected = new Set<ModelRequest>();

  constructor(
    load: Load,
    index: number,
    timeline: Timeline,
    random: Random,
  ) {
    this.#timeline = timeline;
    this.#paceMs = load.paceMs ?? Infinity;
    this.#paces = Array.from(
      { length: 2 + Math.ceil((load.durationMs + 10_000) / this.#paceMs) },
      () => load.drawPace?.(random) ?? 1,
    );
    this.speed = load.speeds[index % load.speeds.length]!;
    this.#queue = new WorkQueue(load.slots);
    this.record = {
      id: `s${index}`,
      instance: `s${index}`,
      service: "model",
      domain: DOMAINS[index % DOMAINS.length]!,
      peerAddress: "",
      slots: load.slots,
      state: BackendState.Ready,
      bornAtUnixMs: 1,
      linkMbps: 0,
    };
  }

  /** Records that a request is on its way. */
  expect(request: ModelRequest): void {
    this.#expected.add(request);
  }

  offer(request: ModelRequest, onEnd: Job["onEnd"]): void {
    this.#expected.delete(request);
    const { nowMs } = this.#timeline;
    const { spec, objectiveAtMs, deadlineMs } = request;
    const { route, priority } = spec;
    const times = { objectiveAtMs, deadlineMs, arrivedAtMs: nowMs };
    const job: Job = { route, priority, ...times, request, onEnd };
    const offer = this.#queue.offer(job, nowMs);
    if (offer.kind === "start") this.#run(job);
    else if (offer.kind === "wait") this.#wait(job);
    else onEnd(notRunOutcome(MeshReason.Overloaded, offer.retryAfterMs));
  }

  loadFor(request: ModelRequest): DestinationLoad {
    const { nowMs } = this.#timeline;
    const { spec, objectiveAtMs, deadlineMs } = request;
    return {
      running: this.#queue.running,
      queued: this.#queue.queued,
      limit: this.#queue.slots,
      waitMs: this.#queue.expectedWaitMs({
        route: spec.route,
        priority: spec.priority,
        objectiveAtMs,
        deadlineMs,
        arrivedAtMs: nowMs,
      }, nowMs),
      failureShare: 0,
      pace: this.#paceAt(nowMs),
    };
  }

  /** Time at which a request would end if it were sent now, all known. */
  trueEndMs(workMs: number, nowMs: number): number {
    const slots = this.#queue.slots;
    const free = [...this.#ends.values()].sort((a, b) => a - b);
    while (free.length < slots) free.unshift(nowMs);
    const waiting = [...this.#waiting].map(({ request }) => request);
    for (const other of [...waiting, ...this.#expected]) {
      const end = this.#endOf(other.workMs, Math.max(nowMs, free[0]!));
      free.shift();
      const at = free.findIndex((other) => other > end);
      free.splice(at < 0 ? free.length : at, 0, end);
    }
    return this.#endOf(workMs, Math.max(nowMs, free[0]!));
  }

  #wait(job: Job): void {
    this.#waiting.add(job);
    this.#timeline.schedule(this.#queue.effectiveDeadlineMs(job), () => {
      if (!this.#queue.remove(job)) return;
      this.#waiting.delete(job);
      job.onEnd(notRunOutcome(MeshReason.Expired));
    });
  }

  #run(job: Job): void {
    const { nowMs } = this.#timeline;
    const endMs = this.#endOf(job.request.workMs, nowMs);
    this.#ends.set(job, endMs);
    this.#timeline.schedule(endMs, () => {
      this.#ends.delete(job);
      const serviceMs = endMs - nowMs;
      this.#queue.finish(job, serviceMs);
      const { started, expired } = this.#queue.dispatch(endMs);
      for (const other of [...started, ...expired]) this.#waiting.delete(other);
      for (const other of started) this.#run(other);
      for (const other of expired) {
        other.onEnd(notRunOutcome(MeshReason.Expired));
      }
      job.onEnd({
        kind: "answered",
        answer: { status: 200, headers: [], body: EMPTY },
        serviceMs,
      });
    });
  }

  #paceAt(atMs: number): number {
    return this.#paces[Math.floor(atMs / this.#paceMs)]!;
  }

  /** The pace may change several times while a request runs. */
  #endOf(workMs: number, startMs: number): number {
    const busy = Math.min(1, this.#queue.running / this.#queue.slots);
    let leftMs = workMs * this.speed * (1 + FULL_SLOWDOWN * busy ** 3);
    let atMs = startMs;
    for (;;) {
      const pace = this.#paceAt(atMs);
      const period = Math.floor(atMs / this.#paceMs) + 1;
      const changeMs = this.#paceMs === Infinity
        ? Infinity
        : period * this.#paceMs;
      if (atMs + leftMs * pace <= changeMs) return atMs + leftMs * pace;
      leftMs -= (changeMs - atMs) / pace;
      atMs = changeMs;
    }
  }
}

const EMPTY = Buffer.alloc(0);

/**
 * Runs a load against a model of backend servers, without a network.
 *
 * @param load Servers, daemons and arrivals.
 * @param create Creates the chooser of each daemon.
 * @param seed Equal seeds give equal arrivals and paces.
 * @returns What became of the requests after the warm-up.
 */
export function runTrial(
  load: Load,
  create: ChooserFactory,
  seed: number,
): TrialResult {
  const random = new Random(seed);
  const timeline = new Timeline();
  const servers = Array.from(
    { length: load.servers },
    (_, index) => new ModelServer(load, index, timeline, random),
  );
  const choosers = Array.from({ length: load.daemons }, (_, index) =>
    create(
      { load, servers },
      DOMAINS[index % DOMAINS.length]!,
      new Random(seed * 1_000 + index),
    ));
  const trial = new Trial(load, servers, timeline);
  for (const spec of load.requests) {
    for (const arrivedAtMs of drawArrivals(load, spec, random)) {
      const daemon = drawDaemon(load, arrivedAtMs, random);
      const request = {
        spec,
        arrivedAtMs,
        objectiveAtMs: arrivedAtMs + spec.objectiveMs,
        deadlineMs: arrivedAtMs + spec.timeoutMs,
        workMs: spec.drawMs(random),
      };
      timeline.schedule(
        arrivedAtMs,
        () => trial.send(request, daemon, choosers[daemon]!, new Set()),
      );
    }
  }
  timeline.runAll();
  return trial.summarize();
}

function drawArrivals(
  load: Load,
  spec: RequestSpec,
  random: Random,
): readonly number[] {
  const arrivals: number[] = [];
  const burstMs = load.burstMs ?? 0;
  for (let atMs = 0;;) {
    atMs -= Math.log(1 - random.fraction()) * 1_000 / spec.perS;
    if (atMs >= load.durationMs) return arrivals;
    arrivals.push(burstMs > 0 ? Math.ceil(atMs / burstMs) * burstMs : atMs);
  }
}

/** The demand of each domain rises and falls with its own phase. */
function drawDaemon(load: Load, atMs: number, random: Random): number {
  const { swing = 0, swingMs = 1 } = load;
  for (;;) {
    const daemon = random.below(load.daemons);
    const phase = daemon % DOMAINS.length / DOMAINS.length;
    const demand = 1 + swing * Math.sin(2 * Math.PI * (atMs / swingMs + phase));
    if (random.fraction() * (1 + swing) < demand) return daemon;
  }
}

class Trial {
  readonly #load: Load;
  readonly #servers: readonly ModelServer[];
  readonly #timeline: Timeline;
  readonly #tookMs: number[] = [];
  /** By the domain in which the requests entered. */
  readonly #totals = DOMAINS.map(() => 0);
  readonly #inTime = DOMAINS.map(() => 0);
  #remoteBytes = 0;

  constructor(
    load: Load,
    servers: readonly ModelServer[],
    timeline: Timeline,
  ) {
    this.#load = load;
    this.#servers = servers;
    this.#timeline = timeline;
  }

  send(
    request: ModelRequest,
    daemon: number,
    chooser: Chooser,
    excluded: Set<string>,
  ): void {
    const isMeasured = request.arrivedAtMs >= WARM_UP_MS;
    const entry = daemon % DOMAINS.length;
    if (excluded.size === 0 && isMeasured) this.#totals[entry]!++;
    if (excluded.size >= MAX_SENDS) return;
    const index = chooser.choose(request, excluded, this.#timeline.nowMs);
    if (index === undefined) return;
    const server = this.#servers[index]!;
    const isRemote = entry !== index % DOMAINS.length;
    const hopMs = daemon === index ? 0 : this.#load.hopMs;
    excluded.add(server.record.id);
    chooser.recordSend(request, index);
    server.expect(request);
    const { nowMs } = this.#timeline;
    this.#timeline.schedule(
      nowMs + hopMs,
      () =>
        server.offer(request, (outcome) => {
          const load = server.loadFor(request);
          const endMs = this.#timeline.nowMs + hopMs;
          this.#timeline.schedule(endMs, () => {
            chooser.recordEnd(request, index, outcome, load, endMs);
            if (outcome.kind !== "answered") {
              this.send(request, daemon, chooser, excluded);
            } else if (isMeasured) {
              this.#tookMs.push(endMs - request.arrivedAtMs);
              if (endMs <= request.objectiveAtMs) this.#inTime[entry]!++;
              if (isRemote) this.#remoteBytes += request.spec.responseBytes;
            }
          });
        }),
    );
  }

  summarize(): TrialResult {
    const sorted = this.#tookMs.sort((a, b) => a - b);
    const at = (share: number) =>
      Math.round(sorted[Math.floor(sorted.length * share)] ?? NaN);
    const total = sum(this.#totals);
    const inTime = sum(this.#inTime);
    const answers = inTime - this.#remoteBytes / BYTES_PER_ANSWER;
    return {
      inTime: inTime / total,
      worstInTime: Math.min(
        ...this.#inTime.map((count, at) => count / this.#totals[at]!),
      ),
      value: answers / total,
      p50Ms: at(0.5),
      p99Ms: at(0.99),
      p999Ms: at(0.999),
      refused: 1 - sorted.length / total,
      remoteKb: this.#remoteBytes / 1_000,
    };
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
