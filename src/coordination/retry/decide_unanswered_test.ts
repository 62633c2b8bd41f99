import { test } from "uvu";
import * as assert from "uvu/assert";
import { RequestKind } from "../../protocol/mesh.ts";
import { CallStatus } from "../../protocol/peer_call.ts";
import { decideUnanswered } from "./decide_unanswered.ts";

const STATUSES = [
  CallStatus.Unknown,
  CallStatus.Open,
  CallStatus.Ended,
  undefined,
];

const verdicts = (kind: RequestKind, repeated: number) =>
  STATUSES.map((status) => {
    const verdict = decideUnanswered(status, repeated, kind);
    return verdict.kind === "doubted"
      ? `${verdict.kind} ${verdict.reason}`
      : verdict.kind;
  });

test("silenceVerdict() never gives up on an order behind a full link", () => {
  assert.equal(
    [RequestKind.AtMostOnce, RequestKind.Upload].map((kind) =>
      verdicts(kind, 9)
    ),
    [
      ["not-run", "wait", "wait", "wait"],
      ["not-run", "wait", "wait", "wait"],
    ],
  );
});

// Guards against giving up a request at which a backend server works because
// its daemon was too busy to answer questions about it.
test("silenceVerdict() doubts what may be repeated and never ends it", () => {
  assert.equal(
    [1, 2, 9].map((repeated) => verdicts(RequestKind.Idempotent, repeated)),
    [
      ["not-run", "wait", "wait", "wait"],
      ["not-run", "wait", "doubted broken", "doubted unreachable"],
      ["not-run", "wait", "doubted broken", "doubted unreachable"],
    ],
  );
});

test.run();
