import { setTimeout as sleep } from "node:timers/promises";
import { ProcessUsage } from "../testkit/process_usage.ts";
import { Fleet, type SoakOptions, type SoakResult } from "./fleet.ts";
import type { SoakInstance } from "./instance.ts";
import { LASTING_KEY, Organisations } from "./organisations.ts";
import { Rollouts } from "./rollouts.ts";
import {
  checkSidecar,
  KEY_HEADER,
  ORGANISATION_HEADER,
  PUBLIC_PREFIX,
  type SoakOrganisation,
} from "./sidecar_checks.ts";
import {
  createSidecarFaults,
  type SidecarFaultContext,
} from "./sidecar_faults.ts";
import { findViolations } from "./violations.ts";

/** Name of the plan, beside the plans of faults. */
export const SIDECAR_PLAN = "sidecar";
/** Maximum pause between two faults, in ms; faults overlap. */
const MAX_FAULT_GAP_MS = 800;
/** Minimum and range of the duration of a fault, in ms. */
const MIN_FAULT_MS = 300;
const FAULT_RANGE_MS = 2_200;
/** Memory of each instance, in MB, and arguments that keep to it. */
const MEMORY_MB = 160;
const NODE_ARGS = ["--max-semi-space-size=2", "--max-old-space-size=128"];
/** Period at which the memory of a daemon is sampled, in ms. */
const MEMORY_PERIOD_MS = 50;
/** Period at which the daemons' versions are read while one is new, in ms. */
const VERSION_PERIOD_MS = 100;
/** Time to read a version of a daemon, in ms. */
const VERSION_TIMEOUT_MS = 1_000;
/** Time within which the last version is in force at the end, in ms. */
const LAST_VERSION_MS = 5_000;
/** Pause between two requests of an organisation that floods, in ms. */
const FLOOD_PAUSE_MS = 12;
/** Of 100 requests, those to the public route, and those without a key. */
const PUBLIC_IN_100 = 5;
const KEYLESS_IN_100 = 2;
/** One of this many callers names an organisation itself. */
const FORGED_EVERY = 4;
/** Backend servers to which an idempotent request is sent, by its route. */
const MAX_ATTEMPTS = 2;

/**
 * Runs daemons as separate processes with the features that a configuration
 * enables, injects faults and checks the fixed rules and bounds.
 *
 * @param options Seed, duration and number of instances.
 * @returns Requests, injected faults, violations and what was checked.
 */
export async function runSidecarSoak(
  options: SoakOptions,
): Promise<SoakResult> {
  const soak = new SidecarSoak(options);
  await soak.start();
  try {
    return await soak.run();
  } finally {
    await soak.end();
  }
}

