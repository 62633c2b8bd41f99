import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { Agent } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { BackendFault } from "../platform/fakes/backend.ts";
import { KvServer, StoreFault } from "../platform/fakes/kv_server.ts";
import {
  addedRoute,
  CONFIG_KEY,
  sampleConfig,
} from "../platform/fakes/mesh.ts";
import { Random } from "../src/protocol/random.ts";
import { sendAsCaller } from "./caller.ts";
import { SoakInstance } from "./instance.ts";
import {
  type BackendLife,
  brokenPromises,
  type SentRequest,
} from "./promises.ts";

/** Requests in a second. */
const REQUESTS_PER_S = 80;
/** Longest pause between two faults, in ms; faults overlap. */
const MAX_FAULT_GAP_MS = 600;
/** Longest time that a fault lasts, in ms. */
const MAX_FAULT_MS = 2_500;
/** Time in which all is served again after the last fault, in ms. */
const RECOVERY_MS = 15_000;
const TIMEOUT_MS = 1_200;
/** Time in which a version is in force once all faults are over, in ms. */
const APPLY_MS = 5_000;
/** One of this many orders has a body that asks for a place on a slow link. */
const LONG_BODY_EVERY = 8;
const LONG_BODY_BYTES = 60_000;
/** One of this many callers leaves before its answer, after this time at most. */
const LEAVING_EVERY = 6;
const MAX_LEAVING_MS = 400;
/** Time in which the daemons of a new fleet are ready, in ms. */
const START_MS = 20_000;

/** What to run. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly instances: number;
  /** Failure domains over which they are spread; 3 unless said. */
  readonly domains?: number;
}

/** What a run found. */
export interface SoakResult {
  readonly seed: number;
  readonly sent: number;
  readonly served: number;
  readonly faults: readonly string[];
  readonly problems: readonly string[];
  /** Last output of each daemon, by instance. */
  readonly logs: Readonly<Record<string, string>>;
}

