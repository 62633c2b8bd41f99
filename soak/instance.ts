import { writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { FakeBackend } from "../platform/fakes/backend.ts";
import { FaultProxy } from "../fakes/fault_proxy.ts";
import { Child } from "../testkit/child.ts";
import type { BackendLife } from "./promises.ts";

const HOST = "127.0.0.1";
/** Time from SIGTERM to the end of a daemon, in s. */
export const GRACE_S = 2;
/**
 * First port of the daemons, below those that the system hands out: a daemon
 * that is down must find its port free, and nobody else may answer there.
 */
const FIRST_PORT = 10_000;
const PORTS_PER_INSTANCE = 5;
/** Runs of the soak that may overlap, and the ports that each has. */
const OVERLAPPING_RUNS = 80;
const PORTS_PER_RUN = 250;
/** Pause between two announcements, in ms. */
const ANNOUNCE_PERIOD_MS = 300;

function portsOf(index: number): number[] {
  const runPort = FIRST_PORT +
    (process.pid % OVERLAPPING_RUNS) * PORTS_PER_RUN;
  const first = runPort + index * PORTS_PER_INSTANCE;
  return Array.from({ length: PORTS_PER_INSTANCE }, (_, port) => first + port);
}

/** Where an instance finds what it needs. */
export interface InstanceOptions {
  readonly index: number;
  /** Name of its failure domain. */
  readonly domain: string;
  readonly folder: string;
  readonly bundle: string;
  readonly storePort: number;
  /** Time from SIGTERM to the end, in s; {@linkcode GRACE_S} unless said. */
  readonly graceS?: number;
  /** Arguments of Node.js for the daemon; none unless said. */
  readonly nodeArgs?: readonly string[];
}

/** Bandwidths that daemons take their links to have, in Mbit/s. */
const FAST_MBPS = 1_000;
const SLOW_MBPS = 7;

/**
 * A daemon as a process, behind a fault proxy to the store, with the stand-in
 * of a backend server that announces itself.
 */
export class SoakInstance {
  readonly name: string;
  readonly storeProxy: FaultProxy;
  backend: FakeBackend;
  /** Monotonic time at which the present life's drain was acknowledged. */
  drainedAtMs = Infinity;
  /** Monotonic times at which the daemon was paused. */
  readonly pausesMs: number[] = [];
  readonly #options: InstanceOptions;
  readonly #ports: readonly number[];
  readonly #settingsFile: string;
  readonly #announcing: NodeJS.Timeout;
  #daemon: Child;
  #sequence = 0;
  #life = 1;
  #isPaused = false;
  #isEnding = false;

  private constructor(
    options: InstanceOptions,
    parts: {
      readonly ports: readonly number[];
      readonly backend: FakeBackend;
      readonly storeProxy: FaultProxy;
      readonly proxyPort: number;
    },
  ) {
    this.name = `instance-${options.index}`;
    this.#options = options;
    this.#ports = parts.ports;
    this.backend = parts.backend;
    this.storeProxy = parts.storeProxy;
    this.#settingsFile = join(options.folder, `${this.name}.jsonc`);
    this.#writeSettings(parts.proxyPort);
    this.#daemon = this.#start();
    this.#announcing = setInterval(
      () => void this.announce(),
      ANNOUNCE_PERIOD_MS,
    );
  }

  /**
   * Starts an instance.
   *
   * @param options Its number, the program and the store.
   * @returns The instance, whose daemon may not be ready yet.
   */
  static async start(options: InstanceOptions): Promise<SoakInstance> {
    const storeProxy = new FaultProxy(options.storePort);
    return new SoakInstance(options, {
      ports: portsOf(options.index),
      backend: await FakeBackend.start(`i-${options.index}-1`),
      storeProxy,
      proxyPort: await storeProxy.listen(),
    });
  }

  /** Port for callers. */
  get ingressPort(): number {
    return this.#ports[0]!;
  }

  /** Port for other daemons. */
  get peerPort(): number {
    return this.#ports[1]!;
  }

  /** Whether a daemon process is there and not paused. */
  get isRunning(): boolean {
    return !this.#daemon.hasExited && !this.#isPaused;
  }

  /** Id of the daemon's process. */
  get pid(): number {
    return this.#daemon.pid;
  }

  /** Last output of the daemon. */
  get output(): string {
    return this.#daemon.output;
  }

  /** Kills the daemon and starts it again after a pause. */
  async crash(pauseMs: number): Promise<void> {
    await this.#daemon.kill();
    setTimeout(() => this.#restart(), pauseMs);
  }

  /** Stops the daemon gracefully and starts it again. */
  async restart(): Promise<void> {
    this.resume();
    await this.#daemon.stop();
    this.#restart();
  }

  /** Sends SIGHUP. */
  reload(): void {
    this.#daemon.signal("SIGHUP");
  }

  /** Stops the daemon's process until it is resumed. */
  pause(): void {
    this.#isPaused = true;
    this.pausesMs.push(performance.now());
    this.#daemon.signal("SIGSTOP");
  }

  /** Lets a paused process go on. */
  resume(): void {
    this.#isPaused = false;
    this.#daemon.signal("SIGCONT");
  }

  /** Announces the backend server; a failure is tried again by the next. */
  async announce(state = "ready"): Promise<boolean> {
    const isDraining = state === "draining" || this.backend.isDraining;
    const life = this.#life;
    const isDone = await this.#control("instances.heartbeat", {
      Service: "stock",
      Address: this.backend.address,
      Capacity: 8,
      State: isDraining ? "draining" : "ready",
      Sequence: ++this.#sequence,
      born: this.#life,
    });
    // The answer may come once a new life is there, which did not drain.
    if (isDone && isDraining && life === this.#life) {
      this.drainedAtMs = Math.min(this.drainedAtMs, performance.now());
    }
    return isDone;
  }

  /** Drains the backend server, and puts a new life in its place. */
  async replaceBackend(drainMs: number): Promise<BackendLife> {
    const former = this.backend;
    former.isDraining = true;
    await this.announce("draining");
    await new Promise((resolve) => setTimeout(resolve, drainMs));
    await this.#control("instances.leave", { born: this.#life });
    this.#life++;
    this.backend = await FakeBackend.start(
      `i-${this.#options.index}-${this.#life}`,
    );
    const { id, runs } = former;
    const life = { id, runs, drainedAtMs: this.drainedAtMs };
    this.drainedAtMs = Infinity;
    this.#sequence = 0;
    return life;
  }

  /** Ends everything of the instance. */
  async end(): Promise<void> {
    this.#isEnding = true;
    clearInterval(this.#announcing);
    this.resume();
    await this.#daemon.kill();
    await this.storeProxy.close();
    await this.backend.stop();
  }

  #restart(): void {
    if (this.#isEnding || !this.#daemon.hasExited) return;
    this.#isPaused = false;
    this.#daemon = this.#start();
  }

  #start(): Child {
    const { nodeArgs = [], bundle } = this.#options;
    return new Child([...nodeArgs, bundle], {
      SESAMEPOND_CONFIG: this.#settingsFile,
    });
  }

  #writeSettings(storePort: number): void {
    const at = (index: number) => `${HOST}:${this.#ports[index]}`;
    writeFileSync(
      this.#settingsFile,
      JSON.stringify({
        instance: this.name,
        domain: this.#options.domain,
        linkMbps: this.#options.index % 2 === 0 ? FAST_MBPS : SLOW_MBPS,
        service: "stock",
        backendAddress: this.backend.address,
        ingressAddress: at(0),
        peerAddress: at(1),
        readyAddress: at(2),
        controlAddress: at(3),
        metricsAddress: at(4),
        storeAddress: `${HOST}:${storePort}`,
        bounds: [
          `GraceS=${this.#options.graceS ?? GRACE_S}`,
          "RetryRatio=0.2",
          "BudgetWindowS=10",
          "RetrySlack=58",
        ],
      }),
    );
  }

  async #control(call: string, body: object): Promise<boolean> {
    const url = `http://${HOST}:${
      this.#ports[3]
    }/api/rpc?call=${call}&of=${this.backend.id}`;
    try {
      const response = await fetch(url, {
        method: "POST",
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(1_000),
      });
      return response.ok;
    } catch {
      // The daemon is down or paused: no acknowledgement.
      return false;
    }
  }
}
