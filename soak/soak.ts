import { setTimeout as sleep } from "node:timers/promises";
import { sampleConfig } from "../platform/fakes/mesh.ts";
import { hash32 } from "../src/protocol/hash.ts";
import { Random } from "../src/protocol/random.ts";
import {
  createFaults,
  type FaultContext,
  FaultPlan,
  MAX_FAULT_MS,
  MAX_SLOW_MS,
} from "./faults.ts";
import { Fleet, type SoakOptions, type SoakResult } from "./fleet.ts";
import { GRACE_S, type SoakInstance } from "./instance.ts";
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
import { findViolations } from "./violations.ts";

/** Maximum pause between two faults, in ms; faults overlap. */
const MAX_FAULT_GAP_MS: Readonly<Record<FaultPlan, number>> = {
  [FaultPlan.Planned]: 1_200,
  [FaultPlan.Fatal]: 1_200,
  [FaultPlan.Limits]: 2_400,
  [FaultPlan.Mixed]: 600,
  [FaultPlan.All]: 600,
};
/** Minimum and range of the work on a request, in ms; all equally frequent. */
const WORK_KINDS = [[5, 1], [5, 1], [5, 1], [5, 300], [300, 1_200]] as const;
/** One of this many callers disconnects, after at most this delay in ms. */
const DISCONNECT_EVERY = 6;
const MAX_DISCONNECT_DELAY_MS = 400;
/** Duration of a series of one fatal request, and the pause in it, in ms. */
const FATAL_SERIES_MS = 8_000;
const FATAL_PAUSE_MS = 100;

/** Options of a run with one of the {@linkcode FaultPlan}s. */
export interface FaultSoakOptions extends SoakOptions {
  /** Kinds of faults; all by default. */
  readonly plan?: FaultPlan;
}

/**
 * Runs daemons as separate processes under random faults and checks their
 * guarantees to callers and backend servers.
 *
 * @param options Seed, duration and number of instances.
 * @returns Requests, injected faults and violations.
 */
export async function runSoak(options: FaultSoakOptions): Promise<SoakResult> {
  const soak = new Soak(options);
  await soak.start();
  try {
    return await soak.run();
  } finally {
    await soak.end();
  }
}

class Soak {
  readonly #options: FaultSoakOptions;
  readonly #fleet: Fleet;
  readonly #planned: PlannedWork[] = [];
  readonly #impairments: Impairment[] = [];
  readonly #ends: BackendEnd[] = [];
  readonly #limits: NamedLimit[] = [];
  #nextFatal = 1;

  constructor(options: FaultSoakOptions) {
    this.#options = options;
    this.#fleet = new Fleet(options, {
      createConfig: sampleConfig,
      instance: {
        workMsOf: pickWorkMs,
        isFatal: isFatalPath,
        onEnd: (path) => this.#ends.push({ path, atMs: performance.now() }),
      },
    });
  }

  async start(): Promise<void> {
    await this.#fleet.start();
  }

  async run(): Promise<SoakResult> {
    const fleet = this.#fleet;
    await fleet.runUnderFaults({
      seconds: this.#options.seconds,
      maxGapMs: MAX_FAULT_GAP_MS[this.#options.plan ?? FaultPlan.All],
      sendRandom: () => this.#sendRandom(),
      injectFault: () => this.#injectFault(),
      settle: () => sleep(MAX_SLOW_MS),
    });
    const unserving = await fleet.findUnserving();
    const processes = fleet.listProcesses();
    const problems = [
      ...findViolations(fleet.sent, processes),
      ...findLostRequests(fleet.sent.values(), processes, {
        graceMs: GRACE_S * 1_000,
        planned: this.#planned,
        impairments: this.#impairments,
      }),
      ...findUnprotected(fleet.sent, processes, {
        ends: this.#ends,
        limits: this.#limits,
        planned: this.#planned,
        impairments: this.#impairments,
        graceMs: GRACE_S * 1_000,
      }),
    ];
    for (const { name, peerProxy } of fleet.instances) {
      if (peerProxy.accepted === 0) problems.push(`no daemon called ${name}`);
    }
    problems.push(...unserving, ...await fleet.findOutdated());
    return fleet.summarize(problems);
  }

  async end(): Promise<void> {
    await this.#fleet.end();
  }

  #sendRandom(): void {
    const { random } = this.#fleet;
    const instance = random.pick(this.#fleet.instances)!;
    const isIdempotent = random.below(2) === 0;
    const request = this.#fleet.createRequest(instance, { isIdempotent });
    const disconnectAfterMs = random.below(DISCONNECT_EVERY) === 0
      ? random.below(MAX_DISCONNECT_DELAY_MS)
      : undefined;
    void this.#fleet.send(instance, request, disconnectAfterMs);
  }

  #injectFault(): void {
    const { faultRandom, instances, faults: injected } = this.#fleet;
    const instance = faultRandom.pick(instances)!;
    const plan = this.#options.plan ?? FaultPlan.All;
    const faults = createFaults(plan, instance, this.#context());
    const name = faultRandom.pick(Object.keys(faults))!;
    injected.push(`${name} ${instance.name}`);
    faults[name]!(100 + faultRandom.below(MAX_FAULT_MS));
  }

  #context(): FaultContext {
    return {
      store: this.#fleet.store,
      instances: this.#fleet.instances,
      random: this.#fleet.faultRandom,
      planned: this.#planned,
      impairments: this.#impairments,
      limits: this.#limits,
      changeConfig: () => void this.#fleet.writeConfig(),
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
      const instance = this.#fleet.random.pick(this.#fleet.instances)!;
      const request = this.#fleet.createRequest(instance, {
        isIdempotent: true,
        path,
      });
      void this.#fleet.send(instance, request);
    }, FATAL_PAUSE_MS);
  }

  async #replaceBackend(
    instance: SoakInstance,
    lastsMs: number,
  ): Promise<void> {
    if (instance.backend.isDraining) return;
    this.#fleet.earlierProcesses.push(await instance.replaceBackend(lastsMs));
  }
}

/** Picks the time of a request; some outlast the status queries about them. */
function pickWorkMs(id: string): number {
  const random = new Random(hash32(id));
  const [minMs, spreadMs] = random.pick(WORK_KINDS)!;
  return minMs + random.below(spreadMs);
}
