import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import type { BackendBehaviour } from "../fakes/backend_server.ts";
import { Rank, RANKS } from "../src/protocol/rank.ts";
import type { BackendProcess } from "../testkit/backend_process.ts";
import { type Answer, call, newKey, order } from "../testkit/caller.ts";
import {
  type CallRecord,
  checkAtMostOnce,
  checkNothingCut,
  checkNotRun,
  checkOwnAnswers,
} from "../testkit/checkers.ts";
import { Fleet, type Instance, startBackendProcess } from "../testkit/fleet.ts";
import { openLoop } from "../testkit/open_loop.ts";
import { round } from "../testkit/statistics.ts";
import {
  type Deployment,
  DEPLOYMENTS,
  domainsOf,
  sourceOf,
} from "./deployments.ts";

/** When the fault comes and goes, and the run ends, in ms. */
const FAULT_AT_MS = 2_000;
const HEAL_AT_MS = 5_000;
const RUN_MS = 8_000;
/** Time that a backend server takes for a request, in ms. */
const SERVICE_MS = 20;
/** Calls a second of each rank, half of what the services can take. */
const LOAD_SHARE = 0.4;
/** Cut requests that are named in the result. */
const CUT_EXAMPLES = 3;
/** Windows by which the recovery is seen, in ms. */
const WINDOW_MS = 250;
/** Share of answers in time from which service counts as recovered. */
const RECOVERED_SHARE = 0.99;

interface Fault {
  readonly isPlanned: boolean;
  /** Failure domain that the fault cuts off from the others. */
  readonly cutDomain?: string;
  readonly strike: (fleet: Fleet, deployment: Deployment) => Promise<void>;
  readonly heal: (fleet: Fleet, deployment: Deployment) => Promise<void>;
}

/** A call with the failure domain that it entered by. */
interface Work extends CallRecord {
  readonly domain: string;
}

/** The daemon that stands still now. */
let paused: Instance | undefined;

function victim(fleet: Fleet, deployment: Deployment, index = 0): Instance {
  return fleet.ofService(deployment.services.urgent)[index]!;
}

