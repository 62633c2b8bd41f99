import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { Agent } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { KvServer } from "../platform/fakes/kv_server.ts";
import { CONFIG_KEY, sampleRoute } from "../platform/fakes/mesh.ts";
import { Random } from "../src/protocol/random.ts";
import { sendAsCaller } from "./caller.ts";
import {
  type InstanceOptions,
  MAX_INSTANCES,
  SoakInstance,
} from "./instance.ts";
import type { BackendProcessHistory, SentRequest } from "./violations.ts";

/** Request rate for each instance, and maximum rate of all together. */
const REQUESTS_PER_INSTANCE_S = 20;
const MAX_REQUESTS_PER_S = 300;
/** Time within which all daemons serve again after the last fault, in ms. */
const RECOVERY_MS = 15_000;
/** Range of the timeouts of callers, in ms. */
const MIN_TIMEOUT_MS = 1_200;
const MAX_TIMEOUT_MS = 4_000;
/** Timeout of routes, in s. */
const ROUTE_TIMEOUT_S = MAX_TIMEOUT_MS / 1_000;
/** Interval of the checks for stalls of this process, in ms. */
const STALL_CHECK_MS = 20;
/** Longest stall of this process that does not excuse its requests, in ms. */
const MAX_STALL_MS = 100;
/** Time within which a version is applied once all faults are over, in ms. */
const APPLY_MS = 5_000;
/** One of this many orders needs a transfer permit on a slow link. */
const LONG_BODY_EVERY = 8;
const LONG_BODY_BYTES = 60_000;
/** Time within which the daemons of a new fleet must serve, in ms. */
const START_TIMEOUT_MS = 20_000;

/** Options of a run. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly instances: number;
  /** Number of failure domains of the instances; 3 by default. */
  readonly domains?: number;
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
  /** What each check has looked at, and extremes that it found, by name. */
  readonly figures: Readonly<Record<string, number>>;
  /** One line for each request that was not served. */
  readonly unserved: readonly string[];
  /** Longest stall of this process, in ms. */
  readonly stalledMs: number;
  /** Last output of each daemon, by instance. */
  readonly logs: Readonly<Record<string, string>>;
}

/** What a plan sets for its fleet. */
export interface FleetPlan {
  /** Fields of the options of all instances. */
  readonly instance?: Partial<InstanceOptions>;
  /** Builds a version of the configuration with additional routes. */
  readonly createConfig: (version: number, extra: object[]) => object;
  /** Additional headers of requests that name none. */
  readonly headers?: Readonly<Record<string, string>>;
  /** First era of the store; it names none if omitted. */
  readonly era?: number;
}

/** Fields of a request that {@linkcode Fleet.createRequest} creates. */
export interface RequestFields {
  readonly isIdempotent: boolean;
  readonly path?: string | undefined;
  readonly headers?: Readonly<Record<string, string>> | undefined;
}

/** A phase in which load is sent while faults are injected. */
export interface FaultPhase {
  readonly seconds: number;
  readonly maxGapMs: number;
  readonly sendRandom: () => void;
  readonly injectFault: () => void;
  /** Waits, under load, until the last fault is over. */
  readonly settle: () => Promise<unknown>;
}

/** Daemons that run as separate processes, their store, and their callers. */
export class Fleet {
  readonly sent = new Map<string, SentRequest>();
  readonly instances: SoakInstance[] = [];
  /** Backend processes that have been replaced. */
  readonly earlierProcesses: BackendProcessHistory[] = [];
  readonly faults: string[] = [];
  /** Draws requests. */
  readonly random: Random;
  /** Separate from the other source, so that a seed repeats its faults. */
  readonly faultRandom: Random;
  store!: KvServer;
  readonly #options: SoakOptions;
  readonly #plan: FleetPlan;
  readonly #folder = mkdtempSync(join(tmpdir(), "sesamepond-soak-"));
  /** Uses all open connections in turn until they are closed. */
  readonly #agent = new Agent({ keepAlive: true, scheduling: "fifo" });
  #version = 1;
  #nextId = 1;
  #stalledMs = 0;

