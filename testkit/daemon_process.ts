import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { FaultProxy } from "../fakes/fault_proxy.ts";
import type { Adoption, Dispatch } from "./checkers.ts";
import { Child } from "./child.ts";
import { distFile } from "./dist_file.ts";
import { findFreePorts } from "./find_free_ports.ts";
import { until } from "./until.ts";

/** Arguments of Node.js for daemons, separated by spaces. */
const NODE_ARGS = (process.env.DAEMON_NODE_ARGS ?? "").split(" ")
  .filter((arg) => arg !== "");
/** Fleet key that all daemons of a test share. */
export const FLEET_KEYS = [{ id: "k1", secret: "test-secret-0123456789" }];

/** Settings that replace the short periods of tests in measurements. */
export const PRODUCTION_SETTINGS = { gossip: {}, claims: {}, leaseTtlS: 4 };

/** Where and how a daemon of a test runs. */
export interface DaemonPlan {
  readonly instance: string;
  readonly domain: string;
  readonly region?: string;
  /** Loopback address of the instance. */
  readonly host: string;
  readonly storePort: number;
  /**
   * Whether peers reach the daemon through fault proxies, which run in this
   * process and add latency to each call. @default {true}
   */
  readonly isProxied?: boolean;
  /** Guarantee that the daemon violates, for negative controls. */
  readonly breakage?: string;
  /** Settings that override those of the harness. */
  readonly settings?: Readonly<Record<string, unknown>>;
}

/** Ports of a daemon. */
export interface DaemonPorts {
  readonly ingress: number;
  readonly admin: number;
  readonly control: number;
  /** Port for other daemons, not that of its fault proxy. */
  readonly peer: number;
}

/**
 * A daemon that runs as a separate process, with fault proxies in front of its
 * peer and control ports.
 *
 * @example
 * ```ts ignore
 * const daemon = await DaemonProcess.start(plan);
 * await daemon.waitForVersion(1);
 * ```
 */
export class DaemonProcess {
  readonly plan: DaemonPlan;
  readonly peerProxy: FaultProxy;
  readonly controlProxy: FaultProxy;
  readonly ports: DaemonPorts;
  readonly #settingsFile: string;
  readonly #logFile: string;
  #child: Child;

  private constructor(
    plan: DaemonPlan,
    parts: {
      ports: DaemonPorts;
      proxies: [FaultProxy, FaultProxy];
      settingsFile: string;
      logFile: string;
    },
  ) {
    this.plan = plan;
    this.ports = parts.ports;
    [this.peerProxy, this.controlProxy] = parts.proxies;
    this.#settingsFile = parts.settingsFile;
    this.#logFile = parts.logFile;
    this.#child = this.#spawn();
  }

  /** Starts a daemon without waiting until it is ready. */
  static async start(plan: DaemonPlan): Promise<DaemonProcess> {
    const [ingress, peer, control, admin, peerOut, controlOut] =
      await findFreePorts(6, plan.host) as [
        number,
        number,
        number,
        number,
        number,
        number,
      ];
    const peerProxy = new FaultProxy(peer, plan.host);
    const controlProxy = new FaultProxy(control, plan.host);
    await peerProxy.listen(peerOut, plan.host);
    await controlProxy.listen(controlOut, plan.host);
    const advertised = plan.isProxied === false
      ? { peer, control }
      : { peer: peerOut, control: controlOut };
    const folder = mkdtempSync(join(tmpdir(), "sesamepond-"));
    const settingsFile = join(folder, "settings.jsonc");
    const logFile = join(folder, "daemon.log");
    const settings = {
      instance: plan.instance,
      domain: plan.domain,
      region: plan.region ?? "region-1",
      host: plan.host,
      sourceAddress: plan.host,
      ports: { ingress, peer, control, admin },
      advertised,
      store: { endpoints: [`127.0.0.1:${plan.storePort}`], timeoutMs: 1_000 },
      fleetKeys: FLEET_KEYS,
      gossip: {
        periodMs: 200,
        probeTimeoutMs: 300,
        suspicionMs: 1_200,
        bridgePeriodMs: 200,
      },
      claims: { partitions: 4, commitIntervalMs: 10 },
      leaseTtlS: 2,
      drainMs: 500,
      log: { file: logFile },
      ...plan.settings,
    };
    writeFileSync(settingsFile, JSON.stringify(settings));
    return new DaemonProcess(plan, {
      ports: { ingress, admin, control: advertised.control, peer },
      proxies: [peerProxy, controlProxy],
      settingsFile,
      logFile,
    });
  }

