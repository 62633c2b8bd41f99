import { createHash } from "node:crypto";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Random } from "../../protocol/random.ts";
import {
  generateTraffic,
  type SimulatedEnd,
  simulateQueue,
} from "../../../testkit/queue_simulation.ts";

/** Load of all three routes together, relative to the slots. */
const LOADS = [0.7, 1, 1.4, 3];
const SLOTS = 13;
const ROUTES = [
  {
    route: "read",
    priority: 0,
    serviceMs: 289,
    objectiveMs: 869,
    timeoutMs: 1_500,
  },
  {
    route: "booking",
    priority: 1,
    serviceMs: 382,
    objectiveMs: 1_079,
    timeoutMs: 2_000,
  },
  {
    route: "lookup",
    priority: 2,
    serviceMs: 73,
    objectiveMs: 346,
    timeoutMs: 902,
  },
];

function runWithoutOrganisations(load: number): SimulatedEnd[] {
  const random = new Random(7);
  const requests = ROUTES.flatMap((route, index) =>
    generateTraffic(
      {
        ...route,
        perS: load * SLOTS * 1_000 / route.serviceMs / ROUTES.length,
        fromMs: 0,
        toMs: 8_000,
      },
      random,
      index * 100_000,
    )
  );
  return simulateQueue({
    slots: SLOTS,
    serviceMs: Object.fromEntries(
      ROUTES.map(({ route, serviceMs }) => [route, serviceMs]),
    ),
    requests,
  });
}

function summarize(ends: readonly SimulatedEnd[]): Record<string, unknown> {
  const order = ends.map(({ request, startedAtMs }) =>
    `${request.id}:${startedAtMs === undefined ? "refused" : startedAtMs}`
  ).join(",");
  return {
    run: ends.filter(({ startedAtMs }) => startedAtMs !== undefined).length,
    refused: ends.filter(({ startedAtMs }) => startedAtMs === undefined).length,
    order: createHash("sha256").update(order).digest("hex").slice(0, 16),
  };
}

// Failure: fair shares change the order where no organisations are configured.
test("WorkQueue orders requests without organisations as recorded before fair shares", () => {
  assert.equal(
    LOADS.map((load) => summarize(runWithoutOrganisations(load))),
    [
      { run: 420, refused: 0, order: "10d952857ad3555b" },
      { run: 634, refused: 1, order: "98a31814bbc8d16e" },
      { run: 821, refused: 93, order: "a8ab48ef95f2553a" },
      { run: 1289, refused: 728, order: "bdab454da2081624" },
    ],
  );
});

test.run();
