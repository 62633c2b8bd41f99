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
  createSource,
  type Deployment,
  DEPLOYMENTS,
  planDomains,
} from "./deployments.ts";
import { type Fault, FAULTS, isPaused, SERVICE_MS } from "./fault_scenarios.ts";

/** Start and end of the fault and end of the run, in ms from its start. */
const FAULT_AT_MS = 2_000;
const HEAL_AT_MS = 5_000;
const RUN_MS = 8_000;
/** Load of each rank as a share of its service's capacity. */
const LOAD_SHARE = 0.4;
/** Maximum number of interrupted requests listed in the result. */
const CUT_EXAMPLES = 3;
/** Length of the windows that determine the recovery time, in ms. */
const WINDOW_MS = 250;
/** Share of successful calls from which a window counts as recovered. */
const RECOVERED_SHARE = 0.99;

/** A call with the failure domain of its ingress daemon. */
interface CallWithDomain extends CallRecord {
  readonly domain: string;
}

/** Measures the served calls and the recovery time of each rank by fault. */
export async function benchFaults(): Promise<unknown> {
  const selected = process.env.BENCH_FAULTS?.split(",");
  const results: Record<string, unknown> = {};
  for (const deployment of DEPLOYMENTS) {
    const fleet = await Fleet.start({
      network: 52,
      source: createSource(deployment),
      settings: { ...PRODUCTION_SETTINGS, drainMs: 4_000 },
      isBackendInProcess: false,
      behaviour: { serviceMs: SERVICE_MS, slots: deployment.slots },
      domains: planDomains(deployment),
    });
    const deploymentResults: Record<string, unknown> = {};
    for (const [name, fault] of Object.entries(FAULTS)) {
      if (selected !== undefined && !selected.includes(name)) continue;
      deploymentResults[name] = await measure(fleet, deployment, fault);
      process.stderr.write(
        `${deployment.name} ${name} ${
          JSON.stringify(deploymentResults[name])
        }\n`,
      );
      await fleet.waitForConvergence(60_000);
    }
    results[deployment.name] = deploymentResults;
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
  const calls = Promise.all(
    RANKS.map((rank) => sendCalls(fleet, deployment, rank)),
  );
  await sleep(FAULT_AT_MS);
  const faultAtMs = Date.now();
  await fault.inject(fleet, deployment);
  await sleep(Math.max(0, startMs + HEAL_AT_MS - Date.now()));
  await fault.heal(fleet, deployment);
  const records = await calls;
  const after = await fleet.executions();
  const allRecords = records.flat();
  const ranks = Object.fromEntries(
    RANKS.map((rank, index) => [
      rank,
      summarizeRecords(records[index]!, faultAtMs, fault.cutDomain),
    ]),
  );
  return {
    ...ranks,
    doubled: checkAtMostOnce([...before, ...after].filter(createUniqueFilter()))
      .length,
    falseNotRun: checkNotRun(allRecords, after).length,
    wrongAnswers: checkResponseBodies(allRecords).length,
    cut: fault.isPlanned ? checkNoInterruptions(allRecords).length : undefined,
    cutExamples: fault.isPlanned
      ? checkNoInterruptions(allRecords).slice(0, CUT_EXAMPLES)
      : undefined,
  };
}

function createUniqueFilter(): (execution: { id: string }) => boolean {
  const seen = new Set<string>();
  return ({ id }) => !seen.has(id) && seen.add(id) !== undefined;
}

/** Sends the calls of a rank through all daemons that are not paused. */
async function sendCalls(
  fleet: Fleet,
  deployment: Deployment,
  rank: Rank,
): Promise<CallWithDomain[]> {
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
    return { path, sentAtMs, ...await sendCall(fleet, rank, path, number) };
  });
}

/** Sends a call; like a real caller, retries elsewhere on ECONNREFUSED. */
async function sendCall(
  fleet: Fleet,
  rank: Rank,
  path: string,
  number: number,
): Promise<Pick<CallWithDomain, "answer" | "expected" | "domain">> {
  const expected = `work ${number}`;
  const key = createIdempotencyKey();
  let response: CallResponse | undefined;
  let domain = "";
  for (let attempt = 0; attempt < 3; attempt++) {
    // A call to a paused daemon would hang.
    const running = fleet.instances.filter((instance) => !isPaused(instance));
    const { daemon } = running[(number + attempt * 5) % running.length]!;
    domain = daemon.plan.domain;
    const timeoutMs = rank === Rank.Urgent ? 1_000 : 5_000;
    const options = { method: "POST", body: expected, timeoutMs };
    response = rank === Rank.Standard
      ? await placeOrder(daemon.ingress, key, { ...options, path })
      : await call(daemon.ingress, path, options);
    if (!response.reason.includes("ECONNREFUSED")) break;
  }
  return { answer: response!, expected, domain };
}

function summarizeRecords(
  records: readonly CallWithDomain[],
  faultAtMs: number,
  cutDomain: string | undefined,
) {
  const summary = summarizePart(records, faultAtMs);
  if (cutDomain === undefined) return summary;
  const isInside = ({ domain }: CallWithDomain) => domain === cutDomain;
  const outside = records.filter((record) => !isInside(record));
  return {
    ...summary,
    inside: summarizePart(records.filter(isInside), faultAtMs),
    outside: summarizePart(outside, faultAtMs),
  };
}

function summarizePart(records: readonly CallWithDomain[], faultAtMs: number) {
  const served = records.filter(({ answer }) => answer.status === 200);
  return {
    sent: records.length,
    served: round(served.length / records.length),
    recoveryMs: computeRecoveryMs(records, faultAtMs),
  };
}

/**
 * Returns the time from the fault to the end of the last window whose share of
 * successful calls is below {@linkcode RECOVERED_SHARE}, in ms.
 */
function computeRecoveryMs(records: readonly CallRecord[], faultAtMs: number) {
  let lastFailedEndMs = 0;
  for (let fromMs = 0; faultAtMs + fromMs < Infinity; fromMs += WINDOW_MS) {
    const inWindow = records.filter(({ sentAtMs }) =>
      sentAtMs >= faultAtMs + fromMs &&
      sentAtMs < faultAtMs + fromMs + WINDOW_MS
    );
    if (inWindow.length === 0) break;
    const served = inWindow.filter(({ answer }) => answer.status === 200);
    if (served.length / inWindow.length < RECOVERED_SHARE) {
      lastFailedEndMs = fromMs + WINDOW_MS;
    }
  }
  return lastFailedEndMs;
}
