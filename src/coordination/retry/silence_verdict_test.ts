import { test } from "uvu";
import * as assert from "uvu/assert";
import { RequestKind } from "../../protocol/mesh.ts";
import { CallStatus } from "../../protocol/peer_call.ts";
import { silenceVerdict } from "./silence_verdict.ts";

const STATUSES = [
  CallStatus.Unknown,
  CallStatus.Open,
  CallStatus.Ended,
  undefined,
];

const verdicts = (kind: RequestKind, repeated: number) =>
  STATUSES.map((status) => {
    const verdict = silenceVerdict(status, repeated, kind);
    return verdict &&
      `${verdict.kind} ${"reason" in verdict && verdict.reason}`;
  });

test("silenceVerdict() never gives up on an order behind a full link", () => {
  assert.equal(
    [RequestKind.AtMostOnce, RequestKind.Upload].map((kind) =>
      verdicts(kind, 9)
    ),
    [
      ["not-run unreachable", undefined, undefined, undefined],
      ["not-run unreachable", undefined, undefined, undefined],
    ],
  );
});

test("silenceVerdict() frees what may be repeated after two findings", () => {
  assert.equal(
    [1, 2].map((repeated) => verdicts(RequestKind.Idempotent, repeated)),
    [
      ["not-run unreachable", undefined, undefined, undefined],
      [
        "not-run unreachable",
        undefined,
        "unknown broken",
        "unknown unreachable",
      ],
    ],
  );
});

test.run();
