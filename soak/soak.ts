import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { Agent } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { KvServer } from "../platform/fakes/kv_server.ts";
import {
  CONFIG_KEY,
  sampleConfig,
  sampleRoute,
} from "../platform/fakes/mesh.ts";
import { hash32 } from "../src/protocol/hash.ts";
import { Random } from "../src/protocol/random.ts";
import { sendAsCaller } from "./caller.ts";
import {
  createFaults,
  type FaultContext,
  FaultPlan,
  MAX_FAULT_MS,
  MAX_SLOW_MS,
} from "./faults.ts";
import { GRACE_S, MAX_INSTANCES, SoakInstance } from "./instance.ts";
import {
  findLostRequests,
  type Impairment,
  type PlannedWork,
} from "./lost_requests.ts";
import {
  type BackendEnd,
  FATAL_PREFIX,
  findUnprotected,
  isFatalPath,
  type NamedLimit,
} from "./protections.ts";
import {
  type BackendProcessHistory,
  findViolations,
  type SentRequest,
} from "./violations.ts";

/** Request rate for each instance, and maximum rate of all together. */
const REQUESTS_PER_INSTANCE_S = 20;
const MAX_REQUESTS_PER_S = 300;
/** Maximum pause between two faults, in ms; faults overlap. */
const MAX_FAULT_GAP_MS: Readonly<Record<FaultPlan, number>> = {
  [FaultPlan.Planned]: 1_200,
  [FaultPlan.Fatal]: 1_200,
  [FaultPlan.Limits]: 2_400,
  [FaultPlan.Mixed]: 600,
  [FaultPlan.All]: 600,
};
/** Time within which all daemons serve again after the last fault, in ms. */
const RECOVERY_MS = 15_000;
/** Range of the timeouts of callers, in ms. */
const MIN_TIMEOUT_MS = 1_200;
const MAX_TIMEOUT_MS = 4_000;
/** Timeout of routes, in s. */
const ROUTE_TIMEOUT_S = MAX_TIMEOUT_MS / 1_000;
/** Minimum and range of the work on a request, in ms; all equally frequent. */
const WORK_KINDS = [[5, 1], [5, 1], [5, 1], [5, 300], [300, 1_200]] as const;
/** Interval of the checks for stalls of this process, in ms. */
const STALL_CHECK_MS = 20;
/** Longest stall of this process that does not excuse its requests, in ms. */
const MAX_STALL_MS = 100;
/** Time within which a version is applied once all faults are over, in ms. */
const APPLY_MS = 5_000;
/** One of this many orders needs a transfer permit on a slow link. */
const LONG_BODY_EVERY = 8;
const LONG_BODY_BYTES = 60_000;
/** One of this many callers disconnects, after at most this delay in ms. */
const DISCONNECT_EVERY = 6;
const MAX_DISCONNECT_DELAY_MS = 400;
/** Duration of a series of one fatal request, and the pause in it, in ms. */
const FATAL_SERIES_MS = 8_000;
const FATAL_PAUSE_MS = 100;
/** Time within which the daemons of a new fleet must serve, in ms. */
const START_TIMEOUT_MS = 20_000;

/** Options of a run. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly instances: number;
  /** Number of failure domains of the instances; 3 by default. */
  readonly domains?: number;
  /** Kinds of faults; all by default. */
  readonly plan?: FaultPlan;
}

/** Result of a run. */
export interface SoakResult {
  readonly seed: number;
  readonly sent: number;
  readonly served: number;
  /** Number of requests by status; 0 stands for no response. */
  readonly statuses: Readonly<Record<number, number>>;
  readonly faults: readonly string[];
  readonly problems: readonly string[];
  /** One line for each request that was not served. */
  readonly unserved: readonly string[];
  /** Longest stall of this process, in ms. */
  readonly stalledMs: number;
  /** Last output of each daemon, by instance. */
  readonly logs: Readonly<Record<string, string>>;
}

