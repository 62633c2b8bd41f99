import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { FakeBackend } from "../platform/fakes/backend.ts";
import { FaultProxy } from "../fakes/fault_proxy.ts";
import { Child } from "../testkit/child.ts";
import { allocatePorts, USABLE_PORTS } from "./port_block.ts";
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
  /** Whether its settings enable rollouts. */
  readonly hasRollouts?: boolean;
  /** Called with each new backend process and its version. */
  readonly onBackend?: (backend: FakeBackend, version: string) => void;
  /** Called with the id of each process of the daemon. */
  readonly onDaemon?: (pid: number) => void;
  /** Called when a process of the daemon has ended without being told to. */
  readonly onOwnExit?: (code: number | null) => void;
}

/** Version of the backend processes of a new instance. */
export const FIRST_VERSION = "v1";
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
  #version = FIRST_VERSION;
  #bornAtUnixMs = Date.now();
  /** Process of the daemon that has been told to end. */
  #toldToEnd: Child | undefined;
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
    const ports = await allocatePorts(options.index, PORTS_PER_INSTANCE);
    const storeProxy = new FaultProxy(options.storePort);
    const peerProxy = new FaultProxy(ports[1]!);
    await Promise.all([storeProxy.listen(), peerProxy.listen()]);
    const backend = await FakeBackend.start(`i-${options.index}-1`);
    return new SoakInstance(options, { ports, backend, storeProxy, peerProxy });
  }

  /** What the backend process runs. */
  get backendHistory(): BackendProcessHistory {
    const { name, version, drainedAtMs, backend: { id, runs } } = this;
    return { id, instance: name, version, runs, drainedAtMs };
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

  /** Version of the backend process. */
  get version(): string {
    return this.#version;
  }

  /** Whether the daemon's process runs. */
  get isRunning(): boolean {
    return !this.#daemon.hasExited;
  }

  /** Whether the daemon is in graceful shutdown. */
  get isStopping(): boolean {
    return this.#isStopping;
  }

  /** Kills the daemon and restarts it after a pause in ms. */
  async crash(pauseMs: number): Promise<void> {
    this.#toldToEnd = this.#daemon;
    await this.#daemon.kill();
    setTimeout(() => this.#restart(), pauseMs);
  }

  /** Stops the daemon gracefully and restarts it. */
  async restart(): Promise<void> {
    this.resume();
    this.#isStopping = true;
    this.#toldToEnd = this.#daemon;
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
      Version: this.#version,
      born: this.#bornAtUnixMs,
    });
    // By the time of the response, a new process may have replaced the one that
    // drained.
    if (isAcknowledged && isDraining && processNumber === this.#processNumber) {
      this.drainedAtMs = Math.min(this.drainedAtMs, performance.now());
    }
    return isAcknowledged;
  }

  /**
   * Drains the backend server and replaces it with a new process.
   *
   * @param drainMs Time for which it drains, in ms.
   * @param version Version of the new process; that of the former by default.
   * @returns What the former process ran.
   */
  async replaceBackend(
    drainMs: number,
    version = this.#version,
  ): Promise<BackendProcessHistory> {
    const former = this.backend;
    former.isDraining = true;
    await this.announce("draining");
    await new Promise((resolve) => setTimeout(resolve, drainMs));
    await this.#callControl("instances.leave", { born: this.#bornAtUnixMs });
    return await this.#startNextBackend(version);
  }

  /** Stops the backend server at once and replaces it with a new process. */
  async stopBackend(version: string): Promise<BackendProcessHistory> {
    await this.backend.stop();
    return await this.#startNextBackend(version);
  }

  /** Stops the daemon, the proxies and the backend server. */
  async end(): Promise<void> {
    this.#hasEnded = true;
    clearInterval(this.#announceTimer);
    this.resume();
    this.#toldToEnd = this.#daemon;
    await this.#daemon.kill();
    await this.storeProxy.close();
    await this.peerProxy.close();
    await this.backend.stop();
  }

  #watchBackend(): void {
    const { workMsOf, isFatal, onEnd, onRestart, onBackend } = this.#options;
    const { backend } = this;
    onBackend?.(backend, this.#version);
    if (workMsOf !== undefined) backend.workMsOf = workMsOf;
    if (isFatal !== undefined) backend.isFatal = isFatal;
    backend.onEnd = (path) => {
      onEnd?.(path);
      setTimeout(async () => {
        // One that drains is replaced in any case.
        if (this.#hasEnded || backend.isDraining) return;
        onRestart?.(await this.#startNextBackend(this.#version));
      }, BACKEND_RESTART_MS);
    };
  }

  async #startNextBackend(version: string): Promise<BackendProcessHistory> {
    const history = this.backendHistory;
    this.#processNumber++;
    this.backend = await FakeBackend.start(
      `i-${this.#options.index}-${this.#processNumber}`,
    );
    this.#version = version;
    this.#bornAtUnixMs = Date.now();
    this.#watchBackend();
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
    const { nodeArgs = [], bundle, onDaemon, onOwnExit } = this.#options;
    const daemon = new Child([...nodeArgs, bundle], {
      SESAMEPOND_CONFIG: this.#settingsFile,
    });
    onDaemon?.(daemon.pid);
    void daemon.waitForExit().then((code) => {
      if (this.#toldToEnd !== daemon) onOwnExit?.(code);
    });
    return daemon;
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
        contracts: this.#options.hasRollouts === true ? "rollout" : "",
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
