import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RequestKind } from "../protocol/mesh.ts";
import type { MeshCall } from "../protocol/mesh_call.ts";
import type { PoolResult } from "../transport/http/lifo_connection_pool.ts";
import { classifyResponse, readPace } from "./backend_response.ts";

const CALL: MeshCall = {
  id: "r1",
  method: "GET",
  path: "/",
  headers: [],
  body: undefined,
  route: "stock",
  kind: RequestKind.AtMostOnce,
  priority: 0,
  callerService: "shop",
  service: "stock",
  backendId: "i-1",
  deadlineMs: 1_000,
  objectiveAtMs: 500,
};

const HEADER_NAMES = {
  requestId: "id",
  timeoutMs: "timeout",
  callerService: "caller",
  expectedBackend: "expected",
  organisationKey: "key",
  organisation: "organisation",
  answerProof: "proof",
  notRun: "not-run",
  backendId: "backend",
  limitPerS: "limit",
  leaving: "leaving",
  load: { name: "load", decodePace: (value: string) => Number(value) },
};

function classify(
  status: number,
  headers: readonly string[],
  isFirst = false,
): string {
  const result: PoolResult = {
    kind: "answer",
    status,
    headers,
    isFirst,
    body: Buffer.from("x"),
    isMismatched: false,
  };
  const outcome = classifyResponse({
    call: CALL,
    result,
    headerNames: HEADER_NAMES,
    serviceMs: 5,
  });
  return outcome.kind === "answered"
    ? outcome.kind
    : `${outcome.kind}:${outcome.reason}`;
}

test("classifyResponse() accepts only a response to the request", () => {
  const outcomes = [
    classify(200, ["ID", "r1", "Proof", "p"]),
    classify(500, ["id", "r1"]),
    classify(200, ["id", "r1"]),
    classify(200, ["id", "r0", "proof", "p"]),
    classify(200, ["id", "r1", "proof", "p", "Content-Encoding", "gzip"]),
  ];
  assert.equal(outcomes, [
    "answered",
    "answered",
    "unknown:malformed",
    "unknown:malformed",
    "unknown:malformed",
  ]);
});

test("classifyResponse() accepts only a rejection of the request", () => {
  const outcomes = [
    classify(503, ["id", "r1", "not-run", "1"]),
    classify(400, ["not-run", "1"], true),
    classify(421, ["backend", "i-2"], true),
    classify(400, ["not-run", "1"]),
    classify(421, ["backend", "i-2"]),
    classify(503, ["id", "r0", "not-run", "1"], true),
  ];
  assert.equal(outcomes, [
    "not-run:shed",
    "not-run:shed",
    "not-run:shed",
    "unknown:malformed",
    "unknown:malformed",
    "unknown:malformed",
  ]);
});

test("readPace() reads the header that reports the pace", () => {
  assert.equal(
    [["id", "r1", "Load", "2.5"], ["id", "r1"]].map((headers) =>
      readPace(headers, HEADER_NAMES.load)
    ),
    [2.5, undefined],
  );
});

test.run();
