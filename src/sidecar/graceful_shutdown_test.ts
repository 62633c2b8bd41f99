import { test } from "uvu";
import * as assert from "uvu/assert";
import { GracefulShutdown } from "./graceful_shutdown.ts";

const GRACE_MS = 6_000;
const EARLY_MS = 2_600;
const LATE_MS = 2_800;

/** Whether requests with each of three deadlines are admitted at a time. */
function allowed(shutdown: GracefulShutdown, nowMs: number): boolean[] {
  return [5_500, 5_690, 60_000].map((deadlineMs) =>
    shutdown.admits(deadlineMs, nowMs)
  );
}

// Guards against taking requests that are cut off as the process ends: sent in
// the second half of the grace period, with more time left than the process.
test("GracefulShutdown.admits() refuses late requests that may outlast the process", () => {
  const shutdown = new GracefulShutdown();
  const before = allowed(shutdown, 0);
  shutdown.begin(0, GRACE_MS);
  const early = allowed(shutdown, EARLY_MS);
  const late = allowed(shutdown, LATE_MS);
  shutdown.stopAdmission(LATE_MS);
  assert.equal({ before, early, late, closed: allowed(shutdown, LATE_MS) }, {
    before: [true, true, true],
    early: [true, true, true],
    late: [true, false, false],
    closed: [false, false, false],
  });
});

// Guards against requests that are cut after a long grace period: callers sent
// them long after the signal, and half of the period had not passed.
test("GracefulShutdown.admits() admits everything for less than three seconds", () => {
  const shutdown = new GracefulShutdown();
  shutdown.begin(0, 10_000);
  assert.equal(
    [2_600, 3_000, 4_400].map((nowMs) => shutdown.admits(60_000, nowMs)),
    [true, false, false],
  );
});

// Guards against a request that came just before the process began to close,
// and is taken just after: its caller gets 504 while a backend server works.
test("GracefulShutdown.admits() refuses a request that arrived before stopAdmission()", () => {
  const shutdown = new GracefulShutdown();
  shutdown.begin(0, GRACE_MS);
  shutdown.stopAdmission(5_700);
  assert.equal(shutdown.admits(60_000, 5_690), false);
});

test("GracefulShutdown.admitsPeer() refuses other daemons once callers have left", () => {
  const shutdown = new GracefulShutdown();
  const before = shutdown.admitsPeer(60_000, 0);
  shutdown.begin(0, GRACE_MS);
  const times = [1_700, 1_900];
  assert.equal({
    before,
    peer: times.map((nowMs) => shutdown.admitsPeer(2_000, nowMs)),
    caller: times.map((nowMs) => shutdown.admits(2_000, nowMs)),
  }, { before: true, peer: [true, false], caller: [true, true] });
});

test.run();
