import { test } from "uvu";
import * as assert from "uvu/assert";
import { formatEvidence, parseEvidence } from "./end_evidence.ts";

test("parseEvidence() reads what formatEvidence() writes", () => {
  const evidence = [
    { id: "i-1@1700000000000", isLone: true, remainingMs: 599_000 },
    { id: "a;b,c:d%e@0", isLone: false, remainingMs: 1 },
  ];
  assert.equal(parseEvidence(formatEvidence(evidence)), evidence);
  assert.equal(parseEvidence(formatEvidence([])), []);
});

test("parseEvidence() leaves out what it cannot read", () => {
  const items = ["", "a", "a:1", ":1:5", "a:1:", "a:1:x", "%:1:5", "a:1:-5"];
  assert.equal(parseEvidence(undefined), []);
  assert.equal(parseEvidence([...items, "b:0:5"].join(",")), [
    { id: "b", isLone: false, remainingMs: 5 },
  ]);
});

test.run();
