import { test } from "uvu";
import * as assert from "uvu/assert";
import { type BackendRun, RunEnd } from "../platform/fakes/backend.ts";
import { PlannedKind } from "./lost_requests.ts";
import { FATAL_PREFIX, findUnprotected } from "./protections.ts";
import type { SentRequest } from "./violations.ts";

const FATAL = `${FATAL_PREFIX}1`;

function sentRequest(id: string, path: string, retryAfterS = 0): SentRequest {
  return { id, path, ingress: "a", retryAfterS } as SentRequest;
}

function run(id: string, path: string, atMs: number): BackendRun {
  return { id, path, atMs, end: RunEnd.Answered } as BackendRun;
}

/** Finds problems of runs at one backend process that ended three times. */
function find(
  runs: readonly BackendRun[],
  options: {
    readonly refused?: readonly SentRequest[];
    readonly limitPerS?: number;
    readonly stoppedAtMs?: number;
  } = {},
): string[] {
  const { refused = [], limitPerS = 1_000, stoppedAtMs } = options;
  const requests = [
    ...runs.map(({ id, path }) => sentRequest(id, path)),
    ...refused,
  ];
  const sent = new Map(requests.map((request) => [request.id, request]));
  const processes = [
    { id: "i-1", instance: "a", version: "v1", runs, drainedAtMs: Infinity },
  ];
  return findUnprotected(sent, processes, {
    ends: [0, 10, 20].map((atMs) => ({ path: FATAL, atMs })),
    limits: [{ backendId: "i-1", limitPerS, fromMs: 0, untilMs: 20_000 }],
    planned: stoppedAtMs === undefined
      ? []
      : [{ kind: PlannedKind.Stop, instance: "a", atMs: stoppedAtMs }],
    impairments: [],
    graceMs: 2_000,
  });
}

const LATE_RUNS = [1, 2, 3, 4].map((index) =>
  run(`f${index}`, FATAL, 5_000 + index)
);

test("findUnprotected() reports a fatal request that arrives more than three times", () => {
  assert.equal(find(LATE_RUNS), [`${FATAL} arrived 4 times after 3 ends`]);
  assert.equal(find(LATE_RUNS.slice(1)), []);
  assert.equal(find(LATE_RUNS.map((late) => ({ ...late, atMs: 3_000 }))), []);
});

test("findUnprotected() excuses a daemon that was restarted", () => {
  assert.equal(find(LATE_RUNS, { stoppedAtMs: 1_000 }), []);
});

test("findUnprotected() reports a request that was refused as fatal", () => {
  const refused = [
    sentRequest("a", "/stock/a", 599),
    sentRequest("b", "/stock/b", 0.2),
    sentRequest("c", FATAL, 599),
  ];
  assert.equal(find([], { refused }), ["a was refused as fatal"]);
});

test("findUnprotected() reports arrivals beyond a limit", () => {
  const runs = Array.from(
    { length: 20 },
    (_, index) => run(`r${index}`, `/stock/${index}`, 4_000 + index),
  );
  assert.equal(find(runs, { limitPerS: 2 }), [
    "i-1 got 20 requests at a limit of 2 a second",
  ]);
  assert.equal(find(runs, { limitPerS: 3 }), []);
});

test.run();
