import { test } from "uvu";
import * as assert from "uvu/assert";
import type { CallResponse } from "./caller.ts";
import {
  checkAcceptedDigests,
  checkAdoptionDelays,
  checkAtMostOnce,
  checkDispatchTargets,
  checkNoDispatchesAfterLeaving,
  checkNoInterruptions,
  checkNotRun,
  checkResponseBodies,
  checkVersionsMonotonic,
} from "./checkers.ts";

function createAdoption(instance: string, version: number, atMs = 0) {
  return { instance, version, digest: `d${version}`, atMs };
}

function createRecord(fields: Partial<CallResponse>, expected?: string) {
  const answer: CallResponse = {
    status: 200,
    outcome: "ran",
    reason: "",
    requestId: "r1",
    replayed: "",
    body: "",
    latencyMs: 1,
    ...fields,
  };
  const rest = expected === undefined ? {} : { expected };
  return { answer, path: "/p", sentAtMs: 0, ...rest };
}

function createExecution(id: string, key = "") {
  return { id, key, path: "/p", atMs: 0 };
}

function createDispatch(backend: string, atMs = 0) {
  return { backend, service: "s", atMs };
}

test("each checker accepts a valid record and reports a violation", () => {
  const accepted = new Map([[1, "d1"], [2, "d2"]]);
  const leaving = { id: "b", sinceMs: 1_000 };
  const expected = { instances: ["i"], withinMs: 100 };
  const results = {
    versionsMonotonic: [
      checkVersionsMonotonic([createAdoption("i", 1), createAdoption("i", 2)]),
      checkVersionsMonotonic([createAdoption("i", 2), createAdoption("i", 1)]),
    ],
    acceptedDigests: [
      checkAcceptedDigests([createAdoption("i", 1)], accepted),
      checkAcceptedDigests(
        [{ ...createAdoption("i", 1), digest: "x" }],
        accepted,
      ),
    ],
    atMostOnce: [
      checkAtMostOnce([createExecution("r1.1", "k"), createExecution("r2.1")]),
      checkAtMostOnce([
        createExecution("r1.1", "k"),
        createExecution("r2.1", "k"),
      ]),
    ],
    notRun: [
      checkNotRun([createRecord({ outcome: "not-run" })], [
        createExecution("r2.1"),
      ]),
      checkNotRun([createRecord({ outcome: "not-run" })], [
        createExecution("r1.2"),
      ]),
    ],
    responseBodies: [
      checkResponseBodies([createRecord({ body: "mine" }, "mine")]),
      checkResponseBodies([createRecord({ body: "other" }, "mine")]),
    ],
    noInterruptions: [
      checkNoInterruptions([createRecord({})]),
      checkNoInterruptions([createRecord({ status: 0, reason: "reset" })]),
    ],
    noDispatchesAfterLeaving: [
      checkNoDispatchesAfterLeaving(
        [createDispatch("b", 1_500)],
        leaving,
        1_000,
      ),
      checkNoDispatchesAfterLeaving(
        [createDispatch("b", 2_500)],
        leaving,
        1_000,
      ),
    ],
    dispatchTargets: [
      checkDispatchTargets([createDispatch("b")], new Map([["b", "s"]])),
      checkDispatchTargets(
        [createDispatch("b"), createDispatch("c")],
        new Map([["b", "other"]]),
      ),
    ],
    inForce: [
      checkAdoptionDelays(
        [createAdoption("i", 2, 50)],
        { version: 2, atMs: 0 },
        expected,
      ),
      checkAdoptionDelays(
        [createAdoption("i", 2, 500)],
        { version: 2, atMs: 0 },
        expected,
      ),
    ],
  };
  const lines = Object.entries(results).map(([name, [good, broken]]) =>
    `${name}: ${good!.length} then ${broken!.join()}`
  );
  assert.snapshot(
    lines.join("\n"),
    `versionsMonotonic: 0 then i went from version 2 to 1
acceptedDigests: 0 then i adopted 1 with digest x
atMostOnce: 0 then k ran 2 times
notRun: 0 then r1 was "not run" but ran
responseBodies: 0 then /p got the response "other"
noInterruptions: 0 then /p ended with 0 reset
noDispatchesAfterLeaving: 0 then b got a request 1500 ms after it left
dispatchTargets: 0 then a call of s was sent to b of other,a call of s was sent to c of none
inForce: 0 then i adopted version 2 after 500 ms`,
  );
});

test.run();
