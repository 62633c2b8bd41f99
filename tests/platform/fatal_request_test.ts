import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type FatalLoadResult, runFatalLoad } from "./fatal_load.ts";

/** Most arrivals later than 3 s after the third end. */
const MAX_LATE_ARRIVALS = 3;
const FOR_MS = 9_000;

function assertBounded(result: FatalLoadResult): void {
  assert.ok(
    result.lateArrivals <= MAX_LATE_ARRIVALS,
    `${result.lateArrivals} late arrivals, ${result.ends} ends`,
  );
  const { otherStatuses, unservedPaths } = result;
  assert.equal(Object.keys(otherStatuses), ["200"]);
  assert.equal(unservedPaths, []);
}

// Guards against sending a request on under which three backend servers have
// ended: each one that came back ended at once, and nearly all others failed.
test("a request under which three backend servers ended is refused, and others are served", async () => {
  const result = await runFatalLoad({ size: 4, forMs: FOR_MS });
  assertBounded(result);
  assert.equal(result.fatalStatuses, [503, 503, 503]);
});

// Guards against a verdict that is lost with the processes that reached it.
test("the refusal outlives a restart of half of the daemons at once", async () => {
  const result = await runFatalLoad({
    size: 4,
    forMs: FOR_MS,
    disturb: async (mesh) => {
      await sleep(FOR_MS / 2);
      await Promise.all([mesh.restart(0), mesh.restart(1)]);
    },
  });
  assertBounded(result);
});

test.run();