/**
 * Runs daemons as processes under random faults and checks what callers and
 * backend servers see.
 *
 * @param options Seed, length and number of instances.
 * @returns What was sent, what was done to the fleet, and what it broke.
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
  readonly #folder = mkdtempSync(join(tmpdir(), "sesamepond-soak-"));
  readonly #agent = new Agent({ keepAlive: true });
  readonly #sent = new Map<string, SentRequest>();
  readonly #formerLives: BackendLife[] = [];
  readonly #faults: string[] = [];
  #store!: KvServer;
  #instances: SoakInstance[] = [];
  #version = 1;
  #nextId = 1;

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
  }

  async start(): Promise<void> {
    const bundle = join(this.#folder, "sesamepond.mjs");
    spawnSync(process.execPath, ["scripts/build_platform.mjs", bundle]);
    this.#store = await KvServer.start();
    this.#store.put(CONFIG_KEY, JSON.stringify(sampleConfig(1)));
    const storePort = Number(this.#store.address.split(":")[1]);
    for (let index = 0; index < this.#options.instances; index++) {
      this.#instances.push(
        await SoakInstance.start({
          index,
          domain: `domain-${index % (this.#options.domains ?? 3)}`,
          folder: this.#folder,
          bundle,
          storePort,
        }),
      );
    }
    await this.#untilServed(START_MS);
  }

  async run(): Promise<SoakResult> {
    const load = setInterval(() => this.#sendOne(), 1_000 / REQUESTS_PER_S);
    const endAtMs = performance.now() + this.#options.seconds * 1_000;
    while (performance.now() < endAtMs) {
      await sleep(this.#random.below(MAX_FAULT_GAP_MS));
      this.#injectFault();
    }
    await sleep(MAX_FAULT_MS * 2);
    clearInterval(load);
    await sleep(TIMEOUT_MS * 2);
    const isServed = await this.#untilServed(RECOVERY_MS);
    const problems = brokenPromises(this.#sent, this.#lives());
    if (!isServed) problems.push("not all daemons serve after the last fault");
    problems.push(...await this.#withoutLastVersion());
    const served = [...this.#sent.values()].filter(({ status }) =>
      status === 200
    );
    return {
      seed: this.#options.seed,
      sent: this.#sent.size,
      served: served.length,
      faults: this.#faults,
      problems,
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

  #lives(): BackendLife[] {
    const present = this.#instances.map(({ backend, drainedAtMs }) => ({
      id: backend.id,
      runs: backend.runs,
      drainedAtMs,
    }));
    return [...this.#formerLives, ...present];
  }

  async #untilServed(timeoutMs: number): Promise<boolean> {
    const endAtMs = performance.now() + timeoutMs;
    for (const instance of this.#instances) {
      while (await this.#probe(instance) !== 200) {
        if (performance.now() > endAtMs) return false;
        await sleep(100);
      }
    }
    return true;
  }

  /** Names the daemons that do not take a last version in time. */
  async #withoutLastVersion(): Promise<string[]> {
    const path = "/last/1";
    this.#store.put(
      CONFIG_KEY,
      JSON.stringify(sampleConfig(++this.#version, [addedRoute("last")])),
    );
    const endAtMs = performance.now() + APPLY_MS;
    // All are asked at once, so that a slow one takes no time from the others.
    const taken = await Promise.all(
      this.#instances.map((instance) =>
        this.#hasTaken(instance, path, endAtMs)
      ),
    );
    return this.#instances.filter((_, index) => !taken[index])
      .map(({ name }) => `${name} has not taken the last version`);
  }

  async #hasTaken(
    instance: SoakInstance,
    path: string,
    endAtMs: number,
  ): Promise<boolean> {
    while (performance.now() < endAtMs) {
      const request = { ...this.#newRequest(instance, true), path };
      await this.#send(instance, request);
      if (request.status !== 0 && request.status !== 404) return true;
      await sleep(100);
    }
    return false;
  }

  async #probe(instance: SoakInstance): Promise<number> {
    const request = this.#newRequest(instance, true);
    await this.#send(instance, request);
    return request.status;
  }

  #sendOne(): void {
    const instance = this.#random.pick(this.#instances)!;
    const isIdempotent = this.#random.below(2) === 0;
    const request = this.#newRequest(instance, isIdempotent);
    const leavesAfterMs = this.#random.below(LEAVING_EVERY) === 0
      ? this.#random.below(MAX_LEAVING_MS)
      : undefined;
    void this.#send(instance, request, leavesAfterMs);
  }

  #newRequest(instance: SoakInstance, isIdempotent: boolean): SentRequest {
    const number = this.#nextId++;
    const id = `s${this.#options.seed}-${number}`;
    const isLong = number % LONG_BODY_EVERY === 0;
    const body = `body of ${id}`.padEnd(isLong ? LONG_BODY_BYTES : 0, ".");
    const request = {
      id,
      sentAtMs: performance.now(),
      leftAtMs: Infinity,
      ingressPausesMs: instance.pausesMs,
      path: `/${isIdempotent ? "stock" : "orders"}/${id}`,
      body: isIdempotent ? "" : body,
      isIdempotent,
      status: 0,
      answer: "",
    };
    this.#sent.set(id, request);
    return request;
  }

  #send(
    instance: SoakInstance,
    request: SentRequest,
    leavesAfterMs?: number,
  ): Promise<void> {
    return sendAsCaller(request, {
      agent: this.#agent,
      port: instance.ingressPort,
      timeoutMs: TIMEOUT_MS,
      leavesAfterMs,
    });
  }

  #injectFault(): void {
    const faults = this.#faultsOf(this.#random.pick(this.#instances)!);
    const name = this.#random.pick(Object.keys(faults))!;
    this.#faults.push(name);
    faults[name]!(100 + this.#random.below(MAX_FAULT_MS));
  }

  /** Each fault ends by itself after the given time. */
  #faultsOf(
    instance: SoakInstance,
  ): Readonly<Record<string, (lastsMs: number) => void>> {
    const { storeProxy } = instance;
    const heal = (lastsMs: number) =>
      setTimeout(() => storeProxy.set({ kind: "none" }), lastsMs);
    const storeFault = (fault: StoreFault) => (lastsMs: number) => {
      this.#store.fault = fault;
      setTimeout(() => this.#store.fault = StoreFault.None, lastsMs);
    };
    const backendFault = (fault: BackendFault) => (lastsMs: number) => {
      const { backend } = instance;
      backend.fault = fault;
      setTimeout(() => backend.fault = BackendFault.None, lastsMs);
    };
    return {
      "store-path-cut": (lastsMs) => {
        storeProxy.set({ kind: "cut" });
        heal(lastsMs);
      },
      "store-path-silent": (lastsMs) => {
        storeProxy.set({ kind: "silence" });
        heal(lastsMs);
      },
      "store-path-one-way": (lastsMs) => {
        storeProxy.set({ kind: "one-way" });
        heal(lastsMs);
      },
      "store-path-slow": (lastsMs) => {
        storeProxy.set({ kind: "delay", delayMs: 200 });
        heal(lastsMs);
      },
      "store-busy": storeFault(StoreFault.Busy),
      "store-silent": storeFault(StoreFault.Silent),
      "store-loses-answers": storeFault(StoreFault.LosesAnswers),
      "store-lapses": () => this.#store.lapseLeases(),
      "store-compacts": () => this.#store.compact(),
      "config-change": () => {
        const config = sampleConfig(++this.#version);
        this.#store.put(CONFIG_KEY, JSON.stringify(config));
      },
      "backend-sheds": backendFault(BackendFault.Shed),
      "backend-resets": backendFault(BackendFault.Reset),
      "backend-cuts-answers": backendFault(BackendFault.CutUnframed),
      "backend-crosses-answers": backendFault(BackendFault.WrongId),
      "backend-silent": backendFault(BackendFault.Silent),
      "backend-endless-head": backendFault(BackendFault.EndlessHead),
      "backend-endless-interim": backendFault(BackendFault.EndlessInterim),
      "backend-endless-body": backendFault(BackendFault.EndlessBody),
      "backend-endless-extension": backendFault(BackendFault.EndlessExtension),
      "backend-endless-other": backendFault(BackendFault.EndlessOther),
      "backend-replaced": (lastsMs) => void this.#replace(instance, lastsMs),
      "daemon-crash": (lastsMs) => void instance.crash(lastsMs / 4),
      "daemon-restart": () => void instance.restart(),
      "daemon-reload": () => instance.reload(),
      "daemon-pause": (lastsMs) => {
        instance.pause();
        setTimeout(() => instance.resume(), lastsMs);
      },
    };
  }

  async #replace(instance: SoakInstance, lastsMs: number): Promise<void> {
    if (instance.backend.isDraining) return;
    this.#formerLives.push(await instance.replaceBackend(lastsMs));
  }
}
