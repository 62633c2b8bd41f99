import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { Rank, RANKS } from "../src/protocol/rank.ts";
import {
  call,
  type CallResponse,
  createIdempotencyKey,
  placeOrder,
} from "../testkit/caller.ts";
import {
  type CallRecord,
  checkAtMostOnce,
  checkNoInterruptions,
  checkNotRun,
  checkResponseBodies,
} from "../testkit/checkers.ts";
import { PRODUCTION_SETTINGS } from "../testkit/daemon_process.ts";
import { Fleet } from "../testkit/fleet.ts";
import { openLoop } from "../testkit/open_loop.ts";
import { round } from "../testkit/statistics.ts";
import {
  type Deployment,
  DEPLOYMENTS,
  domainsOf,
  sourceOf,
} from "./deployments.ts";
import { type Fault, FAULTS, isPaused, SERVICE_MS } from "./fault_scenarios.ts";

/** When the fault comes and goes, and the run ends, in ms. */
const FAULT_AT_MS = 2_000;
const HEAL_AT_MS = 5_000;
const RUN_MS = 8_000;
/** Calls a second of each rank, half of what the services can take. */
const LOAD_SHARE = 0.4;
/** Cut requests that are named in the result. */
const CUT_EXAMPLES = 3;
/** Windows by which the recovery is seen, in ms. */
const WINDOW_MS = 250;
/** Share of answers in time from which service counts as recovered. */
const RECOVERED_SHARE = 0.99;

/** A call with the failure domain that it entered by. */
interface Work extends CallRecord {
  readonly domain: string;
}

/** Measures service by rank while faults come and go. */
export async function benchFaults(): Promise<unknown> {
  const only = process.env.BENCH_FAULTS?.split(",");
  const results: Record<string, unknown> = {};
  for (const deployment of DEPLOYMENTS) {
    const fleet = await Fleet.start({
      network: 52,
      source: sourceOf(deployment),
      settings: { ...PRODUCTION_SETTINGS, drainMs: 4_000 },
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
      await fleet.waitForConvergence(60_000);
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
    wrongAnswers: checkResponseBodies(all).length,
    cut: fault.isPlanned ? checkNoInterruptions(all).length : undefined,
    cutExamples: fault.isPlanned
      ? checkNoInterruptions(all).slice(0, CUT_EXAMPLES)
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
  const key = createIdempotencyKey();
  let answer: CallResponse | undefined;
  let domain = "";
  for (let hop = 0; hop < 3; hop++) {
    // A caller that is stuck on an ingress that stands still is not the point.
    const up = fleet.instances.filter((one) => !isPaused(one));
    const { daemon } = up[(number + hop * 5) % up.length]!;
    domain = daemon.plan.domain;
    const timeoutMs = rank === Rank.Urgent ? 1_000 : 5_000;
    const options = { method: "POST", body: expected, timeoutMs };
    answer = rank === Rank.Standard
      ? await placeOrder(daemon.ingress, key, { ...options, path })
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
