import { test } from "uvu";
import * as assert from "uvu/assert";
import { type BackendRun, RunEnd } from "../platform/fakes/backend.ts";
import {
  findLostRequests,
  type Impairment,
  PlannedKind,
  type PlannedWork,
} from "./lost_requests.ts";
import type { SentRequest } from "./violations.ts";

const GRACE_MS = 6_000;
const STOP: PlannedWork = {
  kind: PlannedKind.Stop,
  instance: "instance-0",
  atMs: 10_000,
};
const RELOAD = { ...STOP, kind: PlannedKind.Reload };
const CONFIG = { ...STOP, kind: PlannedKind.Config, instance: undefined };

/** A request that was abandoned after 1,700 ms although its timeout is 4 s. */
const ABANDONED: SentRequest = {
  id: "r1",
  path: "/stock/1",
  body: "",
  headers: {},
  isIdempotent: true,
  ingress: "instance-0",
  timeoutMs: 4_000,
  sentAtMs: 10_500,
  endedAtMs: 12_200,
  disconnectedAtMs: Infinity,
  ingressPausedAtMs: [],
  status: 502,
  answer: "",
  retryAfterS: 0,
  error: "",
};
const CANCELLED_RUN: BackendRun = {
  id: "r1",
  path: "/stock/1",
  caller: "stock",
  remainingMs: 3_900,
  body: "",
  headers: {},
  atMs: 10_600,
  end: RunEnd.Cancelled,
  endedAtMs: 12_200,
};

interface Case {
  readonly request?: Partial<SentRequest>;
  readonly run?: Partial<BackendRun>;
  readonly runs?: readonly BackendRun[];
  readonly planned?: readonly PlannedWork[];
  readonly impairments?: readonly Impairment[];
}

function findLoss(parts: Case): string[] {
  const runs = parts.runs ?? [{ ...CANCELLED_RUN, ...parts.run }];
  return findLostRequests(
    [{ ...ABANDONED, ...parts.request }],
    [{
      id: "i-1",
      instance: "instance-1",
      version: "v1",
      runs,
      drainedAtMs: Infinity,
    }],
    {
      graceMs: GRACE_MS,
      planned: parts.planned ?? [STOP],
      impairments: parts.impairments ?? [],
    },
  );
}

function createImpairment(instance: string, fromMs: number): Impairment {
  return { instance, fromMs, untilMs: fromMs + 500 };
}

// Each call of findLoss() has input with one lost request.
test("findLostRequests() finds requests that are abandoned while they run", () => {
  const line = "r1 got 502 from instance-0 after 1700 ms, 2200 ms after " +
    "SIGTERM; ran at instance-1 for 1600 ms, ";
  assert.equal([
    findLoss({}),
    findLoss({ run: { end: RunEnd.None, endedAtMs: Infinity } }),
    findLoss({ run: { end: RunEnd.Answered, endedAtMs: 11_000 } }),
    findLoss({ request: { status: 504 } }),
    findLoss({ request: { status: 0 } }),
    findLoss({ request: { status: 0, error: "ECONNRESET" }, runs: [] }),
    findLoss({ planned: [RELOAD] }),
    findLoss({ planned: [CONFIG] }),
    // Faults of other instances, and faults that ended long before.
    findLoss({ impairments: [createImpairment("instance-2", 11_000)] }),
    findLoss({ impairments: [createImpairment("instance-1", 6_900)] }),
    // It was sent too late for an interruption by the exit.
    findLoss({
      request: { sentAtMs: 13_100, endedAtMs: 15_500 },
      run: { atMs: 13_200, endedAtMs: 15_500 },
    }),
  ], [
    [`${line}cancelled`],
    [`${line}none`],
    [`${line}answered`],
    [`${line}cancelled`.replace("502", "504")],
    [`${line}cancelled`.replace("502", "0")],
    [
      "r1 got 0 from instance-0 after 1700 ms, 2200 ms after SIGTERM, " +
      "and did not run",
    ],
    [`${line}cancelled`.replace("SIGTERM", "SIGHUP")],
    [`${line}cancelled`.replace("SIGTERM", "config-change")],
    [`${line}cancelled`],
    [`${line}cancelled`],
    [
      "r1 got 502 from instance-0 after 2400 ms, 5500 ms after SIGTERM; " +
      "ran at instance-1 for 2300 ms, cancelled",
    ],
  ]);
});

test("findLostRequests() excuses requests that planned work may end", () => {
  assert.equal([
    findLoss({ request: { status: 200 } }),
    findLoss({ request: { status: 503 } }),
    findLoss({ request: { disconnectedAtMs: 12_200 } }),
    findLoss({ request: { timeoutMs: 1_700 } }),
    findLoss({ run: { end: RunEnd.BrokenOff } }),
    findLoss({ run: { atMs: 12_300 } }),
    findLoss({ runs: [] }),
    findLoss({ request: { status: 0, endedAtMs: 10_700 }, runs: [] }),
    findLoss({ request: { status: 0, error: "ECONNREFUSED" }, runs: [] }),
    findLoss({ planned: [] }),
    findLoss({ planned: [{ ...STOP, instance: "instance-1" }] }),
    findLoss({ planned: [{ ...STOP, atMs: 12_300 }] }),
    findLoss({ planned: [{ ...STOP, atMs: 5_000 }] }),
    findLoss({ planned: [{ ...RELOAD, atMs: 8_400 }] }),
    findLoss({ planned: [{ ...CONFIG, atMs: 9_100 }] }),
    findLoss({ impairments: [createImpairment("instance-0", 11_000)] }),
    findLoss({ impairments: [createImpairment("instance-1", 7_100)] }),
    findLoss({
      request: { sentAtMs: 12_900, endedAtMs: 15_500 },
      run: { atMs: 13_000, endedAtMs: 15_500 },
    }),
    // The same with a destination that also stops.
    findLoss({
      request: { sentAtMs: 12_900, endedAtMs: 15_100 },
      run: { atMs: 13_000, endedAtMs: 15_100 },
      planned: [{ ...STOP, atMs: 10_100, instance: "instance-1" }, CONFIG],
    }),
  ], Array.from({ length: 19 }, () => []));
});

test.run();
