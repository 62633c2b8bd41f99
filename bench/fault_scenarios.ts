import type { BackendBehaviour } from "../fakes/backend_server.ts";
import type { BackendProcess } from "../testkit/backend_process.ts";
import {
  type Fleet,
  type Instance,
  startBackendProcess,
} from "../testkit/fleet.ts";
import type { Deployment } from "./deployments.ts";

/** Time that a backend server takes for a request, in ms. */
export const SERVICE_MS = 20;

/** A fault that comes and goes. */
export interface Fault {
  readonly isPlanned: boolean;
  /** Failure domain that the fault cuts off from the others. */
  readonly cutDomain?: string;
  readonly strike: (fleet: Fleet, deployment: Deployment) => Promise<void>;
  readonly heal: (fleet: Fleet, deployment: Deployment) => Promise<void>;
}

/** The daemon that stands still now. */
let paused: Instance | undefined;

/** Says whether the daemon of an instance stands still. */
export function isPaused(instance: Instance): boolean {
  return instance === paused;
}

function victim(fleet: Fleet, deployment: Deployment, index = 0): Instance {
  return fleet.ofService(deployment.services.urgent)[index]!;
}

function behave(change: Partial<BackendBehaviour>, index = 0) {
  return async (fleet: Fleet, deployment: Deployment): Promise<void> => {
    const { backend } = victim(fleet, deployment, index);
    await (backend as BackendProcess).setBehaviour(change);
  };
}

async function killBackend(fleet: Fleet, deployment: Deployment) {
  await victim(fleet, deployment).backend!.close();
}

async function restartBackend(fleet: Fleet, deployment: Deployment) {
  const instance = victim(fleet, deployment);
  instance.backend = await startBackendProcess(
    instance.daemon,
    deployment.services.urgent,
    { slots: deployment.slots, serviceMs: SERVICE_MS, coldStartMs: 1_000 },
  );
}

function healAll(fleet: Fleet): Promise<void> {
  fleet.heal();
  return Promise.resolve();
}

function signalDaemon(
  instance: Instance,
  signal: "SIGSTOP" | "SIGCONT" | "SIGTERM",
): Promise<void> {
  instance.daemon.child.signal(signal);
  return Promise.resolve();
}

function nothing(): Promise<void> {
  return Promise.resolve();
}

/** The faults by name. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  killBackend: {
    isPlanned: false,
    strike: killBackend,
    heal: restartBackend,
  },
  killDaemon: {
    isPlanned: false,
    strike: (fleet, deployment) =>
      victim(fleet, deployment, 1).daemon.child.kill(),
    heal: (fleet, deployment) => {
      victim(fleet, deployment, 1).daemon.restart();
      return Promise.resolve();
    },
  },
  pauseDaemon: {
    isPlanned: false,
    strike: (fleet, deployment) => {
      paused = victim(fleet, deployment, 1);
      return signalDaemon(paused, "SIGSTOP");
    },
    heal: (fleet, deployment) => {
      paused = undefined;
      return signalDaemon(victim(fleet, deployment, 1), "SIGCONT");
    },
  },
  silentConnections: {
    isPlanned: false,
    strike: (fleet) => {
      for (const { daemon } of fleet.instances) {
        daemon.peerProxy.set({ kind: "silence-open" });
      }
      return Promise.resolve();
    },
    heal: healAll,
  },
  lyingHealth: {
    isPlanned: false,
    strike: behave({ isFailing: true, isHealthLying: true }),
    heal: behave({ isFailing: false, isHealthLying: false }),
  },
  slowBackend: {
    isPlanned: false,
    strike: behave({ serviceMs: 40 * SERVICE_MS }),
    heal: behave({ serviceMs: SERVICE_MS }),
  },
  cutDomain: {
    isPlanned: false,
    cutDomain: "one",
    strike: (fleet) => {
      fleet.cutDomain("one");
      fleet.cutFromStore("one");
      return Promise.resolve();
    },
    heal: healAll,
  },
  killAndCut: {
    isPlanned: false,
    strike: async (fleet, deployment) => {
      await killBackend(fleet, deployment);
      fleet.cutDomain("three");
    },
    heal: async (fleet, deployment) => {
      fleet.heal();
      await restartBackend(fleet, deployment);
    },
  },
  cutFromPeers: {
    isPlanned: false,
    cutDomain: "one",
    strike: (fleet) => {
      fleet.cutDomain("one");
      return Promise.resolve();
    },
    heal: healAll,
  },
  stopDaemon: {
    isPlanned: true,
    strike: (fleet, deployment) =>
      signalDaemon(victim(fleet, deployment, 2), "SIGTERM"),
    heal: async (fleet, deployment) => {
      const { daemon } = victim(fleet, deployment, 2);
      await daemon.child.waitForExit();
      daemon.restart();
    },
  },
  drainBackend: {
    isPlanned: true,
    strike: (fleet, deployment) => {
      const { backend } = victim(fleet, deployment);
      (backend as BackendProcess).child.signal("SIGTERM");
      return Promise.resolve();
    },
    heal: restartBackend,
  },
  none: { isPlanned: true, strike: nothing, heal: nothing },
};
