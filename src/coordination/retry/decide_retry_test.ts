import { test } from "uvu";
import * as assert from "uvu/assert";
import { Delivery } from "../../protocol/config_schema.ts";
import { notRun, Reason, unknownOutcome } from "../../protocol/outcome.ts";
import { Random } from "../../protocol/random.ts";
import { RetryBudget } from "./retry_budget.ts";
import { decideRetry, type FailedAttempt } from "./decide_retry.ts";

const FAILED: FailedAttempt = {
  refusal: notRun(Reason.Overloaded, true),
  delivery: Delivery.AtMostOnce,
  attempts: 1,
  retriesLeft: 3,
  isReplayable: true,
  remainingMs: 1_000,
};

test("decideRetry() retries only requests that did not run or may run twice", () => {
  const broken = { ...unknownOutcome(Reason.PeerFailed), isRetryable: true };
  const cases: Partial<FailedAttempt>[] = [
    {},
    { refusal: notRun(Reason.DeadlineTooShort) },
    { refusal: broken },
    { refusal: broken, delivery: Delivery.Idempotent },
    { retriesLeft: 0 },
    { isReplayable: false },
    { remainingMs: 0 },
  ];
  const kinds = cases.map((fields) =>
    decideRetry({ ...FAILED, ...fields }, new Random(1)).kind
  );
  assert.equal(kinds, [
    "retry",
    "answer",
    "answer",
    "retry",
    "answer",
    "answer",
    "answer",
  ]);
});

test("RetryBudget limits retries to a tenth of the calls in the long run", () => {
  const budget = new RetryBudget();
  let retries = 0;
  for (let call = 0; call < 10_000; call++) {
    budget.recordRequest();
    if (budget.trySpend()) retries++;
  }
  assert.ok(retries <= 1_000 + 20, `${retries} retries`);
});

test.run();
