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
/** Time from SIGTERM to the end of a daemon, in s. */
export const GRACE_S = 6;
const PORTS_PER_INSTANCE = 5;
/** Most instances of a run. */
export const MAX_INSTANCES = Math.floor(USABLE_PORTS / PORTS_PER_INSTANCE);
/** Slices in which a throttled process runs and stands, in ms. */
const RUN_SLICE_MS = 40;
const STOP_SLICE_MS = 200;
/** Pause between two announcements, in ms. */
const ANNOUNCE_PERIOD_MS = 300;

let claimed: Promise<number> | undefined;

/** All instances of this process share a block of ports. */
async function portsOf(index: number): Promise<number[]> {
  claimed ??= claimPortBlock(process.pid);
  const first = await claimed + index * PORTS_PER_INSTANCE;
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
  /** Time that its backend server works on a request, in ms; short at first. */
  readonly workMsOf?: (id: string) => number;
}

/** Bandwidths that daemons take their links to have, in Mbit/s. */
const FAST_MBPS = 1_000;
const SLOW_MBPS = 7;

/**
 * A daemon as a process, with fault proxies on its way to the store and on the
 * way of other daemons to it, and the stand-in of a backend server that
 * announces itself.
 */
export class SoakInstance {
  readonly name: string;
  readonly storeProxy: FaultProxy;
  /** Other daemons reach this one through it. */
  readonly peerProxy: FaultProxy;
  backend: FakeBackend;
  /** Monotonic time at which the present life's drain was acknowledged. */
  drainedAtMs = Infinity;
  /** Monotonic times at which the daemon was paused. */
  readonly pausedAtMs: number[] = [];
  readonly #options: InstanceOptions;
  readonly #ports: readonly number[];
  readonly #settingsFile: string;
  readonly #announcing: NodeJS.Timeout;
  #daemon: Child;
  #sequence = 0;
  #life = 1;
  #isPaused = false;
  #isStopping = false;
  #isEnding = false;
  #formerOutput = "";

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
    const ports = await portsOf(options.index);
    const storeProxy = new FaultProxy(options.storePort);
    const peerProxy = new FaultProxy(ports[1]!);
    await Promise.all([storeProxy.listen(), peerProxy.listen()]);
    const backend = await FakeBackend.start(`i-${options.index}-1`);
    if (options.workMsOf !== undefined) backend.workMsOf = options.workMsOf;
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

  /** Output of all its daemons. */
  get output(): string {
    return this.#formerOutput + this.#daemon.output;
  }

  /** Id of the daemon's process. */
  get pid(): number {
    return this.#daemon.pid;
  }

  /** Whether its daemon was asked to stop and is still there. */
  get isStopping(): boolean {
    return this.#isStopping;
  }

  /** Kills the daemon and starts it again after a pause. */
  async crash(pauseMs: number): Promise<void> {
    await this.#daemon.kill();
    setTimeout(() => this.#restart(), pauseMs);
  }

  /** Stops the daemon gracefully and starts it again. */
  async restart(): Promise<void> {
    this.resume();
    this.#isStopping = true;
    await this.#daemon.stop();
    this.#isStopping = false;
    this.#restart();
  }

  /** Sends SIGHUP; it would end a process that does not handle it yet. */
  reload(): void {
    if (!this.#daemon.output.includes("event=daemon-started")) return;
    this.#daemon.signal("SIGHUP");
  }

  /** Stops the daemon's process until it is resumed. */
  pause(): void {
    this.#isPaused = true;
    this.pausedAtMs.push(performance.now());
    this.#daemon.signal("SIGSTOP");
  }

  /**
   * Lets the daemon run in slices, as with too little processor time.
   *
   * @param lastsMs Time after which it runs freely again.
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
  async replaceBackend(drainMs: number): Promise<BackendProcessHistory> {
    const former = this.backend;
    former.isDraining = true;
    await this.announce("draining");
    await new Promise((resolve) => setTimeout(resolve, drainMs));
    await this.#control("instances.leave", { born: this.#life });
    this.#life++;
    this.backend = await FakeBackend.start(
      `i-${this.#options.index}-${this.#life}`,
    );
    this.backend.workMsOf = former.workMsOf;
    const { id, runs } = former;
    const life = {
      id,
      instance: this.name,
      runs,
      drainedAtMs: this.drainedAtMs,
    };
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
    await this.peerProxy.close();
    await this.backend.stop();
  }

  #restart(): void {
    if (this.#isEnding || !this.#daemon.hasExited) return;
    this.#isPaused = false;
    this.#formerOutput += this.#daemon.output;
    this.#daemon = this.#start();
  }

  #start(): Child {
    const { nodeArgs = [], bundle } = this.#options;
    return new Child([...nodeArgs, bundle], {
      SESAMEPOND_CONFIG: this.#settingsFile,
    });
  }

  #writeSettings(): void {
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
        advertisedPeerAddress: `${HOST}:${this.peerProxy.port}`,
        readyAddress: at(2),
        controlAddress: at(3),
        metricsAddress: at(4),
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
