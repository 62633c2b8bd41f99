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

function adoption(instance: string, version: number, atMs = 0) {
  return { instance, version, digest: `d${version}`, atMs };
}

function record(fields: Partial<CallResponse>, expected?: string) {
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

function execution(id: string, key = "") {
  return { id, key, path: "/p", atMs: 0 };
}

function dispatch(backend: string, atMs = 0) {
  return { backend, service: "s", atMs };
}

test("each checker passes a good record and fails a broken one", () => {
  const accepted = new Map([[1, "d1"], [2, "d2"]]);
  const leaving = { id: "b", sinceMs: 1_000 };
  const inForce = { instances: ["i"], withinMs: 100 };
  const results = {
    versionsRise: [
      checkVersionsMonotonic([adoption("i", 1), adoption("i", 2)]),
      checkVersionsMonotonic([adoption("i", 2), adoption("i", 1)]),
    ],
    approved: [
      checkAcceptedDigests([adoption("i", 1)], accepted),
      checkAcceptedDigests([{ ...adoption("i", 1), digest: "x" }], accepted),
    ],
    atMostOnce: [
      checkAtMostOnce([execution("r1.1", "k"), execution("r2.1")]),
      checkAtMostOnce([execution("r1.1", "k"), execution("r2.1", "k")]),
    ],
    notRun: [
      checkNotRun([record({ outcome: "not-run" })], [execution("r2.1")]),
      checkNotRun([record({ outcome: "not-run" })], [execution("r1.2")]),
    ],
    ownAnswers: [
      checkResponseBodies([record({ body: "mine" }, "mine")]),
      checkResponseBodies([record({ body: "other" }, "mine")]),
    ],
    nothingCut: [
      checkNoInterruptions([record({})]),
      checkNoInterruptions([record({ status: 0, reason: "reset" })]),
    ],
    leftAlone: [
      checkNoDispatchesAfterLeaving([dispatch("b", 1_500)], leaving, 1_000),
      checkNoDispatchesAfterLeaving([dispatch("b", 2_500)], leaving, 1_000),
    ],
    routesLead: [
      checkDispatchTargets([dispatch("b")], new Map([["b", "s"]])),
      checkDispatchTargets(
        [dispatch("b"), dispatch("c")],
        new Map([["b", "other"]]),
      ),
    ],
    inForce: [
      checkAdoptionDelays(
        [adoption("i", 2, 50)],
        { version: 2, atMs: 0 },
        inForce,
      ),
      checkAdoptionDelays(
        [adoption("i", 2, 500)],
        { version: 2, atMs: 0 },
        inForce,
      ),
    ],
  };
  const lines = Object.entries(results).map(([name, [good, broken]]) =>
    `${name}: ${good!.length} then ${broken!.join()}`
  );
  assert.snapshot(
    lines.join("\n"),
    `versionsRise: 0 then i went from version 2 to 1
approved: 0 then i adopted 1 with digest x
atMostOnce: 0 then k ran 2 times
notRun: 0 then r1 was "not run" but ran
ownAnswers: 0 then /p was answered "other"
nothingCut: 0 then /p ended with 0 reset
leftAlone: 0 then b got work 1500 ms after it left
routesLead: 0 then a call of s was sent to b of other,a call of s was sent to c of none
inForce: 0 then i held version 2 after 500 ms`,
  );
});

test.run();
