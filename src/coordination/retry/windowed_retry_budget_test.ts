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

test.run();
