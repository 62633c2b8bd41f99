import { test } from "uvu";
import * as assert from "uvu/assert";
import { Random } from "../../protocol/random.ts";
import {
  generateTraffic,
  simulateQueue,
} from "../../../testkit/queue_simulation.ts";
import type { WorkItem } from "./work_item.ts";
import { WorkQueue } from "./work_queue.ts";

const SLOTS = 13;
const SEEDS = [31, 32, 33];
const READ = {
  route: "read",
  priority: 0,
  serviceMs: 100,
  objectiveMs: 869,
  timeoutMs: 1_500,
  fromMs: 0,
  toMs: 15_000,
};

/** Requests behind one route, of which some take many times as long. */
interface Mix {
  readonly name: string;
  /** One in so many is expensive. */
  readonly oneIn: number;
  readonly factor: number;
  readonly load: number;
}

const MIXES: readonly Mix[] = [0.9, 1.1, 1.3].flatMap((load) => [
  { name: "two kinds", oneIn: 5, factor: 6, load },
  { name: "heavy tail", oneIn: 50, factor: 20, load },
]);

/** Returns the share answered in time, and p50 and p99 of those answered. */
function runMix(mix: Mix, isKnown: boolean): string {
  const meanFactor = 1 + (mix.factor - 1) / mix.oneIn;
  const times: number[] = [];
  let offered = 0;
  let inTime = 0;
  for (const seed of SEEDS) {
    const random = new Random(seed);
    const perS = mix.load * SLOTS * 1_000 / (READ.serviceMs * meanFactor);
    const requests = generateTraffic({ ...READ, perS }, random, 0).map(
      (request) => {
        const factor = random.below(mix.oneIn) === 0 ? mix.factor : 1;
        return {
          ...request,
          serviceMs: request.serviceMs * factor,
          ...(isKnown ? { costFactor: factor } : {}),
        };
      },
    );
    const usualMs = isKnown ? READ.serviceMs : READ.serviceMs * meanFactor;
    const ends = simulateQueue({
      slots: SLOTS,
      serviceMs: { [READ.route]: usualMs },
      requests,
    });
    offered += requests.length;
    for (const { request, startedAtMs, endedAtMs } of ends) {
      if (startedAtMs === undefined) continue;
      times.push(endedAtMs - request.arrivedAtMs);
      if (endedAtMs <= request.objectiveAtMs) inTime++;
    }
  }
  times.sort((a, b) => a - b);
  const at = (share: number) =>
    Math.round(times[Math.floor(times.length * share)]!);
  return `${Math.round(inTime / offered * 1_000) / 1_000}, ${at(0.5)}, ${
    at(0.99)
  }`;
}

// Failure: cheap requests wait behind expensive ones of the same route.
test("WorkQueue orders requests of one route by their expected cost", () => {
  assert.equal(
    MIXES.map((mix) =>
      `${mix.name} at ${mix.load}: ${runMix(mix, false)} to ${
        runMix(mix, true)
      }`
    ),
    [
      "two kinds at 0.9: 0.981, 164, 918 to 0.975, 125, 923",
      "heavy tail at 0.9: 0.946, 135, 2308 to 0.976, 111, 1761",
      "two kinds at 1.1: 0.789, 538, 1335 to 0.926, 143, 966",
      "heavy tail at 1.1: 0.905, 324, 2292 to 0.977, 120, 325",
      "two kinds at 1.3: 0.631, 640, 1382 to 0.88, 159, 1004",
      "heavy tail at 1.3: 0.767, 582, 2557 to 0.98, 171, 787",
    ],
  );
});

// Failure: the usual service time of a route rises with its expensive requests.
test("finish() records service times relative to the expected cost", () => {
  const queue = new WorkQueue<WorkItem>(1);
  const item = {
    route: "read",
    priority: 0,
    objectiveAtMs: 869,
    deadlineMs: 1_500,
    arrivedAtMs: 0,
    costFactor: 5,
  };
  queue.offer(item, 0);
  queue.finish(item, 500);
  assert.is(queue.serviceTimes.expectedMs("read"), 100);
});

test.run();
