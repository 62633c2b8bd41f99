import { test } from "uvu";
import * as assert from "uvu/assert";
import { Ending } from "./ending.ts";

const GRACE_MS = 6_000;
const EARLY_MS = 2_600;
const LATE_MS = 2_800;

/** Which deadlines are allowed at a time. */
function allowed(ending: Ending, nowMs: number): boolean[] {
  return [5_500, 5_690, 60_000].map((deadlineMs) =>
    ending.allows(deadlineMs, nowMs)
  );
}

// Guards against taking requests that are cut as the process ends: sent in the
// second half of the grace, with more time left than the process.
test("Ending.allows() refuses what comes late and may outlast the process", () => {
  const ending = new Ending();
  const before = allowed(ending, 0);
  ending.begin(0, GRACE_MS);
  const early = allowed(ending, EARLY_MS);
  const late = allowed(ending, LATE_MS);
  ending.close(LATE_MS);
  assert.equal({ before, early, late, closed: allowed(ending, LATE_MS) }, {
    before: [true, true, true],
    early: [true, true, true],
    late: [true, false, false],
    closed: [false, false, false],
  });
});

// Guards against a request that came just before the process began to close,
// and is taken just after: its caller gets 504 while a backend server works.
test("Ending.allows() refuses after close() what had come late before it", () => {
  const ending = new Ending();
  ending.begin(0, GRACE_MS);
  ending.close(5_700);
  assert.equal(ending.allows(60_000, 5_690), false);
});

test.run();
