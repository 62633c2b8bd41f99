import { BackendFault } from "../platform/fakes/backend.ts";
import { type KvServer, StoreFault } from "../platform/fakes/kv_server.ts";
import type { Fault } from "../fakes/fault_proxy.ts";
import type { Random } from "../src/protocol/random.ts";
import type { SoakInstance } from "./instance.ts";
import type { NamedLimit } from "./protections.ts";
import {
  type Impairment,
  PlannedKind,
  type PlannedWork,
} from "./lost_requests.ts";

/** Maximum duration of a fault, in ms. */
export const MAX_FAULT_MS = 2_500;
/** Maximum time for which a daemon or a path is slow, in ms. */
export const MAX_SLOW_MS = 6_000;
/** Maximum pause between two restarts of a series, in ms. */
const MAX_STOP_GAP_MS = 1_200;
/** Delay of a slow path, in ms; at a full link packets wait half a second. */
const MIN_SLOW_DELAY_MS = 50;
const MAX_SLOW_DELAY_MS = 450;
/** Bandwidth of a slow path: that of the slowest links. */
const SLOW_BYTES_PER_S = 600_000;
/** Range of the limits per second that backend servers name. */
const MIN_LIMIT_PER_S = 1;
const LIMIT_RANGE = 3;
/** Time for which a backend server names a limit, in ms. */
const LIMIT_MS = 10_000;
/** Time from the start of a crashed daemon to its readiness, in ms. */
const DAEMON_START_MS = 1_000;

/** Kinds of faults that a run injects. */
export enum FaultPlan {
  /** Planned work of operators, slow daemons and slow paths. */
  Planned = "planned",
  /** Requests under which backend servers end; restarts, freezes and cuts. */
  Fatal = "fatal",
  /** Limits that backend servers name; single restarts, freezes and cuts. */
  Limits = "limits",
  /** Also faults of the store, of backend servers and of one daemon. */
  Mixed = "mixed",
  /** Also faults of the store, of backend servers and of all daemons. */
  All = "all",
}

/** Targets of faults, and the records of them. */
export interface FaultContext {
  readonly store: KvServer;
  readonly instances: readonly SoakInstance[];
  readonly random: Random;
  readonly planned: PlannedWork[];
  readonly impairments: Impairment[];
  readonly limits: NamedLimit[];
  /** Sends a series of a request under which backend servers end. */
  readonly sendFatal: () => void;
  /** Writes the next version of the configuration. */
  readonly changeConfig: () => void;
  /** Drains a backend server and replaces it with a new process. */
  readonly replaceBackend: (instance: SoakInstance, drainMs: number) => void;
}

/** Starts a fault that ends by itself after about the given time, in ms. */
export type FaultStarter = (lastsMs: number) => void;

/**
 * Creates the faults of a plan that can be injected at an instance.
 *
 * @param plan The plan.
 * @param instance The instance.
 * @param context Targets of the faults.
 * @returns Starters of the faults, by name.
 */
export function createFaults(
  plan: FaultPlan,
  instance: SoakInstance,
  context: FaultContext,
): Readonly<Record<string, FaultStarter>> {
  switch (plan) {
    case FaultPlan.Planned:
      return plannedFaults(instance, context);
    case FaultPlan.Fatal:
      return fatalFaults(instance, context);
    case FaultPlan.Limits:
      return limitFaults(instance, context);
    case FaultPlan.Mixed:
      return {
        ...plannedFaults(instance, context),
        ...storeFaults(instance, context),
        ...backendFaults(instance),
        // The other daemons have no faults, so every request they lose counts.
        ...(instance === context.instances.at(-1)
          ? daemonFaults(instance, context)
          : {}),
      };
    case FaultPlan.All:
      return {
        ...plannedFaults(instance, context),
        ...storeFaults(instance, context),
        ...backendFaults(instance),
        ...daemonFaults(instance, context),
      };
  }
}

function plannedFaults(
  instance: SoakInstance,
  context: FaultContext,
): Record<string, FaultStarter> {
  const { random, instances } = context;
  const recordWork = (kind: PlannedKind, of?: SoakInstance) =>
    context.planned.push({
      kind,
      instance: of?.name,
      atMs: performance.now(),
    });
  const restartDaemon = (stopped: SoakInstance) => {
    if (stopped.isStopping) return;
    recordWork(PlannedKind.Stop, stopped);
    void stopped.restart();
  };
  const pickSlowMs = () => 1_000 + random.below(MAX_SLOW_MS - 1_000);
  return {
    "daemon-restart": () => restartDaemon(instance),
    "daemon-restart-series": () => {
      const stopped = random.sample(instances, 1 + instances.length / 2);
      let atMs = 0;
      for (const next of stopped) {
        setTimeout(() => restartDaemon(next), atMs);
        atMs += random.below(MAX_STOP_GAP_MS);
      }
    },
    "daemon-reload": () => {
      recordWork(PlannedKind.Reload, instance);
      instance.reload();
    },
    "config-change": () => {
      recordWork(PlannedKind.Config);
      context.changeConfig();
    },
    "backend-replaced": (lastsMs) => context.replaceBackend(instance, lastsMs),
    "daemon-slow": () => void instance.throttle(pickSlowMs()),
    "peer-path-slow": () => {
      const delayMs = MIN_SLOW_DELAY_MS +
        random.below(MAX_SLOW_DELAY_MS - MIN_SLOW_DELAY_MS);
      instance.peerProxy.set({
        kind: "slow",
        delayMs,
        bytesPerS: SLOW_BYTES_PER_S,
      });
      setTimeout(() => instance.peerProxy.set({ kind: "none" }), pickSlowMs());
    },
  };
}

