import { test } from "uvu";
import * as assert from "uvu/assert";
import { Ending } from "./ending.ts";

// Guards against taking requests that are cut as the process ends: sent in the
// second half of the grace, with more time left than the process.
test("Ending.allows() refuses what may outlast the process", () => {
  const ending = new Ending();
  const before = ending.allows(60_000);
  ending.endAtMs = 5_700;
  assert.equal(
    {
      before,
      after: [3_000, 5_500, 5_690, 6_500].map((ms) => ending.allows(ms)),
    },
    { before: true, after: [true, true, false, false] },
  );
});

test.run();
