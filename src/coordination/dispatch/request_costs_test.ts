import { test } from "uvu";
import * as assert from "uvu/assert";
import { costKeyOf } from "./request_cost_key.ts";
import { RequestCosts } from "./request_costs.ts";

function keyOf(path: string, organisation?: string) {
  const shape = { route: "read", method: "GET", body: undefined };
  return costKeyOf({ ...shape, path, organisation });
}

test("costKeyOf() tells requests apart by what is seen before they run", () => {
  const post = { route: "read", method: "POST", path: "/a/b-17/c?d=/e" };
  assert.equal([
    keyOf("/light/1"),
    keyOf("/light/2", "north"),
    costKeyOf({ ...post, body: { length: 5_000 }, isSubcall: true }),
  ], [
    ["read", "read GET  0", "read GET  0 /light/#"],
    [
      "read",
      "read GET  0",
      "read GET  0 /light/#",
      "read GET  0 /light/# north",
    ],
    ["read", "read POST s 7", "read POST s 7 /a/#/c"],
  ]);
});

// Pattern: two kinds of request behind one route.
test("estimate() separates kinds behind one route, and falls back to the route", () => {
  const costs = new RequestCosts();
  for (let index = 0; index < 50; index++) {
    costs.record(keyOf("/light/1"), 30, 0);
    costs.record(keyOf("/heavy/1"), 300, 0);
  }
  const describe = (path: string) => {
    const cost = costs.estimate(keyOf(path), 0);
    return [
      Math.round(cost.meanMs / 10) * 10,
      Math.round(cost.shareWithin(100) * 10) / 10,
    ];
  };
  assert.equal({
    light: describe("/light/2"),
    heavy: describe("/heavy/2"),
    other: describe("/other/2"),
  }, { light: [40, 1], heavy: [290, 0], other: [170, 0.5] });
});

// Pattern: one request in fifty costs twenty times as much.
test("estimate() contains the tail besides the mean", () => {
  const costs = new RequestCosts();
  for (let index = 0; index < 500; index++) {
    costs.record(["read"], index % 50 === 0 ? 1_000 : 50, 0);
  }
  const cost = costs.estimate(["read"], 0);
  const shares = [20, 80, 800, 1_500].map((boundMs) =>
    Math.round(cost.shareWithin(boundMs) * 100)
  );
  assert.equal({ shares, meanMs: Math.round(cost.meanMs) }, {
    shares: [0, 98, 98, 100],
    meanMs: 69,
  });
});

test("estimate() forgets old observations", () => {
  const costs = new RequestCosts();
  for (let index = 0; index < 200; index++) costs.record(["read"], 50, 0);
  for (let index = 0; index < 20; index++) costs.record(["read"], 500, 90_000);
  const meanMs = Math.round(costs.meanMs(["read"], 90_000) / 10) * 10;
  assert.equal(meanMs, 440);
});

// Pattern: callers that send each request to a path of its own.
test("record() keeps the keys in use and bounds their number under a flood of new paths", () => {
  const costs = new RequestCosts();
  for (let index = 0; index < 50; index++) {
    costs.record(keyOf("/heavy/1"), 300, 0);
    costs.record(keyOf("/light/1"), 30, 0);
  }
  const name = (index: number) =>
    [...String(index)].map((digit) => "abcdefghij"[Number(digit)]).join("");
  for (let index = 0; index < 20_000; index++) {
    costs.record(keyOf(`/${name(index)}`), 30, index);
    if (index % 100 === 0) costs.record(keyOf("/heavy/1"), 300, index);
  }
  assert.equal({
    count: costs.fineKeyCount,
    heavyMs: Math.round(costs.meanMs(keyOf("/heavy/1"), 20_000) / 10) * 10,
  }, { count: 256, heavyMs: 290 });
  // Keys without requests make room.
  costs.record(keyOf("/late/1"), 30, 60_000);
  assert.ok(costs.fineKeyCount < 10, String(costs.fineKeyCount));
});

test.run();
