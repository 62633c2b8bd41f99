import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { FakeBackend } from "../platform/fakes/backend.ts";
import { Child } from "../testkit/child.ts";
import { findFreePorts } from "../testkit/find_free_ports.ts";

const HOST = "127.0.0.1";
/** Time that a backend server takes for a request, in ms. */
const WORK_MS = 160;
const SLOTS = 18;
/** Period of the announcements, in ms. */
const ANNOUNCE_PERIOD_MS = 1_500;
/** Environment variable with the folder for the daemons' CPU profiles. */
const PROFILE_VARIABLE = "BENCH_PROFILE";
/** Environment variable that replaces the deployed Node.js arguments. */
const ARGUMENTS_VARIABLE = "BENCH_NODE_ARGUMENTS";

/** Options of a {@linkcode CostInstance}. */
export interface CostInstanceOptions {
  readonly name: string;
  /** Folder for the settings file. */
  readonly folder: string;
  /** Path of the bundled daemon. */
  readonly bundle: string;
  readonly storeAddress: string;
  /** Whether the backend server announces itself; false by default. */
  readonly isServing?: boolean;
}

/** A daemon in its own process, with the stand-in of a backend server. */
export class CostInstance {
  readonly ingressPort: number;
  readonly #options: CostInstanceOptions;
  readonly #controlPort: number;
  readonly #backend: FakeBackend;
  readonly #daemon: Child;
  readonly #announceTimer: NodeJS.Timeout;
  #sequence = 0;

  private constructor(
    options: CostInstanceOptions,
    backend: FakeBackend,
    ports: readonly number[],
  ) {
    this.#options = options;
    this.#backend = backend;
    this.ingressPort = ports[0]!;
    this.#controlPort = ports[3]!;
    backend.workMs = WORK_MS;
    const settings = join(options.folder, `${options.name}.jsonc`);
    writeFileSync(settings, JSON.stringify(this.#settings(ports)));
    this.#daemon = new Child([...readNodeArguments(), options.bundle], {
      SESAMEPOND_CONFIG: settings,
    });
    this.#announceTimer = setInterval(
      () => void this.#announce(),
      ANNOUNCE_PERIOD_MS,
    );
  }

  /**
   * Starts an instance.
   *
   * @param options Name, bundle, store and role of the instance.
   * @returns The instance, whose daemon may not be ready yet.
   */
  static async start(options: CostInstanceOptions): Promise<CostInstance> {
    const backend = await FakeBackend.start(`i-${options.name}`);
    return new CostInstance(options, backend, await findFreePorts(5, HOST));
  }

  /** Process id of the daemon. */
  get pid(): number {
    return this.#daemon.pid;
  }

  /** Stops the daemon and the backend server. */
  async end(): Promise<void> {
    clearInterval(this.#announceTimer);
    await this.#daemon.stop();
    await this.#backend.stop();
  }

  async #announce(): Promise<void> {
    if (this.#options.isServing !== true) return;
    try {
      await fetch(
        `http://${HOST}:${this.#controlPort}/api/rpc` +
          `?call=instances.heartbeat&of=${this.#backend.id}`,
        {
          method: "POST",
          body: JSON.stringify({
            Service: "stock",
            Address: this.#backend.address,
            Capacity: SLOTS,
            State: "ready",
            Sequence: ++this.#sequence,
            born: 1,
          }),
        },
      );
    } catch {
      // The daemon is not up yet; the next announcement follows.
    }
  }

  #settings(ports: readonly number[]): object {
    const addressAt = (index: number) => `${HOST}:${ports[index]}`;
    return {
      instance: this.#options.name,
      domain: "domain-0",
      linkMbps: 1_000,
      service: this.#options.isServing === true ? "stock" : "front",
      backendAddress: this.#backend.address,
      ingressAddress: addressAt(0),
      peerAddress: addressAt(1),
      readyAddress: addressAt(2),
      controlAddress: addressAt(3),
      metricsAddress: addressAt(4),
      storeAddress: this.#options.storeAddress,
      bounds: ["GraceS=1", "RetryRatio=0.2", "RetrySlack=58"],
    };
  }
}

/** Returns the Node.js arguments of the deploy file, or those given instead. */
function readNodeArguments(): string[] {
  const deployed = /^run = "node (.*) \S+"$/m.exec(
    readFileSync("deploy/system.toml", "utf8"),
  )![1]!;
  const given = process.env[ARGUMENTS_VARIABLE] ?? deployed;
  const profile = process.env[PROFILE_VARIABLE];
  return [
    ...given.split(" ").filter((argument) => argument !== ""),
    ...(profile === undefined
      ? []
      : ["--cpu-prof", `--cpu-prof-dir=${profile}`]),
  ];
}
