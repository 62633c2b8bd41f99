import { randomUUID } from "node:crypto";
import { acceptChange } from "../src/coordination/config/accept_change.ts";
import { readHead } from "../src/coordination/config/version_records.ts";
import type { HeadRecord } from "../src/coordination/config/head_record.ts";
import {
  type BackendBehaviour,
  BackendServer,
  type Execution,
} from "../fakes/backend_server.ts";
import { BackendProcess } from "./backend_process.ts";
import { FaultProxy } from "../fakes/fault_proxy.ts";
import { StoreServer } from "../fakes/store_server.ts";
import { type ConfigSource, ResourceSet } from "../src/state/resource_set.ts";
import { EtcdStore } from "../src/transport/store/etcd_store.ts";
import {
  type Adoption,
  checkAcceptedDigests,
  checkVersionsMonotonic,
  type Dispatch,
} from "./checkers.ts";
import { DaemonProcess } from "./daemon_process.ts";
import { until } from "./until.ts";

/** Longest time for a daemon to start among many, in ms. */
const START_TIMEOUT_MS = 90_000;

/** One instance of a fleet: a daemon and its backend server, if any. */
export interface Instance {
  readonly daemon: DaemonProcess;
  /** Service of the backend server; "" for none. */
  readonly service: string;
  backend: BackendServer | BackendProcess | undefined;
}

/** Instances of one failure domain. */
export interface DomainPlan {
  readonly name: string;
  readonly region?: string;
  /** Service of each instance; "" for none. */
  readonly services: readonly string[];
}

/** Structure and settings of a {@linkcode Fleet}. */
export interface FleetPlan {
  readonly domains: readonly DomainPlan[];
  readonly source: ConfigSource;
  /** Guarantee that all daemons violate, for negative controls. */
  readonly breakage?: string;
  /** Further daemon settings. */
  readonly settings?: Readonly<Record<string, unknown>>;
  readonly behaviour?: Partial<BackendBehaviour>;
  /** Whether backend servers run in this process. @default {true} */
  readonly isBackendInProcess?: boolean;
  /** Whether daemons reach each other through fault proxies. @default {true} */
  readonly isProxied?: boolean;
  /** Second byte of the loopback addresses; different for each fleet. */
  readonly network?: number;
}

/**
 * A fleet of real daemon processes with a stand-in of the store.
 *
 * @example
 * ```ts ignore
 * const fleet = await Fleet.start(plan);
 * try { await fleet.accept(source); } finally { await fleet.close(); }
 * ```
 */
export class Fleet {
  readonly store = new StoreServer();
  readonly instances: Instance[] = [];
  readonly #plan: FleetPlan;
  #storeProxy: FaultProxy | undefined;
  #proxiedStorePort = 0;
  #directStorePort = 0;
  #operatorStore: EtcdStore | undefined;

  private constructor(plan: FleetPlan) {
    this.#plan = plan;
  }

