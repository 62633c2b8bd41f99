import { test } from "uvu";
import * as assert from "uvu/assert";
import { MeanPace } from "./mean_pace.ts";
import { ServiceTimes } from "./service_times.ts";

function sharedTimes(): ServiceTimes {
  const shared = new ServiceTimes();
  for (let index = 0; index < 20; index++) {
    shared.record("order", 500);
    shared.record("check", 100);
  }
  return shared;
}

// Pattern: so many backend servers that a daemon meets each of them rarely.
test("expectedMs() of a backend server without requests is that of its service", () => {
  const pace = new MeanPace(sharedTimes());
  assert.equal([pace.expectedMs("order", 0), pace.expectedMs("check", 0)], [
    500,
    100,
  ]);
});

test("expectedMs() follows from requests of another route, not from their length", () => {
  const pace = new MeanPace(sharedTimes());
  for (let index = 0; index < 4; index++) pace.record("check", 100, 0);
  assert.equal(Math.round(pace.expectedMs("order", 0)), 500);
  for (let index = 0; index < 8; index++) pace.record("check", 300, 0);
  const slowMs = pace.expectedMs("order", 0);
  assert.ok(slowMs > 600, `${slowMs}`);
});

test("expectedMs() returns to that of the service, so that a slow one is tried again", () => {
  const pace = new MeanPace(sharedTimes());
  for (let index = 0; index < 8; index++) pace.record("order", 1_500, 0);
  const aheads = [0, 8_000, 60_000].map((nowMs) =>
    pace.expectedMs("order", nowMs) / pace.expectedMs("order", 600_000)
  );
  assert.ok(aheads[0]! > aheads[1]! && aheads[1]! > aheads[2]!);
  assert.ok(aheads[2]! < 1.05);
});

test.run();
