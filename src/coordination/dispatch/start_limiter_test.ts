import { test } from "uvu";
import * as assert from "uvu/assert";
import { StartLimiter } from "./start_limiter.ts";

/** Counts the requests that start if one is tried in each ms of a span. */
function countStarts(limiter: StartLimiter, fromMs: number, toMs: number) {
  let starts = 0;
  for (let nowMs = fromMs; nowMs < toMs; nowMs++) {
    if (limiter.tryStart(nowMs)) starts++;
  }
  return starts;
}

test("StartLimiter admits everything until there is a limit, and after it", () => {
  const limiter = new StartLimiter();
  const before = countStarts(limiter, 0, 100);
  limiter.setRate(10, 100);
  const during = countStarts(limiter, 100, 1_101);
  limiter.setRate(undefined, 1_101);
  const after = countStarts(limiter, 1_101, 1_201);
  assert.equal({ before, during, after }, {
    before: 100,
    during: 10,
    after: 100,
  });
});

test("StartLimiter holds a rate over seconds, and after a pause a small burst more", () => {
  const limiter = new StartLimiter();
  limiter.setRate(40, 0);
  const steady = countStarts(limiter, 0, 4_000);
  const afterPause = countStarts(limiter, 9_000, 13_000);
  assert.equal({ steady, afterPause }, { steady: 159, afterPause: 169 });
});

test("StartLimiter follows a limit that rises and falls", () => {
  const limiter = new StartLimiter();
  limiter.setRate(40, 0);
  countStarts(limiter, 0, 1_000);
  limiter.setRate(2, 2_000);
  const low = countStarts(limiter, 2_000, 6_000);
  limiter.setRate(20, 6_000);
  const high = countStarts(limiter, 6_000, 10_000);
  assert.equal({ low, high }, { low: 8, high: 80 });
});

test("StartLimiter lets a request through now and then at a limit of zero", () => {
  const limiter = new StartLimiter();
  limiter.setRate(0, 0);
  assert.equal(countStarts(limiter, 0, 12_001), 3);
});

test("StartLimiter.waitMs() is the time until a number of requests may start", () => {
  const limiter = new StartLimiter();
  const unlimited = limiter.waitMs(0, 5);
  limiter.setRate(10, 0);
  const waits = [limiter.waitMs(0), limiter.waitMs(0, 5), limiter.waitMs(100)]
    .map(Math.round);
  assert.equal({ unlimited, waits }, { unlimited: 0, waits: [100, 500, 0] });
});

test.run();
