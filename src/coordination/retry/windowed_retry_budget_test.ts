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

test.run();
