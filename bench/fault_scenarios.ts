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

/** A temporary fault. */
export interface Fault {
  /** Whether it is planned work, which must not interrupt requests. */
  readonly isPlanned: boolean;
  /** Failure domain that the fault cuts off from the others. */
  readonly cutDomain?: string;
  readonly inject: (fleet: Fleet, deployment: Deployment) => Promise<void>;
  readonly heal: (fleet: Fleet, deployment: Deployment) => Promise<void>;
}

/** The instance whose daemon is paused. */
let pausedInstance: Instance | undefined;

/** Returns whether the daemon of an instance is paused. */
export function isPaused(instance: Instance): boolean {
  return instance === pausedInstance;
}

function targetInstance(
  fleet: Fleet,
  deployment: Deployment,
  index = 0,
): Instance {
  return fleet.ofService(deployment.services.urgent)[index]!;
}

function changeBehaviour(change: Partial<BackendBehaviour>, index = 0) {
  return async (fleet: Fleet, deployment: Deployment): Promise<void> => {
    const { backend } = targetInstance(fleet, deployment, index);
    await (backend as BackendProcess).setBehaviour(change);
  };
}

async function killBackend(fleet: Fleet, deployment: Deployment) {
  await targetInstance(fleet, deployment).backend!.close();
}

async function restartBackend(fleet: Fleet, deployment: Deployment) {
  const instance = targetInstance(fleet, deployment);
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

function doNothing(): Promise<void> {
  return Promise.resolve();
}

/** The faults by name. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  killBackend: {
    isPlanned: false,
    inject: killBackend,
    heal: restartBackend,
  },
  killDaemon: {
    isPlanned: false,
    inject: (fleet, deployment) =>
      targetInstance(fleet, deployment, 1).daemon.child.kill(),
    heal: (fleet, deployment) => {
      targetInstance(fleet, deployment, 1).daemon.restart();
      return Promise.resolve();
    },
  },
  pauseDaemon: {
    isPlanned: false,
    inject: (fleet, deployment) => {
      pausedInstance = targetInstance(fleet, deployment, 1);
      return signalDaemon(pausedInstance, "SIGSTOP");
    },
    heal: (fleet, deployment) => {
      pausedInstance = undefined;
      return signalDaemon(targetInstance(fleet, deployment, 1), "SIGCONT");
    },
  },
  silentConnections: {
    isPlanned: false,
    inject: (fleet) => {
      for (const { daemon } of fleet.instances) {
        daemon.peerProxy.set({ kind: "silence-open" });
      }
      return Promise.resolve();
    },
    heal: healAll,
  },
  lyingHealth: {
    isPlanned: false,
    inject: changeBehaviour({ isFailing: true, isHealthLying: true }),
    heal: changeBehaviour({ isFailing: false, isHealthLying: false }),
  },
  slowBackend: {
    isPlanned: false,
    inject: changeBehaviour({ serviceMs: 40 * SERVICE_MS }),
    heal: changeBehaviour({ serviceMs: SERVICE_MS }),
  },
  cutDomain: {
    isPlanned: false,
    cutDomain: "one",
    inject: (fleet) => {
      fleet.cutDomain("one");
      fleet.cutFromStore("one");
      return Promise.resolve();
    },
    heal: healAll,
  },
  killAndCut: {
    isPlanned: false,
    inject: async (fleet, deployment) => {
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
    inject: (fleet) => {
      fleet.cutDomain("one");
      return Promise.resolve();
    },
    heal: healAll,
  },
  stopDaemon: {
    isPlanned: true,
    inject: (fleet, deployment) =>
      signalDaemon(targetInstance(fleet, deployment, 2), "SIGTERM"),
    heal: async (fleet, deployment) => {
      const { daemon } = targetInstance(fleet, deployment, 2);
      await daemon.child.waitForExit();
      daemon.restart();
    },
  },
  drainBackend: {
    isPlanned: true,
    inject: (fleet, deployment) => {
      const { backend } = targetInstance(fleet, deployment);
      (backend as BackendProcess).child.signal("SIGTERM");
      return Promise.resolve();
    },
    heal: restartBackend,
  },
  none: { isPlanned: true, inject: doNothing, heal: doNothing },
};
