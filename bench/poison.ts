import { setTimeout as sleep } from "node:timers/promises";
import type { BackendProcess } from "../testkit/backend_process.ts";
import { call } from "../testkit/caller.ts";
import { PRODUCTION_SETTINGS } from "../testkit/daemon_process.ts";
import { Fleet, startBackendProcess } from "../testkit/fleet.ts";
import { round } from "../testkit/statistics.ts";
import {
  createSource,
  type Deployment,
  DEPLOYMENTS,
  planDomains,
} from "./deployments.ts";

/** Number of different requests that crash a backend server. */
const POISONS = 6;
/** Number of times that a caller sends each of them. */
const SENDS_PER_POISON = 6;
/** Pause after each of these requests, in ms. */
const SEND_PAUSE_MS = 150;
/** Period of the innocent requests, in ms. */
const INNOCENT_PERIOD_MS = 10;
/** Number of different innocent requests; some run during several crashes. */
const INNOCENT_REQUESTS = 50;

/** Measures crashes by poisonous requests and their effect on other calls. */
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
    source: createSource(deployment),
    settings: PRODUCTION_SETTINGS,
    isBackendInProcess: false,
    behaviour,
    domains: planDomains(deployment),
  });
  let isOver = false;
  let crashes = 0;
  const servers = fleet.ofService(service);
  const restartCrashed = async () => {
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
  const restarting = restartCrashed();
  const innocentCalls = sendInnocentCalls(fleet, service, () => isOver);
  const crashesByPoison: number[] = [];
  for (let poison = 0; poison < POISONS; poison++) {
    const before = crashes;
    for (let send = 0; send < SENDS_PER_POISON; send++) {
      const index = (poison + send) % fleet.instances.length;
      const { daemon } = fleet.instances[index]!;
      await call(daemon.ingress, `/${service}/crash-me/${poison}`);
      await sleep(SEND_PAUSE_MS);
    }
    await sleep(500);
    crashesByPoison.push(crashes - before);
  }
  isOver = true;
  const responses = await innocentCalls;
  await restarting;
  await fleet.close();
  const refused = responses.filter(({ reason }) => reason === "quarantined");
  const served = responses.filter(({ status }) => status === 200);
  return {
    poisons: POISONS,
    sendingsOfEach: SENDS_PER_POISON,
    crashesByPoison,
    innocent: responses.length,
    innocentServed: round(served.length / responses.length),
    innocentRefused: refused.length,
  };
}

async function sendInnocentCalls(
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
