import { test } from "uvu";
import * as assert from "uvu/assert";
import { AdaptiveLimit } from "./adaptive_limit.ts";

test("slots raises the limit at once when a server announces more", () => {
  const limit = new AdaptiveLimit(1);
  limit.slots = 20;
  assert.is(limit.current, 20);
});

test("slots keeps a lowered limit when the same number is announced again", () => {
  const limit = new AdaptiveLimit(20);
  limit.recordOverload(0);
  assert.is(limit.current, 14);
  limit.slots = 20;
  assert.is(limit.current, 14);
});

test("recordSuccess() raises a lowered limit back to the slots", () => {
  const limit = new AdaptiveLimit(4);
  limit.recordOverload(0);
  for (let count = 0; count < 100; count++) limit.recordSuccess(limit.current);
  assert.is(limit.current, 4);
});

test.run();
