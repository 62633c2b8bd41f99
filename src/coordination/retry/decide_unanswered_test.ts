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

const decisions = (kind: RequestKind, repeated: number) =>
  STATUSES.map((status) => {
    const decision = decideUnanswered(status, repeated, kind);
    return decision.kind === "doubted"
      ? `${decision.kind} ${decision.reason}`
      : decision.kind;
  });

test("decideUnanswered() keeps waiting for an order behind a saturated link", () => {
  assert.equal(
    [RequestKind.AtMostOnce, RequestKind.Upload].map((kind) =>
      decisions(kind, 9)
    ),
    [
      ["not-run", "wait", "wait", "wait"],
      ["not-run", "wait", "wait", "wait"],
    ],
  );
});

// Guards against abandoning a request that a backend server still runs, because
// its daemon was too busy to report the status.
test("decideUnanswered() suspects idempotent requests lost and never ends them", () => {
  assert.equal(
    [1, 2, 9].map((repeated) => decisions(RequestKind.Idempotent, repeated)),
    [
      ["not-run", "wait", "wait", "wait"],
      ["not-run", "wait", "doubted broken", "doubted unreachable"],
      ["not-run", "wait", "doubted broken", "doubted unreachable"],
    ],
  );
});

test.run();
