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

/** Given up 1,700 ms after it was sent, with 4 s to wait. */
const GIVEN_UP: SentRequest = {
  id: "r1",
  path: "/stock/1",
  body: "",
  isIdempotent: true,
  ingress: "instance-0",
  timeoutMs: 4_000,
  sentAtMs: 10_500,
  endedAtMs: 12_200,
  disconnectedAtMs: Infinity,
  ingressPausedAtMs: [],
  status: 502,
  answer: "",
  error: "",
};
const AT_WORK: BackendRun = {
  id: "r1",
  path: "/stock/1",
  caller: "stock",
  remainingMs: 3_900,
  body: "",
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

function check(parts: Case): string[] {
  const runs = parts.runs ?? [{ ...AT_WORK, ...parts.run }];
  return findLostRequests(
    [{ ...GIVEN_UP, ...parts.request }],
    [{ id: "i-1", instance: "instance-1", runs, drainedAtMs: Infinity }],
    {
      graceMs: GRACE_MS,
      planned: parts.planned ?? [STOP],
      impairments: parts.impairments ?? [],
    },
  );
}

function impairment(instance: string, fromMs: number): Impairment {
  return { instance, fromMs, untilMs: fromMs + 500 };
}

// Control: each line is input that breaks the promise.
test("lostRequests() finds what is given up while a backend server works", () => {
  const line = "r1 got 502 from instance-0 after 1700 ms, 2200 ms after " +
    "SIGTERM; ran at instance-1 for 1600 ms, ";
  assert.equal([
    check({}),
    check({ run: { end: RunEnd.None, endedAtMs: Infinity } }),
    check({ run: { end: RunEnd.Answered, endedAtMs: 11_000 } }),
    check({ request: { status: 504 } }),
    check({ request: { status: 0 } }),
    check({ request: { status: 0, error: "ECONNRESET" }, runs: [] }),
    check({ planned: [RELOAD] }),
    check({ planned: [CONFIG] }),
    // Faults of others, and faults that are long over.
    check({ impairments: [impairment("instance-2", 11_000)] }),
    check({ impairments: [impairment("instance-1", 6_900)] }),
    // It was sent too late to be cut by the end.
    check({
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

test("lostRequests() excuses what planned work may end", () => {
  assert.equal([
    check({ request: { status: 200 } }),
    check({ request: { status: 503 } }),
    check({ request: { disconnectedAtMs: 12_200 } }),
    check({ request: { timeoutMs: 1_700 } }),
    check({ run: { end: RunEnd.BrokenOff } }),
    check({ run: { atMs: 12_300 } }),
    check({ runs: [] }),
    check({ request: { status: 0, endedAtMs: 10_700 }, runs: [] }),
    check({ request: { status: 0, error: "ECONNREFUSED" }, runs: [] }),
    check({ planned: [] }),
    check({ planned: [{ ...STOP, instance: "instance-1" }] }),
    check({ planned: [{ ...STOP, atMs: 12_300 }] }),
    check({ planned: [{ ...STOP, atMs: 5_000 }] }),
    check({ planned: [{ ...RELOAD, atMs: 8_400 }] }),
    check({ planned: [{ ...CONFIG, atMs: 9_100 }] }),
    check({ impairments: [impairment("instance-0", 11_000)] }),
    check({ impairments: [impairment("instance-1", 7_100)] }),
    check({
      request: { sentAtMs: 12_900, endedAtMs: 15_500 },
      run: { atMs: 13_000, endedAtMs: 15_500 },
    }),
    // The same at the destination, which stops too.
    check({
      request: { sentAtMs: 12_900, endedAtMs: 15_100 },
      run: { atMs: 13_000, endedAtMs: 15_100 },
      planned: [{ ...STOP, atMs: 10_100, instance: "instance-1" }, CONFIG],
    }),
  ], Array.from({ length: 19 }, () => []));
});

test.run();
