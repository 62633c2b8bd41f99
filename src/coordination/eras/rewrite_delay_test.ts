import { test } from "uvu";
import * as assert from "uvu/assert";
import { canFollow } from "./compare_eras.ts";
import { missingGraceMs, rewritePeriodMs } from "./rewrite_delay.ts";

// Guards against a fleet that writes all its records at once after a restore.
test("rewritePeriodMs() bounds the rate of writes for any size of the fleet", () => {
  const perS = [10, 64, 2_400].map((daemons) =>
    daemons * 1_000 / rewritePeriodMs(daemons)
  );
  assert.ok(perS.every((rate) => rate <= 50), String(perS));
});

test("missingGraceMs() lasts beyond the time within which all write", () => {
  const sizes = [10, 64, 2_400];
  assert.ok(
    sizes.every((size) => missingGraceMs(size) > rewritePeriodMs(size)),
  );
});

// Guards against changes of a daemon that does not know the eras.
test("canFollow() refuses earlier and unnamed eras", () => {
  assert.equal(
    [
      canFollow(1, 2),
      canFollow(undefined, 2),
      canFollow(2, 2),
      canFollow(3, 2),
    ],
    [false, false, true, true],
  );
  assert.equal([canFollow(undefined, undefined), canFollow(1, undefined)], [
    true,
    true,
  ]);
});

test.run();
