import { test } from "uvu";
import * as assert from "uvu/assert";
import { type BackendRun, RunEnd } from "../platform/fakes/backend.ts";
import { findViolations, type SentRequest } from "./violations.ts";

function request(fields: Partial<SentRequest> = {}): SentRequest {
  return {
    id: "r1",
    path: "/orders/1",
    body: "x",
    isIdempotent: false,
    ingress: "instance-0",
    timeoutMs: 1_000,
    sentAtMs: 0,
    endedAtMs: 100,
    disconnectedAtMs: Infinity,
    ingressPausedAtMs: [],
    status: 200,
    answer: "answer of i-1 to r1",
    error: "",
    ...fields,
  };
}

function run(fields: Partial<BackendRun> = {}): BackendRun {
  return {
    id: "r1",
    path: "/orders/1",
    caller: "stock",
    remainingMs: 100,
    body: "x",
    atMs: 0,
    end: RunEnd.Answered,
    endedAtMs: 5,
    ...fields,
  };
}

function check(
  sent: SentRequest,
  runs: readonly BackendRun[],
  drainedAtMs = Infinity,
): string[] {
  const life = { id: "i-1", instance: "instance-1", runs, drainedAtMs };
  return findViolations(new Map([[sent.id, sent]]), [life]);
}

test("brokenPromises() finds each kind of breach, and none in a good run", () => {
  assert.equal([
    check(request(), [run()]),
    check(request({ isIdempotent: true }), [run(), run()]),
    check(request(), [run(), run()]),
    check(request({ status: 503 }), [run()]),
    check(request({ answer: "answer of i-1 to r2" }), [run()]),
    check(request({ answer: "answer of" }), [run()]),
    check(request(), [run(), run({ id: "r9" })]),
    check(request(), [run({ path: "/orders/2" })]),
    check(request(), [run({ caller: "forged" })]),
    check(request(), [run({ atMs: 3_001 })], 1_000),
    check(request({ disconnectedAtMs: 200 }), [run({ atMs: 701 })]),
    check(request({ disconnectedAtMs: 200 }), [run({ atMs: 700 })]),
    check(
      request({
        sentAtMs: 100,
        disconnectedAtMs: 200,
        ingressPausedAtMs: [50],
      }),
      [run({ atMs: 701 })],
    ),
    check(
      request({
        sentAtMs: 100,
        disconnectedAtMs: 200,
        ingressPausedAtMs: [150],
      }),
      [run({ atMs: 701 })],
    ),
  ], [
    [],
    [],
    ["r1 ran 2 times"],
    ["r1 got 503 and ran"],
    ['r1 got "answer of i-1 to r2"'],
    ['r1 got "answer of"'],
    ["r9 ran and nobody sent it"],
    ["r1 ran changed: /orders/2 x"],
    ["r1 ran for forged"],
    ["r1 reached i-1 after its drain"],
    ["r1 reached i-1 after its caller had left"],
    [],
    ["r1 reached i-1 after its caller had left"],
    [],
  ]);
});

test.run();
