import { test } from "uvu";
import * as assert from "uvu/assert";
import { isSlowRead } from "./read_cost.ts";

test("isSlowRead() tells large values on slow links", () => {
  const reads = [
    isSlowRead(310_000, 4.9),
    isSlowRead(310_000, 98),
    isSlowRead(1_000, 4.9),
    isSlowRead(310_000, 0),
  ];
  assert.equal(reads, [true, false, false, false]);
});

test.run();
