import { writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { FakeBackend } from "../platform/fakes/backend.ts";
import { FaultProxy } from "../fakes/fault_proxy.ts";
import { Child } from "../testkit/child.ts";
import { claimPortBlock, USABLE_PORTS } from "./port_block.ts";
import type { BackendProcessHistory } from "./violations.ts";

const HOST = "127.0.0.1";
/** Default grace period from SIGTERM to the exit of a daemon, in s. */
export const GRACE_S = 6;
const PORTS_PER_INSTANCE = 5;
/** Maximum number of instances of a run. */
export const MAX_INSTANCES = Math.floor(USABLE_PORTS / PORTS_PER_INSTANCE);
/** Time slices in which a throttled process runs and is stopped, in ms. */
const RUN_SLICE_MS = 40;
const STOP_SLICE_MS = 200;
/** Pause between two announcements, in ms. */
const ANNOUNCE_PERIOD_MS = 300;

let portBlock: Promise<number> | undefined;

/** Returns the ports of an instance in the block that this process claims. */
async function allocatePorts(index: number): Promise<number[]> {
  portBlock ??= claimPortBlock(process.pid);
  const first = await portBlock + index * PORTS_PER_INSTANCE;
  return Array.from({ length: PORTS_PER_INSTANCE }, (_, port) => first + port);
}

/** Options of an instance. */
export interface InstanceOptions {
  readonly index: number;
  /** Name of its failure domain. */
  readonly domain: string;
  readonly folder: string;
  readonly bundle: string;
  readonly storePort: number;
  /** Bandwidth that its settings name, in Mbit/s; by its index by default. */
  readonly linkMbps?: number;
  /** Grace period of the daemon, in s; {@linkcode GRACE_S} by default. */
  readonly graceS?: number;
  /** Arguments of Node.js for the daemon; none by default. */
  readonly nodeArgs?: readonly string[];
  /** Returns the backend server's work on a request in ms; short by default. */
  readonly workMsOf?: (id: string) => number;
  /** Whether the backend server ends under a request with this path. */
  readonly isFatal?: (path: string) => boolean;
  /** Called with the path of a request under which a backend process ended. */
  readonly onEnd?: (path: string) => void;
  /** Called with the history of a backend process that ended so. */
  readonly onRestart?: (history: BackendProcessHistory) => void;
  /** Memory of the instance that its settings name, in MB; none by default. */
  readonly memoryMb?: number;
}

/** Time from the end of a backend process to the next one, in ms. */
const BACKEND_RESTART_MS = 800;

/** Link bandwidths in the settings of daemons, in Mbit/s. */
const FAST_MBPS = 1_000;
const SLOW_MBPS = 7;

/**
 * A daemon that runs as a separate process, with fault proxies on its path to
 * the store and on the path of other daemons to it, and the stand-in of a
 * backend server, which announces itself.
 */
export class SoakInstance {
  readonly name: string;
  readonly storeProxy: FaultProxy;
  /** Proxy through which other daemons reach this one. */
  readonly peerProxy: FaultProxy;
  backend: FakeBackend;
  /** Monotonic time at which the backend process's drain was acknowledged. */
  drainedAtMs = Infinity;
  /** Monotonic times at which the daemon was paused. */
  readonly pausedAtMs: number[] = [];
  readonly #options: InstanceOptions;
  readonly #ports: readonly number[];
  readonly #settingsFile: string;
  readonly #announceTimer: NodeJS.Timeout;
  #daemon: Child;
  #sequence = 0;
  #processNumber = 1;
  #isPaused = false;
  #isStopping = false;
  #hasEnded = false;
  #earlierOutput = "";

  private constructor(
    options: InstanceOptions,
    parts: {
      readonly ports: readonly number[];
      readonly backend: FakeBackend;
      readonly storeProxy: FaultProxy;
      readonly peerProxy: FaultProxy;
    },
  ) {
    this.name = `instance-${options.index}`;
    this.#options = options;
    this.#ports = parts.ports;
    this.backend = parts.backend;
    this.storeProxy = parts.storeProxy;
    this.peerProxy = parts.peerProxy;
    this.#settingsFile = join(options.folder, `${this.name}.jsonc`);
    this.#writeSettings();
    this.#watchBackend();
    this.#daemon = this.#start();
    this.#announceTimer = setInterval(
      () => void this.announce(),
      ANNOUNCE_PERIOD_MS,
    );
  }

  /**
   * Starts an instance.
   *
   * @param options Index, program, store and settings of the instance.
   * @returns The instance; its daemon may not be ready yet.
   */
  static async start(options: InstanceOptions): Promise<SoakInstance> {
    const ports = await allocatePorts(options.index);
    const storeProxy = new FaultProxy(options.storePort);
    const peerProxy = new FaultProxy(ports[1]!);
    await Promise.all([storeProxy.listen(), peerProxy.listen()]);
    const backend = await FakeBackend.start(`i-${options.index}-1`);
    return new SoakInstance(options, { ports, backend, storeProxy, peerProxy });
  }

  /** Port for callers. */
  get ingressPort(): number {
    return this.#ports[0]!;
  }

  /** Port at which its daemon listens for other daemons. */
  get peerPort(): number {
    return this.#ports[1]!;
  }

  /** Port at which its daemon answers readiness checks. */
  get readyPort(): number {
    return this.#ports[2]!;
  }

  /** Port at which its daemon takes the calls of the backend server. */
  get controlPort(): number {
    return this.#ports[3]!;
  }

  /** Port at which its daemon serves its metrics. */
  get metricsPort(): number {
    return this.#ports[4]!;
  }

  /** Output of the daemon across restarts. */
  get output(): string {
    return this.#earlierOutput + this.#daemon.output;
  }

  /** Id of the daemon's process. */
  get pid(): number {
    return this.#daemon.pid;
  }

  /** Whether the daemon is in graceful shutdown. */
  get isStopping(): boolean {
    return this.#isStopping;
  }

  /** Kills the daemon and restarts it after a pause in ms. */
  async crash(pauseMs: number): Promise<void> {
    await this.#daemon.kill();
    setTimeout(() => this.#restart(), pauseMs);
  }

  /** Stops the daemon gracefully and restarts it. */
  async restart(): Promise<void> {
    this.resume();
    this.#isStopping = true;
    await this.#daemon.stop();
    this.#isStopping = false;
    this.#restart();
  }

  /** Sends SIGHUP, but not before the daemon handles it: it would exit. */
  reload(): void {
    if (!this.#daemon.output.includes("event=daemon-started")) return;
    this.#daemon.signal("SIGHUP");
  }

  /** Pauses the daemon's process until it is resumed. */
  pause(): void {
    this.#isPaused = true;
    this.pausedAtMs.push(performance.now());
    this.#daemon.signal("SIGSTOP");
  }

  /**
   * Lets the daemon run in time slices, as with too little processor time.
   *
   * @param lastsMs Duration, in ms.
   */
  async throttle(lastsMs: number): Promise<void> {
    const daemon = this.#daemon;
    const untilMs = performance.now() + lastsMs;
    while (performance.now() < untilMs && !daemon.hasExited) {
      this.pausedAtMs.push(performance.now());
      if (!this.#isPaused) daemon.signal("SIGSTOP");
      await sleep(STOP_SLICE_MS);
      if (!this.#isPaused) daemon.signal("SIGCONT");
      await sleep(RUN_SLICE_MS);
    }
  }

  /** Resumes a paused process. */
  resume(): void {
    this.#isPaused = false;
    this.#daemon.signal("SIGCONT");
  }

  /** Announces the backend server; the next call retries a failed one. */
  async announce(state = "ready"): Promise<boolean> {
    if (this.backend.hasEnded) return false;
    const isDraining = state === "draining" || this.backend.isDraining;
    const processNumber = this.#processNumber;
    const isAcknowledged = await this.#callControl("instances.heartbeat", {
      Service: "stock",
      Address: this.backend.address,
      Capacity: 8,
      State: isDraining ? "draining" : "ready",
      Sequence: ++this.#sequence,
      born: this.#processNumber,
    });
    // By the time of the response, a new process may have replaced the one that
    // drained.
    if (isAcknowledged && isDraining && processNumber === this.#processNumber) {
      this.drainedAtMs = Math.min(this.drainedAtMs, performance.now());
    }
    return isAcknowledged;
  }

  /** Drains the backend server and replaces it with a new process. */
  async replaceBackend(drainMs: number): Promise<BackendProcessHistory> {
    const former = this.backend;
    former.isDraining = true;
    await this.announce("draining");
    await new Promise((resolve) => setTimeout(resolve, drainMs));
    await this.#callControl("instances.leave", { born: this.#processNumber });
    return await this.#startNextBackend();
  }

  /** Stops the daemon, the proxies and the backend server. */
  async end(): Promise<void> {
    this.#hasEnded = true;
    clearInterval(this.#announceTimer);
    this.resume();
    await this.#daemon.kill();
    await this.storeProxy.close();
    await this.peerProxy.close();
    await this.backend.stop();
  }

  #watchBackend(): void {
    const { workMsOf, isFatal, onEnd, onRestart } = this.#options;
    const { backend } = this;
    if (workMsOf !== undefined) backend.workMsOf = workMsOf;
    if (isFatal !== undefined) backend.isFatal = isFatal;
    backend.onEnd = (path) => {
      onEnd?.(path);
      setTimeout(async () => {
        // One that drains is replaced in any case.
        if (this.#hasEnded || backend.isDraining) return;
        onRestart?.(await this.#startNextBackend());
      }, BACKEND_RESTART_MS);
    };
  }

  async #startNextBackend(): Promise<BackendProcessHistory> {
    const former = this.backend;
    this.#processNumber++;
    this.backend = await FakeBackend.start(
      `i-${this.#options.index}-${this.#processNumber}`,
    );
    this.#watchBackend();
    const { id, runs } = former;
    const history = {
      id,
      instance: this.name,
      runs,
      drainedAtMs: this.drainedAtMs,
    };
    this.drainedAtMs = Infinity;
    this.#sequence = 0;
    return history;
  }

  #restart(): void {
    if (this.#hasEnded || !this.#daemon.hasExited) return;
    this.#isPaused = false;
    this.#earlierOutput += this.#daemon.output;
    this.#daemon = this.#start();
  }

  #start(): Child {
    const { nodeArgs = [], bundle } = this.#options;
    return new Child([...nodeArgs, bundle], {
      SESAMEPOND_CONFIG: this.#settingsFile,
    });
  }

  #writeSettings(): void {
    const formatAddress = (index: number) => `${HOST}:${this.#ports[index]}`;
    writeFileSync(
      this.#settingsFile,
      JSON.stringify({
        instance: this.name,
        domain: this.#options.domain,
        linkMbps: this.#options.linkMbps ??
          (this.#options.index % 2 === 0 ? FAST_MBPS : SLOW_MBPS),
        memoryMb: this.#options.memoryMb,
        service: "stock",
        backendAddress: this.backend.address,
        ingressAddress: formatAddress(0),
        peerAddress: formatAddress(1),
        advertisedPeerAddress: `${HOST}:${this.peerProxy.port}`,
        readyAddress: formatAddress(2),
        controlAddress: formatAddress(3),
        metricsAddress: formatAddress(4),
        storeAddress: `${HOST}:${this.storeProxy.port}`,
        bounds: [
          `GraceS=${this.#options.graceS ?? GRACE_S}`,
          "RetryRatio=0.2",
          "BudgetWindowS=10",
          "RetrySlack=58",
        ],
      }),
    );
  }

  async #callControl(call: string, body: object): Promise<boolean> {
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
      // The daemon is down or paused and does not acknowledge the call.
      return false;
    }
  }
}