/**
 * Runs daemons as separate processes under random faults and checks their
 * guarantees to callers and backend servers.
 *
 * @param options Seed, duration and number of instances.
 * @returns Requests, injected faults and violations.
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const soak = new Soak(options);
  await soak.start();
  try {
    return await soak.run();
  } finally {
    await soak.end();
  }
}

class Soak {
  readonly #options: SoakOptions;
  readonly #random: Random;
  /** Separate from the other source, so that a seed repeats its faults. */
  readonly #faultRandom: Random;
  readonly #folder = mkdtempSync(join(tmpdir(), "sesamepond-soak-"));
  /** Uses all open connections in turn until they are closed. */
  readonly #agent = new Agent({ keepAlive: true, scheduling: "fifo" });
  readonly #sent = new Map<string, SentRequest>();
  readonly #earlierProcesses: BackendProcessHistory[] = [];
  readonly #faults: string[] = [];
  readonly #planned: PlannedWork[] = [];
  readonly #impairments: Impairment[] = [];
  readonly #ends: BackendEnd[] = [];
  readonly #limits: NamedLimit[] = [];
  #store!: KvServer;
  #instances: SoakInstance[] = [];
  #version = 1;
  #nextId = 1;
  #nextFatal = 1;
  #stalledMs = 0;

  constructor(options: SoakOptions) {
    if (options.instances > MAX_INSTANCES) {
      throw new RangeError(`Cannot run more than ${MAX_INSTANCES} instances`);
    }
    this.#options = options;
    this.#random = new Random(options.seed);
    this.#faultRandom = new Random(options.seed);
  }

  async start(): Promise<void> {
    const bundle = join(this.#folder, "sesamepond.cjs");
    spawnSync(process.execPath, ["scripts/build_platform.mjs", bundle]);
    this.#store = await KvServer.start();
    this.#writeConfig();
    const storePort = Number(this.#store.address.split(":")[1]);
    for (let index = 0; index < this.#options.instances; index++) {
      this.#instances.push(
        await SoakInstance.start({
          index,
          domain: `domain-${index % (this.#options.domains ?? 3)}`,
          folder: this.#folder,
          bundle,
          storePort,
          workMsOf: pickWorkMs,
          isFatal: isFatalPath,
          onEnd: (path) => this.#ends.push({ path, atMs: performance.now() }),
          onRestart: (history) => this.#earlierProcesses.push(history),
        }),
      );
    }
    await this.#waitUntilServed(START_TIMEOUT_MS);
  }

  async run(): Promise<SoakResult> {
    const requestsPerS = Math.min(
      this.#instances.length * REQUESTS_PER_INSTANCE_S,
      MAX_REQUESTS_PER_S,
    );
    const loadTimer = setInterval(
      () => this.#sendRandom(),
      1_000 / requestsPerS,
    );
    const stallTimer = this.#watchStalls();
    const endAtMs = performance.now() + this.#options.seconds * 1_000;
    const maxGapMs = MAX_FAULT_GAP_MS[this.#options.plan ?? FaultPlan.All];
    while (performance.now() < endAtMs) {
      await sleep(this.#faultRandom.below(maxGapMs));
      this.#injectFault();
    }
    await sleep(MAX_SLOW_MS);
    clearInterval(loadTimer);
    await sleep(MAX_TIMEOUT_MS + MIN_TIMEOUT_MS);
    clearInterval(stallTimer);
    const isServed = await this.#waitUntilServed(RECOVERY_MS);
    const processes = this.#listProcesses();
    const problems = [
      ...findViolations(this.#sent, processes),
      ...findLostRequests(this.#sent.values(), processes, {
        graceMs: GRACE_S * 1_000,
        planned: this.#planned,
        impairments: this.#impairments,
      }),
    ];
    problems.push(...findUnprotected(this.#sent, processes, {
      ends: this.#ends,
      limits: this.#limits,
      planned: this.#planned,
      impairments: this.#impairments,
      graceMs: GRACE_S * 1_000,
    }));
    for (const { name, peerProxy } of this.#instances) {
      if (peerProxy.accepted === 0) problems.push(`no daemon called ${name}`);
    }
    if (!isServed) problems.push("not all daemons serve after the last fault");
    problems.push(...await this.#findOutdated());
    const statuses: Record<number, number> = {};
    for (const { status } of this.#sent.values()) {
      statuses[status] = (statuses[status] ?? 0) + 1;
    }
    return {
      seed: this.#options.seed,
      sent: this.#sent.size,
      served: statuses[200] ?? 0,
      statuses,
      faults: this.#faults,
      problems,
      unserved: [...this.#sent.values()].flatMap(describeUnserved),
      stalledMs: Math.round(this.#stalledMs),
      logs: Object.fromEntries(
        this.#instances.map(({ name, output }) => [name, output]),
      ),
    };
  }

  async end(): Promise<void> {
    this.#agent.destroy();
    for (const instance of this.#instances) await instance.end();
    await this.#store.stop();
    rmSync(this.#folder, { recursive: true });
  }

  #watchStalls(): NodeJS.Timeout {
    let lastMs = performance.now();
    return setInterval(() => {
      const nowMs = performance.now();
      const gapMs = nowMs - lastMs;
      this.#stalledMs = Math.max(this.#stalledMs, gapMs);
      // The proxies, callers and backend servers of this process stalled too.
      if (gapMs > MAX_STALL_MS) {
        for (const { pausedAtMs } of this.#instances) pausedAtMs.push(lastMs);
      }
      lastMs = nowMs;
    }, STALL_CHECK_MS);
  }

  #listProcesses(): BackendProcessHistory[] {
    const current = this.#instances.map(({ name, backend, drainedAtMs }) => ({
      id: backend.id,
      instance: name,
      runs: backend.runs,
      drainedAtMs,
    }));
    return [...this.#earlierProcesses, ...current];
  }

  async #waitUntilServed(timeoutMs: number): Promise<boolean> {
    const endAtMs = performance.now() + timeoutMs;
    for (const instance of this.#instances) {
      while (await this.#probe(instance) !== 200) {
        if (performance.now() > endAtMs) return false;
        await sleep(100);
      }
    }
    return true;
  }

  /** Reports the daemons that do not apply a last version in time. */
  async #findOutdated(): Promise<string[]> {
    const path = "/last/1";
    this.#writeConfig([sampleRoute("last")]);
    const endAtMs = performance.now() + APPLY_MS;
    // Concurrently, so that a slow daemon does not use up the others' time.
    const adopted = await Promise.all(
      this.#instances.map((instance) =>
        this.#hasAdopted(instance, path, endAtMs)
      ),
    );
    return this.#instances.filter((_, index) => !adopted[index])
      .map(({ name }) => `${name} has not applied the last version`);
  }

  async #hasAdopted(
    instance: SoakInstance,
    path: string,
    endAtMs: number,
  ): Promise<boolean> {
    while (performance.now() < endAtMs) {
      const request = { ...this.#createRequest(instance, true), path };
      await this.#send(instance, request);
      if (request.status !== 0 && request.status !== 404) return true;
      await sleep(100);
    }
    return false;
  }

  async #probe(instance: SoakInstance): Promise<number> {
    const request = this.#createRequest(instance, true);
    await this.#send(instance, request);
    return request.status;
  }

  #sendRandom(): void {
    const instance = this.#random.pick(this.#instances)!;
    const isIdempotent = this.#random.below(2) === 0;
    const request = this.#createRequest(instance, isIdempotent);
    const disconnectAfterMs = this.#random.below(DISCONNECT_EVERY) === 0
      ? this.#random.below(MAX_DISCONNECT_DELAY_MS)
      : undefined;
    void this.#send(instance, request, disconnectAfterMs);
  }

  #createRequest(
    instance: SoakInstance,
    isIdempotent: boolean,
    path?: string,
  ): SentRequest {
    const number = this.#nextId++;
    const id = `s${this.#options.seed}-${number}`;
    const isLong = number % LONG_BODY_EVERY === 0;
    const body = `body of ${id}`.padEnd(isLong ? LONG_BODY_BYTES : 0, ".");
    const request = {
      id,
      ingress: instance.name,
      timeoutMs: MIN_TIMEOUT_MS +
        this.#random.below(MAX_TIMEOUT_MS - MIN_TIMEOUT_MS),
      endedAtMs: Infinity,
      sentAtMs: performance.now(),
      disconnectedAtMs: Infinity,
      ingressPausedAtMs: instance.pausedAtMs,
      path: path ?? `/${isIdempotent ? "stock" : "orders"}/${id}`,
      body: isIdempotent ? "" : body,
      isIdempotent,
      status: 0,
      answer: "",
      retryAfterS: 0,
      error: "",
    };
    this.#sent.set(id, request);
    return request;
  }

  #send(
    instance: SoakInstance,
    request: SentRequest,
    disconnectAfterMs?: number,
  ): Promise<void> {
    return sendAsCaller(request, {
      agent: this.#agent,
      port: instance.ingressPort,
      disconnectAfterMs,
    });
  }

  #injectFault(): void {
    const instance = this.#faultRandom.pick(this.#instances)!;
    const plan = this.#options.plan ?? FaultPlan.All;
    const faults = createFaults(plan, instance, this.#context());
    const name = this.#faultRandom.pick(Object.keys(faults))!;
    this.#faults.push(`${name} ${instance.name}`);
    faults[name]!(100 + this.#faultRandom.below(MAX_FAULT_MS));
  }

  #context(): FaultContext {
    return {
      store: this.#store,
      instances: this.#instances,
      random: this.#faultRandom,
      planned: this.#planned,
      impairments: this.#impairments,
      limits: this.#limits,
      changeConfig: () => this.#writeConfig(),
      sendFatal: () => this.#sendFatal(),
      replaceBackend: (instance, drainMs) =>
        void this.#replaceBackend(instance, drainMs),
    };
  }

  /** Sends a request under which backend servers end to all daemons in turn. */
  #sendFatal(): void {
    const path = `${FATAL_PREFIX}${this.#nextFatal++}`;
    const untilMs = performance.now() + FATAL_SERIES_MS;
    const timer = setInterval(() => {
      if (performance.now() > untilMs) return clearInterval(timer);
      const instance = this.#random.pick(this.#instances)!;
      void this.#send(instance, this.#createRequest(instance, true, path));
    }, FATAL_PAUSE_MS);
  }

  async #replaceBackend(
    instance: SoakInstance,
    lastsMs: number,
  ): Promise<void> {
    if (instance.backend.isDraining) return;
    this.#earlierProcesses.push(await instance.replaceBackend(lastsMs));
  }

  #writeConfig(extra: object[] = []): void {
    const config = sampleConfig(this.#version++, extra);
    this.#store.put(
      CONFIG_KEY,
      JSON.stringify(
        config,
        (key, value) => key === "TimeoutS" ? ROUTE_TIMEOUT_S : value,
      ),
    );
  }
}

/** Picks the time of a request; some outlast the status queries about them. */
function pickWorkMs(id: string): number {
  const random = new Random(hash32(id));
  const [minMs, spreadMs] = random.pick(WORK_KINDS)!;
  return minMs + random.below(spreadMs);
}

function describeUnserved(request: SentRequest): string[] {
  const {
    id,
    status,
    ingress,
    sentAtMs,
    endedAtMs,
    disconnectedAtMs,
  } = request;
  if (status === 200) return [];
  const tookMs = Math.round(endedAtMs - sentAtMs);
  const reason = disconnectedAtMs < Infinity
    ? "its caller disconnected"
    : request.error;
  return [`${id} got ${status} from ${ingress} after ${tookMs} ms ${reason}`];
}
