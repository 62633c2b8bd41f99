import { cpSync, mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Child } from "../testkit/child.ts";
import { BackendProcess } from "../testkit/backend_process.ts";
import { DaemonProcess, FLEET_KEYS } from "../testkit/daemon_process.ts";
import { distFile } from "../testkit/dist_file.ts";

/** Limits of the Association's backend servers, as in its example. */
const SLOTS = 20;
const MAX_CONNECTIONS = 100;

/** Failure domain and service of each instance. */
const INSTANCES: readonly (readonly [domain: string, service: string])[] = [
  ["port-of-spain", "lookup"],
  ["port-of-spain", "lookup"],
  ["san-fernando", "lookup"],
  ["san-fernando", "lookup"],
  ["tobago", "lookup"],
  ["port-of-spain", "order"],
  ["san-fernando", "order"],
  ["tobago", "order"],
  ["port-of-spain", "proof"],
  ["san-fernando", "proof"],
  ["tobago", "proof"],
];

const DOMAINS = ["port-of-spain", "san-fernando", "tobago"];

/** Output and exit code of the command line. */
export interface CommandResult {
  readonly code: number | null;
  readonly json: Record<string, unknown>;
  readonly output: string;
}

/** A daemon of the demonstration with its backend server. */
export interface DemoInstance {
  readonly daemon: DaemonProcess;
  readonly service: string;
  backend: BackendProcess;
}

/**
 * Runs the processes of the demonstration: a store, and a daemon with a
 * backend server for each instance of the Association.
 */
export class DemoFleet {
  readonly instances: DemoInstance[] = [];
  /** Copy of the example configuration that the demonstration edits. */
  readonly directory = join(mkdtempSync(join(tmpdir(), "sesamepond-")), "site");
  readonly #operatorFile = join(this.directory, "..", "operator.jsonc");
  #store: Child | undefined;
  #storePort = 0;

  /** Starts the store and writes the operator's files. */
  async open(): Promise<void> {
    this.#store = new Child([distFile("fakes/store_main.js")]);
    this.#storePort = await this.#store.waitForPort();
    cpSync("examples/association", this.directory, { recursive: true });
    writeFileSync(
      this.#operatorFile,
      JSON.stringify({
        author: "demo@example.com",
        store: { endpoints: [`127.0.0.1:${this.#storePort}`] },
        fleetKeys: FLEET_KEYS,
      }),
    );
  }

  /** Starts all daemons and backend servers. */
  async startInstances(): Promise<void> {
    await Promise.all(
      INSTANCES.map(([domain, service], number) =>
        this.#startInstance(domain, service, number)
      ),
    );
  }

  /** Runs the command line with `--json` and returns its result. */
  async command(...args: string[]): Promise<CommandResult> {
    const child = new Child([
      distFile("src/cli/main.js"),
      ...args,
      "--json",
      "--operator",
      this.#operatorFile,
    ]);
    const code = await child.waitForExit();
    const line = child.output.split("\n").find((text) => text.startsWith("{"));
    return { code, json: JSON.parse(line ?? "{}"), output: child.output };
  }

  /** Starts a backend server that announces itself to a daemon. */
  startBackend(daemon: DaemonProcess, service: string) {
    return BackendProcess.start(service, daemon.admin, {
      slots: SLOTS,
      maxConnections: MAX_CONNECTIONS,
      serviceMs: service === "lookup" ? 5 : 20,
    });
  }

  /** Stops all processes. */
  async close(): Promise<void> {
    await Promise.all(this.instances.map(async ({ daemon, backend }) => {
      await backend.close();
      await daemon.close();
    }));
    await this.#store?.kill();
  }

  async #startInstance(
    domain: string,
    service: string,
    number: number,
  ): Promise<void> {
    const daemon = await DaemonProcess.start({
      instance: `${domain}-${service}-${number + 1}`,
      domain,
      region: "trinidad",
      host: `127.21.${DOMAINS.indexOf(domain) + 1}.${number + 1}`,
      storePort: this.#storePort,
      settings: { drainMs: 1_500, gossip: {}, leaseTtlS: 5 },
    });
    await daemon.waitForVersion(1);
    const backend = await this.startBackend(daemon, service);
    this.instances.push({ daemon, service, backend });
  }
}