function fatalFaults(
  instance: SoakInstance,
  context: FaultContext,
): Record<string, FaultStarter> {
  const planned = plannedFaults(instance, context);
  const daemon = daemonFaults(instance, context);
  const cutStore = storeFaults(instance, context)["store-path-cut"]!;
  return {
    "request-fatal": context.sendFatal,
    "backend-resets": backendFaults(instance)["backend-resets"]!,
    "daemon-restart": planned["daemon-restart"]!,
    "daemon-restart-series": planned["daemon-restart-series"]!,
    "config-change": planned["config-change"]!,
    "backend-replaced": planned["backend-replaced"]!,
    "daemon-crash": daemon["daemon-crash"]!,
    "daemon-pause": daemon["daemon-pause"]!,
    "peer-path-cut": daemon["peer-path-cut"]!,
    "store-path-cut": (lastsMs) => {
      const fromMs = performance.now();
      const untilMs = fromMs + lastsMs;
      context.impairments.push({ instance: instance.name, fromMs, untilMs });
      cutStore(lastsMs);
    },
  };
}

/** Few at a time, as each one excuses the later requests of its daemon. */
function limitFaults(
  instance: SoakInstance,
  context: FaultContext,
): Record<string, FaultStarter> {
  const planned = plannedFaults(instance, context);
  const daemon = daemonFaults(instance, context);
  return {
    "backend-limited": () => {
      const { backend } = instance;
      if (backend.limitPerS !== undefined) return;
      backend.limitPerS = MIN_LIMIT_PER_S + context.random.below(LIMIT_RANGE);
      const limit = {
        backendId: backend.id,
        limitPerS: backend.limitPerS,
        fromMs: performance.now(),
        untilMs: Infinity,
      };
      context.limits.push(limit);
      setTimeout(() => {
        backend.limitPerS = undefined;
        limit.untilMs = performance.now();
      }, LIMIT_MS);
    },
    "backend-resets": backendFaults(instance)["backend-resets"]!,
    "daemon-restart": planned["daemon-restart"]!,
    "daemon-pause": daemon["daemon-pause"]!,
    "peer-path-cut": daemon["peer-path-cut"]!,
    "store-path-cut": storeFaults(instance, context)["store-path-cut"]!,
    "config-change": planned["config-change"]!,
  };
}

function storeFaults(
  { storeProxy }: SoakInstance,
  { store }: FaultContext,
): Record<string, FaultStarter> {
  const pathFault = (fault: Fault): FaultStarter => (lastsMs) => {
    storeProxy.set(fault);
    setTimeout(() => storeProxy.set({ kind: "none" }), lastsMs);
  };
  const storeFault = (fault: StoreFault): FaultStarter => (lastsMs) => {
    store.fault = fault;
    setTimeout(() => store.fault = StoreFault.None, lastsMs);
  };
  return {
    "store-path-cut": pathFault({ kind: "cut" }),
    "store-path-silent": pathFault({ kind: "silence" }),
    "store-path-one-way": pathFault({ kind: "one-way" }),
    "store-path-slow": pathFault({ kind: "delay", delayMs: 200 }),
    "store-busy": storeFault(StoreFault.Busy),
    "store-silent": storeFault(StoreFault.Silent),
    "store-loses-answers": storeFault(StoreFault.LosesAnswers),
    "store-lapses": () => store.expireLeases(),
    "store-compacts": () => store.compact(),
  };
}

function backendFaults(instance: SoakInstance): Record<string, FaultStarter> {
  const backendFault = (fault: BackendFault): FaultStarter => (lastsMs) => {
    const { backend } = instance;
    backend.fault = fault;
    setTimeout(() => backend.fault = BackendFault.None, lastsMs);
  };
  return {
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
  };
}

/** Faults that excuse requests lost by the daemon or by its peers. */
function daemonFaults(
  instance: SoakInstance,
  { impairments }: FaultContext,
): Record<string, FaultStarter> {
  const { peerProxy } = instance;
  const recordImpairment = (lastsMs: number) => {
    const fromMs = performance.now();
    impairments.push({
      instance: instance.name,
      fromMs,
      untilMs: fromMs + lastsMs,
    });
  };
  const pathFault = (fault: Fault): FaultStarter => (lastsMs) => {
    recordImpairment(lastsMs);
    peerProxy.set(fault);
    setTimeout(() => peerProxy.set({ kind: "none" }), lastsMs);
  };
  return {
    "daemon-crash": (lastsMs) => {
      recordImpairment(lastsMs / 4 + DAEMON_START_MS);
      void instance.crash(lastsMs / 4);
    },
    "daemon-pause": (lastsMs) => {
      recordImpairment(lastsMs);
      instance.pause();
      setTimeout(() => instance.resume(), lastsMs);
    },
    "peer-path-cut": pathFault({ kind: "cut" }),
    "peer-path-silent": pathFault({ kind: "silence" }),
    "peer-path-one-way": pathFault({ kind: "one-way" }),
    "peer-path-reset": pathFault({ kind: "reset" }),
  };
}
