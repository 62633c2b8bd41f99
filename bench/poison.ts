import { setTimeout as sleep } from "node:timers/promises";
import type { BackendProcess } from "../testkit/backend_process.ts";
import { call } from "../testkit/caller.ts";
import { PRODUCTION_SETTINGS } from "../testkit/daemon_process.ts";
import { Fleet, startBackendProcess } from "../testkit/fleet.ts";
import { round } from "../testkit/statistics.ts";
import {
  type Deployment,
  DEPLOYMENTS,
  domainsOf,
  sourceOf,
} from "./deployments.ts";

/** Different requests that crash a backend server. */
const POISONS = 6;
/** Times that a caller sends each of them. */
const RESENDS = 6;
/** Pause between two sendings, in ms. */
const RESEND_PAUSE_MS = 150;
/** Time between two calls of innocent callers, in ms. */
const INNOCENT_PERIOD_MS = 10;
/** Different innocent requests, so that some run at several crashes. */
const INNOCENT_REQUESTS = 50;

/** Measures the crashes that a poisonous request causes, and who else suffers. */
export async function benchPoison(): Promise<unknown> {
  const results: Record<string, unknown> = {};
  for (const deployment of DEPLOYMENTS) {
    results[deployment.name] = await measure(deployment);
  }
  return results;
}

async function measure(deployment: Deployment): Promise<unknown> {
  const service = deployment.services.urgent;
  const behaviour = { serviceMs: 20, slots: deployment.slots };
  const fleet = await Fleet.start({
    network: 53,
    source: sourceOf(deployment),
    settings: PRODUCTION_SETTINGS,
    isBackendInProcess: false,
    behaviour,
    domains: domainsOf(deployment),
  });
  let isOver = false;
  let crashes = 0;
  const servers = fleet.ofService(service);
  const revive = async () => {
    while (!isOver) {
      for (const server of servers) {
        const backend = server.backend as BackendProcess;
        if (!backend.child.hasExited) continue;
        crashes++;
        server.backend = await startBackendProcess(
          server.daemon,
          service,
          behaviour,
        );
      }
      await sleep(20);
    }
  };
  const reviving = revive();
  const innocent = workInnocently(fleet, service, () => isOver);
  const crashesByPoison: number[] = [];
  for (let poison = 0; poison < POISONS; poison++) {
    const before = crashes;
    for (let send = 0; send < RESENDS; send++) {
      const index = (poison + send) % fleet.instances.length;
      const { daemon } = fleet.instances[index]!;
      await call(daemon.ingress, `/${service}/crash-me/${poison}`);
      await sleep(RESEND_PAUSE_MS);
    }
    await sleep(500);
    crashesByPoison.push(crashes - before);
  }
  isOver = true;
  const answers = await innocent;
  await reviving;
  await fleet.close();
  const refused = answers.filter(({ reason }) => reason === "quarantined");
  const served = answers.filter(({ status }) => status === 200);
  return {
    poisons: POISONS,
    sendingsOfEach: RESENDS,
    crashesByPoison,
    innocent: answers.length,
    innocentServed: round(served.length / answers.length),
    innocentRefused: refused.length,
  };
}

async function workInnocently(
  fleet: Fleet,
  service: string,
  isOver: () => boolean,
) {
  const running = [];
  for (let number = 0; !isOver(); number++) {
    const { daemon } = fleet.instances[number % fleet.instances.length]!;
    const path = `/${service}/${number % INNOCENT_REQUESTS}`;
    running.push(call(daemon.ingress, path));
    await sleep(INNOCENT_PERIOD_MS);
  }
  return await Promise.all(running);
}
