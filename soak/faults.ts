import { BackendFault } from "../platform/fakes/backend.ts";
import { type KvServer, StoreFault } from "../platform/fakes/kv_server.ts";
import type { Fault } from "../fakes/fault_proxy.ts";
import type { Random } from "../src/protocol/random.ts";
import type { SoakInstance } from "./instance.ts";
import {
  type Impairment,
  PlannedKind,
  type PlannedWork,
} from "./lost_requests.ts";

/** Longest time that a fault lasts, in ms. */
export const MAX_FAULT_MS = 2_500;
/** Longest time for which a daemon or a way is slow, in ms. */
export const MAX_SLOW_MS = 6_000;
/** Longest pause between two stops of a series, in ms. */
const MAX_STOP_GAP_MS = 1_200;
/** Delay of a slow way, in ms; a full link makes packets wait for half a second. */
const MIN_SLOW_DELAY_MS = 50;
const MAX_SLOW_DELAY_MS = 450;
/** Bandwidth of a slow way: that of the slowest links. */
const SLOW_BYTES_PER_S = 600_000;
/** Time from the start of a crashed daemon to its readiness, in ms. */
const START_MS = 1_000;

/** Which faults a run has. */
export enum FaultPlan {
  /** Work of operators, slow daemons and slow ways. */
  Planned = "planned",
  /** Besides, faults of the store and of backend servers, and of one daemon. */
  Mixed = "mixed",
  /** Faults of the store, ways, daemons and backend servers besides. */
  All = "all",
}

/** What faults act on, and where they are noted. */
export interface FaultContext {
  readonly store: KvServer;
  readonly instances: readonly SoakInstance[];
  readonly random: Random;
  readonly planned: PlannedWork[];
  readonly impairments: Impairment[];
  /** Writes the next version of the configuration. */
  readonly changeConfig: () => void;
  /** Puts a new life in the place of a backend server. */
  readonly replaceBackend: (instance: SoakInstance, drainMs: number) => void;
}

/** Begins a fault, which ends by itself after about the given time. */
export type FaultStarter = (lastsMs: number) => void;

/**
 * Returns the faults of a plan that may befall an instance.
 *
 * @param plan The plan.
 * @param instance The instance.
 * @param context What the faults act on.
 * @returns What begins each, by name.
 */
export function createFaults(
  plan: FaultPlan,
  instance: SoakInstance,
  context: FaultContext,
): Readonly<Record<string, FaultStarter>> {
  switch (plan) {
    case FaultPlan.Planned:
      return plannedFaults(instance, context);
    case FaultPlan.Mixed:
      return {
        ...plannedFaults(instance, context),
        ...storeFaults(instance, context),
        ...backendFaults(instance),
        // The others stay sound, so that what they lose counts.
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
  const note = (kind: PlannedKind, of?: SoakInstance) =>
    context.planned.push({
      kind,
      instance: of?.name,
      atMs: performance.now(),
    });
  const stop = (stopped: SoakInstance) => {
    if (stopped.isStopping) return;
    note(PlannedKind.Stop, stopped);
    void stopped.restart();
  };
  const slowMs = () => 1_000 + random.below(MAX_SLOW_MS - 1_000);
  return {
    "daemon-restart": () => stop(instance),
    "daemon-restart-series": () => {
      const stopped = random.sample(instances, 1 + instances.length / 2);
      let atMs = 0;
      for (const next of stopped) {
        setTimeout(() => stop(next), atMs);
        atMs += random.below(MAX_STOP_GAP_MS);
      }
    },
    "daemon-reload": () => {
      note(PlannedKind.Reload, instance);
      instance.reload();
    },
    "config-change": () => {
      note(PlannedKind.Config);
      context.changeConfig();
    },
    "backend-replaced": (lastsMs) => context.replaceBackend(instance, lastsMs),
    "daemon-slow": () => void instance.throttle(slowMs()),
    "peer-path-slow": () => {
      const delayMs = MIN_SLOW_DELAY_MS +
        random.below(MAX_SLOW_DELAY_MS - MIN_SLOW_DELAY_MS);
      instance.peerProxy.set({
        kind: "slow",
        delayMs,
        bytesPerS: SLOW_BYTES_PER_S,
      });
      setTimeout(() => instance.peerProxy.set({ kind: "none" }), slowMs());
    },
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
    "store-lapses": () => store.lapseLeases(),
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

/** Faults that excuse what the daemon, or who sends to it, loses. */
function daemonFaults(
  instance: SoakInstance,
  { impairments }: FaultContext,
): Record<string, FaultStarter> {
  const { peerProxy } = instance;
  const note = (lastsMs: number) => {
    const fromMs = performance.now();
    impairments.push({
      instance: instance.name,
      fromMs,
      untilMs: fromMs + lastsMs,
    });
  };
  const pathFault = (fault: Fault): FaultStarter => (lastsMs) => {
    note(lastsMs);
    peerProxy.set(fault);
    setTimeout(() => peerProxy.set({ kind: "none" }), lastsMs);
  };
  return {
    "daemon-crash": (lastsMs) => {
      note(lastsMs / 4 + START_MS);
      void instance.crash(lastsMs / 4);
    },
    "daemon-pause": (lastsMs) => {
      note(lastsMs);
      instance.pause();
      setTimeout(() => instance.resume(), lastsMs);
    },
    "peer-path-cut": pathFault({ kind: "cut" }),
    "peer-path-silent": pathFault({ kind: "silence" }),
    "peer-path-one-way": pathFault({ kind: "one-way" }),
    "peer-path-reset": pathFault({ kind: "reset" }),
  };
}