  /** Starts a fleet and waits until it has converged on the first version. */
  static async start(plan: FleetPlan): Promise<Fleet> {
    const fleet = new Fleet(plan);
    const port = await fleet.store.listen(0);
    fleet.#operatorStore = new EtcdStore([`127.0.0.1:${port}`], {
      callsPerSecond: 1_000,
    });
    fleet.#directStorePort = port;
    fleet.#storeProxy = new FaultProxy(port);
    fleet.#proxiedStorePort = await fleet.#storeProxy.listen();
    await fleet.accept(plan.source);
    await Promise.all(
      plan.domains.flatMap((domain, index) =>
        domain.services.map((service, number) =>
          fleet.#add({ domain, index, number, service })
        )
      ),
    );
    await fleet.waitForConvergence(START_TIMEOUT_MS);
    return fleet;
  }

  /** Store client of the operator, without a fault proxy. */
  get operatorStore(): EtcdStore {
    return this.#operatorStore!;
  }

  /** Address of the store without a fault proxy. */
  get storeAddress(): string {
    return `127.0.0.1:${this.#directStorePort}`;
  }

  /** Fault proxy between the daemons and the store. */
  get storeProxy(): FaultProxy {
    return this.#storeProxy!;
  }

  /** Returns the instances of a domain. */
  inDomain(name: string): Instance[] {
    return this.instances.filter((one) => one.daemon.plan.domain === name);
  }

  /** Returns the instances of a service. */
  ofService(name: string): Instance[] {
    return this.instances.filter((one) =>
      one.daemon.plan.instance.includes(`-${name}-`)
    );
  }

  /** Digests of the versions that were accepted. */
  readonly accepted = new Map<number, string>();

  /** Returns the versions that all daemons adopted, across restarts. */
  adoptions(): Adoption[] {
    return this.instances.flatMap(({ daemon }) => daemon.adoptions());
  }

  /** Returns the calls that all daemons dispatched, across restarts. */
  dispatches(): Dispatch[] {
    return this.instances.flatMap(({ daemon }) => daemon.dispatches());
  }

  /** Returns the violations of the guarantees about versions so far. */
  checkVersions(): string[] {
    const adoptions = this.adoptions();
    return [
      ...checkVersionsMonotonic(adoptions),
      ...checkAcceptedDigests(adoptions, this.accepted),
    ];
  }

  /** Accepts a configuration as an operator. */
  async accept(source: ConfigSource): Promise<HeadRecord> {
    const head = await readHead(this.operatorStore);
    if (head.isErr()) throw head.error;
    const accepted = await acceptChange(this.operatorStore, {
      resources: ResourceSet.fromSource(source),
      author: "test",
      note: "",
      acceptanceId: randomUUID(),
      acceptedAtMs: Date.now(),
      expectedHead: head.value,
    });
    if (accepted.isErr()) throw accepted.error;
    this.accepted.set(accepted.value.version, accepted.value.digest);
    return accepted.value;
  }

  /** Waits until all daemons have adopted a version or a newer one. */
  async waitForVersion(version: number, timeoutMs = 15_000): Promise<void> {
    await Promise.all(
      this.instances.map((one) =>
        one.daemon.waitForVersion(version, timeoutMs)
      ),
    );
  }

  /** Waits until all daemons know all members and ready backend servers. */
  async waitForConvergence(timeoutMs = 30_000): Promise<void> {
    const readyCount = this.instances.filter((one) => one.backend).length;
    await Promise.all(this.instances.map(({ daemon }) =>
      until(
        async () => {
          const members = await fetchLiveMembers(daemon);
          return members.length === this.instances.length &&
            members.filter((one) => one.backendReady).length === readyCount &&
            (this.#plan.breakage === "versions" ||
              await daemon.fetchVersion() > 0);
        },
        `${daemon.plan.instance} knows all members`,
        timeoutMs,
      )
    ));
  }

  /** Cuts a domain off from all other domains, in both directions. */
  cutDomain(name: string): void {
    for (const { daemon } of this.instances) {
      const isInside = daemon.plan.domain === name;
      const matches = (address: string) =>
        this.#isInDomain(address, name) !== isInside;
      daemon.peerProxy.set({ kind: "cut" }, matches);
      daemon.controlProxy.set({ kind: "cut" }, matches);
    }
  }

  /** Cuts a domain off from the store. */
  cutFromStore(name: string): void {
    this.storeProxy.set(
      { kind: "cut" },
      (source) => this.#isInDomain(source, name),
    );
  }

  /** Returns the requests that the backend servers ran. */
  async executions(): Promise<Execution[]> {
    const lists = await Promise.all(
      this.instances.map(async ({ backend }) => await backend?.executions()),
    );
    return lists.flatMap((list) => list ?? []);
  }

  /** Ends all network faults. */
  heal(): void {
    this.storeProxy.set({ kind: "none" });
    for (const { daemon } of this.instances) {
      daemon.peerProxy.set({ kind: "none" });
      daemon.controlProxy.set({ kind: "none" });
    }
  }

  /**
   * Ends all faults and restarts the processes that have exited, so that a
   * failed test does not make later tests fail.
   */
  async recover(): Promise<void> {
    this.heal();
    this.store.comeBack();
    const restarts = this.instances.map((one) => this.#restart(one));
    if ((await Promise.all(restarts)).includes(true)) {
      await this.waitForConvergence(START_TIMEOUT_MS);
    }
  }

  /** Stops all processes, proxies and stand-ins. */
  async close(): Promise<void> {
    await Promise.all(this.instances.map(async ({ daemon, backend }) => {
      await daemon.close();
      await backend?.close();
    }));
    await this.#operatorStore?.close();
    await this.#storeProxy?.close();
    await this.store.close();
  }

  async #add(parts: {
    domain: DomainPlan;
    index: number;
    number: number;
    service: string;
  }): Promise<void> {
    const { domain, index, number, service } = parts;
    const network = this.#plan.network ?? 1;
    const daemon = await DaemonProcess.start({
      instance: `${domain.name}-${service || "none"}-${number}`,
      domain: domain.name,
      ...(domain.region === undefined ? {} : { region: domain.region }),
      host: `127.${network}.${index + 1}.${number + 1}`,
      storePort: this.#proxiedStorePort,
      settings: this.#plan.settings ?? {},
      isProxied: this.#plan.isProxied ?? true,
      ...(this.#plan.breakage === undefined
        ? {}
        : { breakage: this.#plan.breakage }),
    });
    const instance: Instance = { daemon, service, backend: undefined };
    this.instances.push(instance);
    // With this breakage the daemon reports version 0 throughout.
    if (this.#plan.breakage !== "versions") {
      await daemon.waitForVersion(1, START_TIMEOUT_MS);
    }
    if (service !== "") {
      const start = this.#plan.isBackendInProcess === false
        ? startBackendProcess
        : startBackend;
      instance.backend = await start(daemon, service, this.#plan.behaviour);
    }
  }

  /** Restarts the exited processes; returns whether there were any. */
  async #restart(instance: Instance): Promise<boolean> {
    const { daemon, backend, service } = instance;
    const isDaemonGone = daemon.child.hasExited;
    if (isDaemonGone) daemon.restart();
    else daemon.child.signal("SIGCONT");
    if (!(backend instanceof BackendProcess) || !backend.child.hasExited) {
      return isDaemonGone;
    }
    await daemon.waitForVersion(1, START_TIMEOUT_MS);
    instance.backend = await startBackendProcess(
      daemon,
      service,
      this.#plan.behaviour,
    );
    return true;
  }

  #isInDomain(address: string, domain: string): boolean {
    const host = address.replace(/^::ffff:/, "");
    return this.inDomain(domain).some((one) => one.daemon.plan.host === host);
  }
}

