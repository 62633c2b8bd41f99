import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { FakeBackend } from "../platform/fakes/backend.ts";
import { Child } from "../testkit/child.ts";
import { findFreePorts } from "../testkit/find_free_ports.ts";

const HOST = "127.0.0.1";
/** Work of a backend server for a request, in ms. */
const WORK_MS = 160;
const SLOTS = 18;
/** Pause between two announcements, in ms. */
const ANNOUNCE_PERIOD_MS = 1_500;
/** Variable that names a folder for processor profiles of the daemons. */
const PROFILE_VARIABLE = "BENCH_PROFILE";
/** Variable with arguments of Node.js in place of the deployed ones. */
const ARGUMENTS_VARIABLE = "BENCH_NODE_ARGUMENTS";

/** Where an instance finds what it needs. */
export interface CostInstanceOptions {
  readonly name: string;
  readonly folder: string;
  readonly bundle: string;
  readonly storeAddress: string;
  /** Whether its backend server announces itself. */
  readonly isServing?: boolean;
}

/** A daemon as a process, with the stand-in of a backend server. */
export class CostInstance {
  readonly ingressPort: number;
  readonly #options: CostInstanceOptions;
  readonly #controlPort: number;
  readonly #backend: FakeBackend;
  readonly #daemon: Child;
  readonly #announcing: NodeJS.Timeout;
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
    this.#daemon = new Child([...nodeArguments(), options.bundle], {
      SESAMEPOND_CONFIG: settings,
    });
    this.#announcing = setInterval(
      () => void this.#announce(),
      ANNOUNCE_PERIOD_MS,
    );
  }

  /**
   * Starts an instance.
   *
   * @param options Its name, the program and the store.
   * @returns The instance, whose daemon may not be ready yet.
   */
  static async start(options: CostInstanceOptions): Promise<CostInstance> {
    const backend = await FakeBackend.start(`i-${options.name}`);
    return new CostInstance(options, backend, await findFreePorts(5, HOST));
  }

  /** Id of the daemon's process. */
  get pid(): number {
    return this.#daemon.pid;
  }

  /** Ends everything of the instance. */
  async end(): Promise<void> {
    clearInterval(this.#announcing);
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
      // The daemon is not up yet: the next announcement will do.
    }
  }

  #settings(ports: readonly number[]): object {
    const at = (index: number) => `${HOST}:${ports[index]}`;
    return {
      instance: this.#options.name,
      domain: "domain-0",
      linkMbps: 1_000,
      service: this.#options.isServing === true ? "stock" : "front",
      backendAddress: this.#backend.address,
      ingressAddress: at(0),
      peerAddress: at(1),
      readyAddress: at(2),
      controlAddress: at(3),
      metricsAddress: at(4),
      storeAddress: this.#options.storeAddress,
      bounds: ["GraceS=1", "RetryRatio=0.2", "RetrySlack=58"],
    };
  }
}

/** Arguments with which the deploy file starts Node.js. */
function nodeArguments(): string[] {
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
