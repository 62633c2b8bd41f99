import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { WindowedRetryBudget } from "./windowed_retry_budget.ts";

test("trySpend() limits retries to the window's ratio and slack", () => {
  const budget = new WindowedRetryBudget({
    windowMs: 1_000,
    ratio: 0.1,
    slack: () => 2,
  });
  for (let index = 0; index < 20; index++) budget.recordRequest(0);
  const spent = Array.from({ length: 6 }, () => budget.trySpend(500));
  const nextWindow = budget.trySpend(1_600);
  assert.equal({ spent, nextWindow }, {
    spent: [true, true, true, true, false, false],
    nextWindow: true,
  });
});

// Failure: the retries of one organisation at 8.5 times its usual traffic take
// the budget of all.
test("trySpend() leaves retries for other organisations", () => {
  const budget = new WindowedRetryBudget({
    windowMs: 1_000,
    ratio: 0.1,
    slack: () => 3,
  });
  for (let index = 0; index < 85; index++) budget.recordRequest(0, "large");
  for (const name of ["a", "b"]) {
    for (let index = 0; index < 3; index++) budget.recordRequest(0, name);
  }
  const countSpent = (organisation: string) =>
    Array.from({ length: 20 }, () => budget.trySpend(500, organisation))
      .filter((isAllowed) => isAllowed).length;
  const spent = ["large", "a", "b", "large"].map(countSpent);
  assert.equal(spent, [9, 1, 1, 0]);
});

function countSpent(
  budget: WindowedRetryBudget,
  attempts: number,
  organisation?: string,
): number {
  return Array.from(
    { length: attempts },
    () => budget.trySpend(500, organisation),
  ).filter((isAllowed) => isAllowed).length;
}

// Load: 40 small organisations whose requests all fail, beside a large one.
// Failure: one retry for each of them uses up what the requests of the large
// one allow.
test("trySpend() keeps the share of an organisation from many small ones", () => {
  const budget = new WindowedRetryBudget({
    windowMs: 1_000,
    ratio: 0.1,
    slack: () => 2,
  });
  for (let index = 0; index < 200; index++) budget.recordRequest(0, "large");
  const small = Array.from({ length: 40 }, (_, index) => `small${index}`);
  for (const name of small) {
    for (let index = 0; index < 3; index++) budget.recordRequest(0, name);
  }
  const bySmall = small.map((name) => countSpent(budget, 3, name));
  const spentBySmall = bySmall.reduce((sum, count) => sum + count, 0);
  const byLarge = countSpent(budget, 60, "large");
  // Of 34 retries, 20 are the share of the large one.
  assert.equal([spentBySmall, Math.max(...bySmall), byLarge], [14, 1, 20]);
});

// Load: requests without an organisation, as calls of running requests or on
// public routes, that fail at 8.5 times the traffic of an organisation.
test("trySpend() keeps the share of organisations from requests without one", () => {
  const budget = new WindowedRetryBudget({
    windowMs: 1_000,
    ratio: 0.1,
    slack: () => 4,
  });
  for (let index = 0; index < 20; index++) budget.recordRequest(0, "a");
  for (let index = 0; index < 170; index++) budget.recordRequest(0);
  const spent = [undefined, "a", undefined].map((name) =>
    countSpent(budget, 60, name)
  );
  assert.equal(spent, [19, 4, 0]);
});

// Failure: memory that grows with the organisations that were ever seen.
test("recordRequest() bounds and forgets organisations", () => {
  const budget = new WindowedRetryBudget({
    windowMs: 1_000,
    ratio: 0.1,
    slack: () => 2,
  });
  for (let index = 0; index < 5_000; index++) {
    budget.recordRequest(0, `o${index}`);
  }
  const most = budget.organisations;
  budget.recordRequest(1_100, "new");
  assert.equal([most, budget.organisations], [513, 1]);
});

const STEPS = fc.array(
  fc.record({
    organisation: fc.constantFrom(undefined, "a", "b", "c", "d"),
    isRetry: fc.boolean(),
    elapsedMs: fc.integer({ min: 0, max: 60 }),
  }),
  { maxLength: 300 },
);

/**
 * Runs requests and retries, and compares with the limit of the service alone.
 *
 * @returns Whether each retry was allowed, by the budget and by that limit.
 */
function compareWithLimit(
  steps: readonly {
    readonly organisation: string | undefined;
    readonly isRetry: boolean;
    readonly elapsedMs: number;
  }[],
): readonly (readonly [boolean, boolean])[] {
  const budget = new WindowedRetryBudget({
    windowMs: 1_000,
    ratio: 0.2,
    slack: () => 1.5,
  });
  const counted: { bucket: number; isRetry: boolean }[] = [];
  const results: (readonly [boolean, boolean])[] = [];
  let nowMs = 0;
  for (const { organisation, isRetry, elapsedMs } of steps) {
    nowMs += elapsedMs;
    const bucket = Math.floor(nowMs / 100);
    if (!isRetry) {
      budget.recordRequest(nowMs, organisation);
      counted.push({ bucket, isRetry });
      continue;
    }
    const inWindow = counted.filter((one) => one.bucket > bucket - 10);
    const retries = inWindow.filter((one) => one.isRetry).length;
    const requests = inWindow.length - retries;
    const isWithinLimit = retries + 1 <= requests * 0.2 + 1.5;
    const isAllowed = budget.trySpend(nowMs, organisation);
    if (isAllowed) counted.push({ bucket, isRetry });
    results.push([isAllowed, isWithinLimit]);
  }
  return results;
}

// Failure: shares of organisations that add up to more than the deployment
// allows a service.
test("trySpend() never exceeds the limit of the service", () => {
  fc.assert(fc.property(STEPS, (steps) => {
    for (const [isAllowed, isWithinLimit] of compareWithLimit(steps)) {
      assert.ok(isWithinLimit || !isAllowed);
    }
  }));
});

// Failure: a deployment without organisations repeats otherwise than before.
test("without organisations, trySpend() applies the limit of the service only", () => {
  fc.assert(fc.property(STEPS, (steps) => {
    const anonymous = steps.map((step) => ({
      ...step,
      organisation: undefined,
    }));
    for (const [isAllowed, isWithinLimit] of compareWithLimit(anonymous)) {
      assert.is(isAllowed, isWithinLimit);
    }
  }));
});

test.run();
