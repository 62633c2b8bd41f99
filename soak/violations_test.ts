import { test } from "uvu";
import * as assert from "uvu/assert";
import { type BackendRun, RunEnd } from "../platform/fakes/backend.ts";
import { findViolations, type SentRequest } from "./violations.ts";

function createRequest(fields: Partial<SentRequest> = {}): SentRequest {
  return {
    id: "r1",
    path: "/orders/1",
    body: "x",
    headers: {},
    isIdempotent: false,
    ingress: "instance-0",
    timeoutMs: 1_000,
    sentAtMs: 0,
    endedAtMs: 100,
    disconnectedAtMs: Infinity,
    ingressPausedAtMs: [],
    status: 200,
    answer: "answer of i-1 to r1",
    retryAfterS: 0,
    error: "",
    ...fields,
  };
}

function createRun(fields: Partial<BackendRun> = {}): BackendRun {
  return {
    id: "r1",
    path: "/orders/1",
    caller: "stock",
    remainingMs: 100,
    body: "x",
    headers: {},
    atMs: 0,
    end: RunEnd.Answered,
    endedAtMs: 5,
    ...fields,
  };
}

function checkRuns(
  sent: SentRequest,
  runs: readonly BackendRun[],
  drainedAtMs = Infinity,
): string[] {
  const process = {
    id: "i-1",
    instance: "instance-1",
    version: "v1",
    runs,
    drainedAtMs,
  };
  return findViolations(new Map([[sent.id, sent]]), [process]);
}

test("findViolations() finds each kind of violation, and none in a valid run", () => {
  assert.equal([
    checkRuns(createRequest(), [createRun()]),
    checkRuns(createRequest({ isIdempotent: true }), [
      createRun(),
      createRun(),
    ]),
    checkRuns(createRequest(), [createRun(), createRun()]),
    checkRuns(createRequest({ status: 503 }), [createRun()]),
    checkRuns(createRequest({ answer: "answer of i-1 to r2" }), [createRun()]),
    checkRuns(createRequest({ answer: "answer of" }), [createRun()]),
    checkRuns(createRequest(), [createRun(), createRun({ id: "r9" })]),
    checkRuns(createRequest(), [createRun({ path: "/orders/2" })]),
    checkRuns(createRequest(), [createRun({ caller: "forged" })]),
    checkRuns(createRequest(), [createRun({ atMs: 3_001 })], 1_000),
    checkRuns(createRequest({ disconnectedAtMs: 200 }), [
      createRun({ atMs: 701 }),
    ]),
    checkRuns(createRequest({ disconnectedAtMs: 200 }), [
      createRun({ atMs: 700 }),
    ]),
    checkRuns(
      createRequest({
        sentAtMs: 100,
        disconnectedAtMs: 200,
        ingressPausedAtMs: [50],
      }),
      [createRun({ atMs: 701 })],
    ),
    checkRuns(
      createRequest({
        sentAtMs: 100,
        disconnectedAtMs: 200,
        ingressPausedAtMs: [150],
      }),
      [createRun({ atMs: 701 })],
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
    ["r1 reached i-1 after its caller had disconnected"],
    [],
    ["r1 reached i-1 after its caller had disconnected"],
    [],
  ]);
});

test.run();