/** A member as the admin interface returns it. */
export interface MemberInfo {
  readonly id: string;
  readonly instance: string;
  readonly state: string;
  readonly service: string;
  readonly backendReady: boolean;
  readonly leasedSlots: readonly string[];
  readonly domain: string;
}

/** Returns the members that a daemon knows, except those left or dead. */
export async function fetchLiveMembers(
  daemon: DaemonProcess,
): Promise<MemberInfo[]> {
  try {
    const { members } = await daemon.fetchPage<{ members: MemberInfo[] }>(
      "/members",
    );
    return members.filter((one) =>
      one.state !== "left" && one.state !== "dead"
    );
  } catch {
    return [];
  }
}

/** Returns the service of each member that a daemon knows, by id. */
export async function fetchServicesById(
  daemon: DaemonProcess,
): Promise<Map<string, string>> {
  const { members } = await daemon.fetchPage<{ members: MemberInfo[] }>(
    "/members",
  );
  return new Map(members.map(({ id, service }) => [id, service]));
}

/** Starts the stand-in of a backend server as a process beside a daemon. */
export function startBackendProcess(
  daemon: DaemonProcess,
  service: string,
  behaviour: Partial<BackendBehaviour> = {},
): Promise<BackendProcess> {
  return BackendProcess.start(service, daemon.admin, {
    slots: 8,
    ...behaviour,
  });
}

/** Starts the stand-in of a backend server in this process. */
export async function startBackend(
  daemon: DaemonProcess,
  service: string,
  behaviour: Partial<BackendBehaviour> = {},
): Promise<BackendServer> {
  const backend = new BackendServer({
    service,
    daemon: daemon.admin,
    behaviour: { slots: 8, ...behaviour },
  });
  await backend.listen(0);
  return backend;
}