class SidecarSoak {
  readonly #options: SoakOptions;
  readonly #fleet: Fleet;
  readonly #organisations = new Organisations();
  readonly #rollouts = new Rollouts();
  readonly #usages: ProcessUsage[] = [];
  readonly #ownExits: string[] = [];
  /** Names of faults that have not been injected since the last round. */
  #nextFaults: string[] = [];
  #bodyClients = 0;
  #hasEnded = false;

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#fleet = new Fleet(options, {
      createConfig: (version, extra) =>
        this.#organisations.createConfig(version, extra),
      headers: { [KEY_HEADER]: LASTING_KEY },
      era: 1,
      instance: {
        hasRollouts: true,
        memoryMb: MEMORY_MB,
        nodeArgs: NODE_ARGS,
        onBackend: (backend, version) =>
          this.#rollouts.prepare(backend, version),
        onDaemon: (pid) =>
          this.#usages.push(new ProcessUsage(pid, MEMORY_PERIOD_MS)),
        onOwnExit: (code) => this.#ownExits.push(`code ${code}`),
      },
    });
  }

  async start(): Promise<void> {
    await this.#fleet.start();
    void this.#watchVersions();
  }

  async run(): Promise<SoakResult> {
    const fleet = this.#fleet;
    await fleet.runUnderFaults({
      seconds: this.#options.seconds,
      maxGapMs: MAX_FAULT_GAP_MS,
      sendRandom: () => this.#sendRandom(),
      injectFault: () => this.#injectFault(),
      settle: () =>
        Promise.all([
          sleep(MIN_FAULT_MS + FAULT_RANGE_MS),
          this.#rollouts.wait(),
        ]),
    });
    const unserving = await fleet.findUnserving();
    const processes = fleet.listProcesses();
    const { versions } = this.#organisations;
    const outdated = await fleet.findOutdated();
    const late = await this.#findNeverInForce();
    const checked = checkSidecar({
      sent: fleet.sent,
      processes,
      versions,
      rollouts: this.#rollouts.rollouts,
      maxAttempts: MAX_ATTEMPTS,
    });
    const peakMib = Math.ceil(
      Math.max(...this.#usages.map(({ maxAnonymousMib }) => maxAnonymousMib)),
    );
    const problems = [
      ...findViolations(fleet.sent, processes),
      ...checked.problems,
      ...this.#rollouts.problems,
      ...this.#rollouts.findChanged(fleet),
      ...this.#ownExits.map((code) => `a daemon ended by itself: ${code}`),
      ...peakMib > MEMORY_MB ? [`a daemon used ${peakMib} MiB`] : [],
      ...unserving,
      ...outdated,
      ...late,
    ];
    return fleet.summarize([...new Set(problems)], {
      ...checked.figures,
      ...this.#rollouts.results,
      versions: versions.length,
      slowestVersionMs: Math.round(Math.max(
        ...versions.map((one) => one.inForceAtMs - one.writtenAtMs),
      )),
      bodyClients: this.#bodyClients,
      daemonProcesses: this.#usages.length,
      peakAnonymousMib: peakMib,
    });
  }

  async end(): Promise<void> {
    this.#hasEnded = true;
    for (const usage of this.#usages) usage.stop();
    await this.#fleet.end();
  }

  #sendRandom(): void {
    const { random } = this.#fleet;
    const instance = random.pick(this.#fleet.instances)!;
    const draw = random.below(100);
    const isPublic = draw < PUBLIC_IN_100;
    const isKeyless = draw < PUBLIC_IN_100 + KEYLESS_IN_100;
    const key = this.#organisations.pickKey(random);
    const isForged = random.below(FORGED_EVERY) === 0;
    this.#send(instance, {
      isIdempotent: isPublic || random.below(2) === 0,
      path: isPublic ? `${PUBLIC_PREFIX}1` : undefined,
      headers: {
        ...isKeyless ? {} : { [KEY_HEADER]: key },
        ...isForged ? { [ORGANISATION_HEADER]: "small" } : {},
      },
    });
  }

  #send(
    instance: SoakInstance,
    fields: Parameters<Fleet["createRequest"]>[1],
  ): void {
    const request = this.#fleet.createRequest(instance, fields);
    void this.#fleet.send(instance, request);
  }

  #injectFault(): void {
    const { faultRandom, instances, faults } = this.#fleet;
    const instance = faultRandom.pick(instances)!;
    const starters = createSidecarFaults(instance, this.#context());
    if (this.#nextFaults.length === 0) {
      const names = Object.keys(starters);
      this.#nextFaults = faultRandom.sample(names, names.length);
    }
    const name = this.#nextFaults.pop()!;
    const lastsMs = MIN_FAULT_MS + faultRandom.below(FAULT_RANGE_MS);
    if (starters[name]!(lastsMs)) faults.push(`${name} ${instance.name}`);
  }

  #context(): SidecarFaultContext {
    const fleet = this.#fleet;
    return {
      store: fleet.store,
      random: fleet.faultRandom,
      organisations: this.#organisations,
      writeConfig: () => void fleet.writeConfig(),
      flood: (organisation, forMs) => this.#flood(organisation, forMs),
      startRollout: (isBad) =>
        this.#rollouts.start(fleet, isBad, fleet.faultRandom),
      onBodyClient: () => this.#bodyClients++,
    };
  }

  #flood({ keys }: SoakOrganisation, forMs: number): void {
    const { random, instances } = this.#fleet;
    const untilMs = performance.now() + forMs;
    // Over all daemons, or at one of them.
    const targets = random.below(2) === 0
      ? instances
      : random.sample(instances, 1);
    const timer = setInterval(() => {
      if (performance.now() > untilMs) return clearInterval(timer);
      this.#send(random.pick(targets)!, {
        isIdempotent: true,
        headers: { [KEY_HEADER]: keys[0]! },
      });
    }, FLOOD_PAUSE_MS);
  }

  /** Records when all daemons that run have a version. */
  async #watchVersions(): Promise<void> {
    const { versions } = this.#organisations;
    while (!this.#hasEnded) {
      if (versions.at(-1)!.inForceAtMs === Infinity) {
        const read = await Promise.all(
          this.#fleet.instances.map(readConfigVersion),
        );
        this.#organisations.markInForce(Math.min(...read));
      }
      await sleep(VERSION_PERIOD_MS);
    }
  }

  async #findNeverInForce(): Promise<string[]> {
    const { versions } = this.#organisations;
    const endAtMs = performance.now() + LAST_VERSION_MS;
    const last = versions.at(-1)!;
    while (last.inForceAtMs === Infinity && performance.now() < endAtMs) {
      await sleep(VERSION_PERIOD_MS);
    }
    return last.inForceAtMs === Infinity
      ? ["the last version is not in force at all daemons"]
      : [];
  }
}

/** Returns a daemon's version; infinite if it does not listen. */
async function readConfigVersion(
  { metricsPort }: SoakInstance,
): Promise<number> {
  try {
    const response = await fetch(`http://127.0.0.1:${metricsPort}/metrics`, {
      signal: AbortSignal.timeout(VERSION_TIMEOUT_MS),
    });
    const text = await response.text();
    return Number(/config_version (\d+)/.exec(text)?.[1] ?? 0);
  } catch (error) {
    const { cause } = error as { cause?: { code?: string } };
    // A daemon that is down reads the newest version before it serves.
    return cause?.code === "ECONNREFUSED" ? Infinity : 0;
  }
}
