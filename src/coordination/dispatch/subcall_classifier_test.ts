import { test } from "uvu";
import * as assert from "uvu/assert";
import { SubcallClassifier } from "./subcall_classifier.ts";

// Load: a client without a key sends 1,000 requests to a public route at once,
// beside 13 running requests. All of them went before ordinary requests.
test("a flood without keys does not take precedence as calls of running requests", () => {
  const classifier = new SubcallClassifier();
  const counted = (running: number) =>
    Array.from({ length: 1_000 }, () => classifier.tryOpen(running))
      .filter(Boolean).length;
  assert.equal({ idle: counted(0), busy: counted(13) }, { idle: 0, busy: 52 });
});

test("calls of a running request take precedence again once others have ended", () => {
  const classifier = new SubcallClassifier();
  const results = Array.from({ length: 5 }, () => classifier.tryOpen(1));
  classifier.close();
  results.push(classifier.tryOpen(1));
  assert.equal({ results, open: classifier.open }, {
    results: [true, true, true, true, false, true],
    open: 4,
  });
});

test.run();