  /**
   * Creates a fleet without daemons.
   *
   * @param options Options of the run.
   * @param plan What the plan sets for its fleet.
   * @throws {RangeError} If there are too many instances.
   */
  constructor(options: SoakOptions, plan: FleetPlan) {
    if (options.instances > MAX_INSTANCES) {
      throw new RangeError(`Cannot run more than ${MAX_INSTANCES} instances`);
    }
    this.#options = options;
    this.#plan = plan;
    this.random = new Random(options.seed);
    this.faultRandom = new Random(options.seed);
  }

  /** Starts the store and the daemons, and waits until they serve. */
  async start(): Promise<void> {
    const bundle = join(this.#folder, "sesamepond.cjs");
    spawnSync(process.execPath, ["scripts/build_platform.mjs", bundle]);
    this.store = await KvServer.start();
    this.store.era = this.#plan.era;
    this.writeConfig();
    const storePort = Number(this.store.address.split(":")[1]);
    for (let index = 0; index < this.#options.instances; index++) {
      this.instances.push(
        await SoakInstance.start({
          index,
          domain: `domain-${index % (this.#options.domains ?? 3)}`,
          folder: this.#folder,
          bundle,
          storePort,
          onRestart: (history) => this.earlierProcesses.push(history),
          ...this.#plan.instance,
        }),
      );
    }
    await this.#waitUntilServed(START_TIMEOUT_MS);
  }

  /** Sends load and injects faults, and waits until all requests have ended. */
  async runUnderFaults(phase: FaultPhase): Promise<void> {
    const requestsPerS = Math.min(
      this.instances.length * REQUESTS_PER_INSTANCE_S,
      MAX_REQUESTS_PER_S,
    );
    const loadTimer = setInterval(phase.sendRandom, 1_000 / requestsPerS);
    const stallTimer = this.#watchStalls();
    const endAtMs = performance.now() + phase.seconds * 1_000;
    while (performance.now() < endAtMs) {
      await sleep(this.faultRandom.below(phase.maxGapMs));
      phase.injectFault();
    }
    await phase.settle();
    clearInterval(loadTimer);
    await sleep(MAX_TIMEOUT_MS + MIN_TIMEOUT_MS);
    clearInterval(stallTimer);
  }

  /** Reports whether daemons do not serve in time after the last fault. */
  async findUnserving(): Promise<string[]> {
    return await this.#waitUntilServed(RECOVERY_MS)
      ? []
      : ["not all daemons serve after the last fault"];
  }

  /** Reports the daemons that do not apply a last version in time. */
  async findOutdated(): Promise<string[]> {
    const path = "/last/1";
    this.writeConfig([sampleRoute("last")]);
    const endAtMs = performance.now() + APPLY_MS;
    // Concurrently, so that a slow daemon does not use up the others' time.
    const adopted = await Promise.all(
      this.instances.map((instance) =>
        this.#hasAdopted(instance, path, endAtMs)
      ),
    );
    return this.instances.filter((_, index) => !adopted[index])
      .map(({ name }) => `${name} has not applied the last version`);
  }

  /** Summarizes the run. */
  summarize(
    problems: readonly string[],
    figures: Readonly<Record<string, number>> = {},
  ): SoakResult {
    const statuses: Record<number, number> = {};
    for (const { status } of this.sent.values()) {
      statuses[status] = (statuses[status] ?? 0) + 1;
    }
    return {
      seed: this.#options.seed,
      sent: this.sent.size,
      served: statuses[200] ?? 0,
      statuses,
      faults: this.faults,
      problems,
      figures,
      unserved: [...this.sent.values()].flatMap(describeUnserved),
      stalledMs: Math.round(this.#stalledMs),
      logs: Object.fromEntries(
        this.instances.map(({ name, output }) => [name, output]),
      ),
    };
  }

  /** Stops the daemons and the store. */
  async end(): Promise<void> {
    this.#agent.destroy();
    for (const instance of this.instances) await instance.end();
    await this.store.stop();
    rmSync(this.#folder, { recursive: true });
  }

  /** Returns what all backend processes ran, in the order of their start. */
  listProcesses(): BackendProcessHistory[] {
    const current = this.instances.map(({ backendHistory }) => backendHistory);
    return [...this.earlierProcesses, ...current];
  }

  /**
   * Creates a request and keeps it for the checks.
   *
   * @param instance Instance of the ingress daemon.
   * @param fields Kind, path and headers.
   * @returns The request, which has not been sent.
   */
  createRequest(instance: SoakInstance, fields: RequestFields): SentRequest {
    const { isIdempotent, path, headers = this.#plan.headers ?? {} } = fields;
    const number = this.#nextId++;
    const id = `s${this.#options.seed}-${number}`;
    const isLong = number % LONG_BODY_EVERY === 0;
    const body = `body of ${id}`.padEnd(isLong ? LONG_BODY_BYTES : 0, ".");
    const request = {
      id,
      ingress: instance.name,
      timeoutMs: MIN_TIMEOUT_MS +
        this.random.below(MAX_TIMEOUT_MS - MIN_TIMEOUT_MS),
      endedAtMs: Infinity,
      sentAtMs: performance.now(),
      disconnectedAtMs: Infinity,
      ingressPausedAtMs: instance.pausedAtMs,
      path: path ?? `/${isIdempotent ? "stock" : "orders"}/${id}`,
      headers,
      body: isIdempotent ? "" : body,
      isIdempotent,
      status: 0,
      answer: "",
      retryAfterS: 0,
      error: "",
    };
    this.sent.set(id, request);
    return request;
  }

  /** Sends a request; its caller may disconnect after a time in ms. */
  send(
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

  /**
   * Writes the next version of the configuration.
   *
   * @param extra Additional routes.
   * @returns Number of the version.
   */
  writeConfig(extra: object[] = []): number {
    const version = this.#version++;
    const config = this.#plan.createConfig(version, extra);
    this.store.put(
      CONFIG_KEY,
      JSON.stringify(
        config,
        (key, value) => key === "TimeoutS" ? ROUTE_TIMEOUT_S : value,
      ),
    );
    return version;
  }

  #watchStalls(): NodeJS.Timeout {
    let lastMs = performance.now();
    return setInterval(() => {
      const nowMs = performance.now();
      const gapMs = nowMs - lastMs;
      this.#stalledMs = Math.max(this.#stalledMs, gapMs);
      // The proxies, callers and backend servers of this process stalled too.
      if (gapMs > MAX_STALL_MS) {
        for (const { pausedAtMs } of this.instances) pausedAtMs.push(lastMs);
      }
      lastMs = nowMs;
    }, STALL_CHECK_MS);
  }

  /** Waits until each daemon has served a request. */
  async #waitUntilServed(timeoutMs: number): Promise<boolean> {
    const endAtMs = performance.now() + timeoutMs;
    for (const instance of this.instances) {
      while (await this.#probe(instance) !== 200) {
        if (performance.now() > endAtMs) return false;
        await sleep(100);
      }
    }
    return true;
  }

  async #hasAdopted(
    instance: SoakInstance,
    path: string,
    endAtMs: number,
  ): Promise<boolean> {
    while (performance.now() < endAtMs) {
      const request = this.createRequest(instance, {
        isIdempotent: true,
        path,
      });
      await this.send(instance, request);
      if (request.status !== 0 && request.status !== 404) return true;
      await sleep(100);
    }
    return false;
  }

  async #probe(instance: SoakInstance): Promise<number> {
    const request = this.createRequest(instance, { isIdempotent: true });
    await this.send(instance, request);
    return request.status;
  }
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