function behave(change: Partial<BackendBehaviour>, index = 0) {
  return async (fleet: Fleet, deployment: Deployment): Promise<void> => {
    const { backend } = victim(fleet, deployment, index);
    await (backend as BackendProcess).behave(change);
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

const FAULTS: Readonly<Record<string, Fault>> = {
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
      await daemon.child.exited();
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

/** Measures service by rank while faults come and go. */
export async function benchFaults(): Promise<unknown> {
  const only = process.env.BENCH_FAULTS?.split(",");
  const results: Record<string, unknown> = {};
  for (const deployment of DEPLOYMENTS) {
    const fleet = await Fleet.start({
      network: 52,
      source: sourceOf(deployment),
      settings: { gossip: {}, claims: {}, leaseTtlS: 4, drainMs: 4_000 },
      isBackendInProcess: false,
      behaviour: { serviceMs: SERVICE_MS, slots: deployment.slots },
      domains: domainsOf(deployment),
    });
    const ofDeployment: Record<string, unknown> = {};
    for (const [name, fault] of Object.entries(FAULTS)) {
      if (only !== undefined && !only.includes(name)) continue;
      ofDeployment[name] = await measure(fleet, deployment, fault);
      process.stderr.write(
        `${deployment.name} ${name} ${JSON.stringify(ofDeployment[name])}\n`,
      );
      await fleet.settled(60_000);
    }
    results[deployment.name] = ofDeployment;
    await fleet.close();
  }
  return results;
}

async function measure(
  fleet: Fleet,
  deployment: Deployment,
  fault: Fault,
): Promise<unknown> {
  const startMs = Date.now();
  const before = await fleet.executions();
  const working = Promise.all(
    RANKS.map((rank) => work(fleet, deployment, rank)),
  );
  await sleep(FAULT_AT_MS);
  const struckAtMs = Date.now();
  await fault.strike(fleet, deployment);
  await sleep(Math.max(0, startMs + HEAL_AT_MS - Date.now()));
  await fault.heal(fleet, deployment);
  const records = await working;
  const after = await fleet.executions();
  const all = records.flat();
  const ranks = Object.fromEntries(
    RANKS.map((rank, index) => [
      rank,
      judge(records[index]!, struckAtMs, fault.cutDomain),
    ]),
  );
  return {
    ...ranks,
    doubled: checkAtMostOnce([...before, ...after].filter(unique())).length,
    falseNotRun: checkNotRun(all, after).length,
    wrongAnswers: checkOwnAnswers(all).length,
    cut: fault.isPlanned ? checkNothingCut(all).length : undefined,
    cutExamples: fault.isPlanned
      ? checkNothingCut(all).slice(0, CUT_EXAMPLES)
      : undefined,
  };
}

function unique(): (execution: { id: string }) => boolean {
  const seen = new Set<string>();
  return ({ id }) => !seen.has(id) && seen.add(id) !== undefined;
}

/** Sends the calls of a rank through all daemons that are up. */
async function work(
  fleet: Fleet,
  deployment: Deployment,
  rank: Rank,
): Promise<Work[]> {
  const service = deployment.services[rank];
  const capacity = deployment.servers[rank] * deployment.slots *
    1_000 / SERVICE_MS;
  const plan = {
    ratePerSecond: Math.min(100, capacity * LOAD_SHARE),
    durationMs: RUN_MS,
  };
  return await openLoop(plan, async (number) => {
    const sentAtMs = Date.now();
    const path = `/${service}/echo/${number}`;
    return { path, sentAtMs, ...await attempt(fleet, rank, path, number) };
  });
}

/** As callers do: a connection that is refused leads to another daemon. */
async function attempt(
  fleet: Fleet,
  rank: Rank,
  path: string,
  number: number,
): Promise<Pick<Work, "answer" | "expected" | "domain">> {
  const expected = `work ${number}`;
  const key = newKey();
  let answer: Answer | undefined;
  let domain = "";
  for (let hop = 0; hop < 3; hop++) {
    // A caller that is stuck on an ingress that stands still is not the point.
    const up = fleet.instances.filter((one) => one !== paused);
    const { daemon } = up[(number + hop * 5) % up.length]!;
    domain = daemon.plan.domain;
    const timeoutMs = rank === Rank.Urgent ? 1_000 : 5_000;
    const options = { method: "POST", body: expected, timeoutMs };
    answer = rank === Rank.Standard
      ? await order(daemon.ingress, key, { ...options, path })
      : await call(daemon.ingress, path, options);
    if (!answer.reason.includes("ECONNREFUSED")) break;
  }
  return { answer: answer!, expected, domain };
}

function judge(
  records: readonly Work[],
  struckAtMs: number,
  cutDomain: string | undefined,
) {
  const ofAll = judgePart(records, struckAtMs);
  if (cutDomain === undefined) return ofAll;
  const isInside = ({ domain }: Work) => domain === cutDomain;
  const outside = records.filter((one) => !isInside(one));
  return {
    ...ofAll,
    inside: judgePart(records.filter(isInside), struckAtMs),
    outside: judgePart(outside, struckAtMs),
  };
}

function judgePart(records: readonly Work[], struckAtMs: number) {
  const served = records.filter(({ answer }) => answer.status === 200);
  return {
    sent: records.length,
    served: round(served.length / records.length),
    recoveryMs: recoveryMs(records, struckAtMs),
  };
}

/** Time from the fault to the end of the last window that fell short. */
function recoveryMs(records: readonly CallRecord[], struckAtMs: number) {
  let last = 0;
  for (let fromMs = 0; struckAtMs + fromMs < Infinity; fromMs += WINDOW_MS) {
    const inWindow = records.filter(({ sentAtMs }) =>
      sentAtMs >= struckAtMs + fromMs &&
      sentAtMs < struckAtMs + fromMs + WINDOW_MS
    );
    if (inWindow.length === 0) break;
    const served = inWindow.filter(({ answer }) => answer.status === 200);
    if (served.length / inWindow.length < RECOVERED_SHARE) {
      last = fromMs + WINDOW_MS;
    }
  }
  return last;
}