  /** Address for callers. */
  get ingress(): string {
    return `${this.plan.host}:${this.ports.ingress}`;
  }

  /** Address for operators and the backend server. */
  get admin(): string {
    return `${this.plan.host}:${this.ports.admin}`;
  }

  /** Control address that peers use. */
  get control(): string {
    return `${this.plan.host}:${this.ports.control}`;
  }

  /** The process. */
  get child(): Child {
    return this.#child;
  }

  /** Reads a page of the admin interface. */
  async fetchPage<T>(path: string): Promise<T> {
    const response = await request(`http://${this.admin}${path}`, {
      signal: AbortSignal.timeout(2_000),
    });
    return await response.body.json() as T;
  }

  /** Returns the daemon's current version, or 0 if it does not respond. */
  async fetchVersion(): Promise<number> {
    try {
      return (await this.fetchPage<{ version: number }>("/version")).version;
    } catch {
      return 0;
    }
  }

  /** Waits until the daemon has adopted a version or a newer one. */
  async waitForVersion(version: number, timeoutMs = 15_000): Promise<void> {
    await until(
      async () => await this.fetchVersion() >= version,
      `${this.plan.instance} adopts version ${version}`,
      timeoutMs,
    );
  }

  /** Returns the log lines of an event, across restarts. */
  loggedEvents(event: string): LoggedEvent[] {
    return readFileSync(this.#logFile, "utf8").split("\n")
      .map(parseLine)
      .filter((fields) => fields.event === event);
  }

  /** Returns the versions that the daemon adopted, across restarts. */
  adoptions(): Adoption[] {
    return this.loggedEvents("config-adopted").map((fields) => ({
      instance: this.plan.instance,
      version: Number(fields.version),
      digest: fields.digest ?? "",
      atMs: Date.parse(fields.time ?? ""),
    }));
  }

  /** Returns the calls that the daemon dispatched, across restarts. */
  dispatches(): Dispatch[] {
    return this.loggedEvents("route").map((fields) => ({
      backend: fields.backend ?? "",
      service: fields.service ?? "",
      atMs: Date.parse(fields.time ?? ""),
    }));
  }

  /** Starts a new process of the same instance. */
  restart(): void {
    this.#child = this.#spawn();
  }

  /** Kills the process and closes the proxies. */
  async close(): Promise<void> {
    if (!this.#child.hasExited) {
      this.#child.signal("SIGCONT");
      await this.#child.kill();
    }
    await Promise.all([this.peerProxy.close(), this.controlProxy.close()]);
  }

  #spawn(): Child {
    const { breakage } = this.plan;
    const program = breakage === undefined
      ? [distFile("daemon.mjs"), this.#settingsFile]
      : [distFile("fakes/broken_daemon_main.js"), this.#settingsFile, breakage];
    return new Child([...NODE_ARGS, ...program]);
  }
}

/** Fields of a log line. */
export type LoggedEvent = Readonly<Record<string, string | undefined>>;

function parseLine(line: string): LoggedEvent {
  const fields: Record<string, string> = {};
  for (const match of line.matchAll(/([\w-]+)=("(?:[^"\\]|\\.)*"|\S*)/g)) {
    const [, name, value] = match as unknown as [string, string, string];
    fields[name] = value.startsWith('"') ? JSON.parse(value) : value;
  }
  return fields;
}
