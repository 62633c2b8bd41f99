import { test } from "uvu";
import * as assert from "uvu/assert";
import { RequestKind } from "./mesh.ts";
import { MeshReason } from "./mesh_call.ts";
import {
  type CallDescription,
  formatCall,
  formatResult,
  parseCall,
  parseResult,
  type ResultDescription,
} from "./peer_call.ts";

const CALL: CallDescription = {
  id: "a;b%",
  route: "stock",
  kind: RequestKind.AtMostOnce,
  priority: 2,
  callerService: "shop",
  service: "orders",
  backendId: "i-1",
  remainingMs: 900,
  objectiveInMs: -20,
  configVersion: 7,
};

const LOAD = {
  running: 3,
  queued: 0,
  limit: 4,
  waitMs: 12,
  failureShare: 0.5,
  pace: 2.5,
};

test("parseCall() reverses formatCall()", () => {
  assert.equal(parseCall(formatCall(CALL)), CALL);
});

test("the organisation and the kind of caller go to the destination", () => {
  const calls: CallDescription[] = [
    { ...CALL, organisation: "a;b", organisationPriority: 0 },
    { ...CALL, organisation: "pub" },
    { ...CALL, isSubcall: true },
    { ...CALL, namedLimitPerS: 2, organisation: "pub", isSubcall: true },
  ];
  assert.equal(calls.map((call) => parseCall(formatCall(call))), calls);
});

test("parseResult() reverses formatResult()", () => {
  const outcomes: ResultDescription["outcome"][] = [
    { kind: "answered", serviceMs: 31 },
    {
      kind: "not-run",
      reason: MeshReason.Shed,
      hasReachedBackend: true,
      retryAfterMs: 40,
    },
    {
      kind: "not-run",
      reason: MeshReason.Leaving,
      hasReachedBackend: false,
      retryAfterMs: 0,
    },
    { kind: "unknown", reason: MeshReason.Broken },
  ];
  const results = outcomes.map((outcome) => ({
    outcome,
    load: LOAD,
    configVersion: 7,
    heldMs: 45,
  }));
  assert.equal(
    results.map((result) => parseResult(formatResult(result))),
    results,
  );
});

test("a limit of the backend server goes to and from its daemon", () => {
  const call = { ...CALL, namedLimitPerS: 37.8 };
  const result = {
    outcome: { kind: "answered" as const, serviceMs: 31 },
    load: { ...LOAD, limitPerS: 0.25 },
    configVersion: 7,
    heldMs: 45,
  };
  assert.equal(parseCall(formatCall(call)), call);
  assert.equal(parseResult(formatResult(result)), result);
});

test("parseCall() and parseResult() return undefined for malformed values", () => {
  const call = formatCall(CALL);
  const calls = [
    "",
    "a;b",
    call.replace("900", "soon"),
    "%;".repeat(10),
  ];
  const results = ["", "a;1;;1;1;1;1;1", "x;broken;;1;1;1;1;0;1;1"];
  assert.equal({
    calls: calls.map(parseCall),
    results: results.map(parseResult),
  }, {
    calls: calls.map(() => undefined),
    results: results.map(() => undefined),
  });
});

// A daemon of a later version must not take requests away from this one.
test("parseCall() and parseResult() pass over what a later version adds", () => {
  const call = parseCall(`${formatCall({ ...CALL, id: "r" })};x;y`);
  const stream = parseCall(formatCall(CALL).replace(";o;", ";s;"));
  const results = [
    "n;on-holiday;40;3;0;4;12;0.50;7;45",
    "u;nonsense;;3;0;4;12;0.50;7;45;1.00;x",
  ].map((value) => parseResult(value));
  assert.equal({
    id: call?.id,
    kind: stream?.kind,
    outcomes: results.map((result) => result?.outcome),
    paces: results.map((result) => result?.load.pace),
  }, {
    id: "r",
    kind: RequestKind.AtMostOnce,
    outcomes: [
      {
        kind: "not-run",
        reason: MeshReason.Other,
        hasReachedBackend: false,
        retryAfterMs: 40,
      },
      { kind: "unknown", reason: MeshReason.Other },
    ],
    paces: [1, 1],
  });
});

test.run();
