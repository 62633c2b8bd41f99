import { test } from "uvu";
import * as assert from "uvu/assert";
import type { RouteSamples, SampleCounts } from "../../protocol/rollout.ts";
import { judgeVersion } from "./judge_version.ts";
import { chanceOfHits, wilsonUpperBound } from "./share_bounds.ts";
import { timeClassOf } from "./sample_times.ts";

/** Builds results: numbers of responses by response time in ms. */
function counts(
  failures: number,
  ...responses: readonly (readonly [number, number])[]
): SampleCounts {
  const times: number[] = [];
  let requests = 0;
  for (const [timeMs, count] of responses) {
    const index = timeClassOf(timeMs);
    while (times.length <= index) times.push(0);
    times[index]! += count;
    requests += count;
  }
  return { requests, failures, times };
}

function routeOf(
  former: SampleCounts,
  target: SampleCounts,
  route = "orders",
): RouteSamples {
  return { route, former, target };
}

function verdictOf(...routes: RouteSamples[]): string {
  const { verdict, fault, route } = judgeVersion(routes);
  return [verdict, fault, route].filter((part) => part !== undefined).join(" ");
}

test("judgeVersion() compares failures and response times by route", () => {
  const former = counts(5, [100, 900], [700, 100]);
  assert.equal({
    nothing: verdictOf(),
    tooFew: verdictOf(routeOf(former, counts(0, [100, 3]))),
    equal: verdictOf(routeOf(former, counts(1, [100, 90], [700, 10]))),
    failing: verdictOf(routeOf(former, counts(12, [100, 60]))),
    slow: verdictOf(routeOf(former, counts(0, [100, 30], [700, 30]))),
    onOneRoute: verdictOf(
      routeOf(former, counts(0, [100, 300]), "alerts"),
      routeOf(former, counts(12, [100, 60]), "exports"),
    ),
  }, {
    nothing: "unknown",
    tooFew: "unknown",
    equal: "good orders",
    failing: "bad failures orders",
    slow: "bad slow orders",
    onOneRoute: "bad failures exports",
  });
});

// Guards against a good version that is rolled back because its first two
// responses were slow.
test("judgeVersion() takes two slow responses for chance", () => {
  const former = counts(0, [100, 960], [700, 40]);
  assert.is(
    judgeVersion([routeOf(former, counts(0, [700, 2]))]).verdict !== "bad",
    true,
  );
});

// Guards against a fixed number of failures as the sign of a bad version: under
// overload, the former versions fail as well.
test("judgeVersion() finds no fault in a version that fails like the former ones", () => {
  const former = counts(400, [100, 1_000]);
  assert.is(verdictOf(routeOf(former, counts(80, [100, 200]))), "good orders");
});

// Guards against a fault of all routes that shows only once each route alone has
// enough results.
test("judgeVersion() pools routes whose response times differ", () => {
  const routes = [50, 400, 1_600].map((timeMs, index) =>
    routeOf(
      counts(0, [timeMs, 200]),
      counts(0, [timeMs, 4], [timeMs * 5, 3]),
      `r${index}`,
    )
  );
  assert.is(verdictOf(...routes), "bad slow *");
});

test("chanceOfHits() and wilsonUpperBound() agree with known values", () => {
  assert.equal({
    coins: chanceOfHits(2, 2, 0.5),
    atLeastOne: Number(chanceOfHits(1, 10, 0.05).toFixed(4)),
    expected: chanceOfHits(5, 100, 0.05),
    wilson: Number(wilsonUpperBound(0, 100, 2).toFixed(4)),
  }, { coins: 0.25, atLeastOne: 0.4013, expected: 1, wilson: 0.0385 });
});

test.run();
