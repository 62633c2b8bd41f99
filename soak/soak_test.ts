import { test } from "uvu";
import * as assert from "uvu/assert";
import { FaultPlan } from "./faults.ts";
import { keepLogs } from "./keep_logs.ts";
import { runSidecarSoak } from "./sidecar_soak.ts";
import { type FaultSoakOptions, runSoak } from "./soak.ts";

/**
 * Seeds that have failed.
 *
 * 5: requests ran without the name of a caller. This was a fault of the soak
 * itself: a backend server had got the port of a daemon that was down, and
 * callers reached it directly. The ports of daemons are now outside the
 * ephemeral ports. In a second run of the seed a daemon did not serve at the
 * end; its log was not kept and it could not be reproduced (see KNOWN-RED.txt).
 */
const REGRESSION_SEEDS: readonly number[] = [5];
/**
 * Seeds that have failed with 9 daemons in one failure domain.
 *
 * 316: requests reached a backend server after its drain. This was a fault of
 * the soak itself: the response to the last announcement of the previous
 * process arrived after the start of the new one and was counted as a drain of
 * the new one; the daemon's log has no such drain.
 */
const READER_REGRESSION_SEEDS: readonly number[] = [316];
const CI_SEEDS: readonly number[] = [1];

/**
 * Seeds that have failed around planned work, with slow daemons and slow paths.
 *
 * 12: callers got 502 while a backend server ran their requests. Two
 * consecutive status queries over a slow path had no response within 0.4 s
 * each, and the destination was assumed to be lost (docs/incidents/lost.md).
 *
 * 115: a caller got 504 after 70 ms. Its request arrived just before a stopping
 * daemon began to close and was checked just after, when every request that had
 * arrived before counted as early. Seen once; graceful_shutdown_test.ts
 * reproduces it deterministically.
 */
const PLANNED_REGRESSION_SEEDS: readonly number[] = [12, 115];

/** Figures of the sidecar plan that are not 0 in a sound run. */
const CHECKED_FIGURES: readonly string[] = [
  "atMostOnce",
  "idempotent",
  "notRunAnswers",
  "runsWithKey",
  "runsWithoutKey",
  "requestsWithoutValidKey",
  "quotaRuns",
  "quotaRefusals",
  "targetRuns",
  "versions",
  "bodyClients",
  "peakAnonymousMib",
];

interface Case {
  readonly name: string;
  readonly options: FaultSoakOptions;
}

const CASES: readonly Case[] = [
  ...[...CI_SEEDS, ...REGRESSION_SEEDS].map((seed) => ({
    name: `breaks no promise under the faults of seed ${seed}`,
    options: { seed, seconds: 5, instances: 4, domains: 3 },
  })),
  // Two daemons read the store for the others.
  ...[2, ...READER_REGRESSION_SEEDS].map((seed) => ({
    name: `breaks no promise under the faults of seed ${seed}`,
    options: { seed, seconds: 5, instances: 9, domains: 1 },
  })),
  {
    name: "breaks no promise under the mixed faults of seed 3",
    options: { seed: 3, seconds: 5, instances: 4, plan: FaultPlan.Mixed },
  },
  {
    name: "breaks no promise under the fatal requests of seed 1",
    options: { seed: 1, seconds: 10, instances: 4, plan: FaultPlan.Fatal },
  },
  {
    name: "breaks no promise under the limits of seed 1",
    options: { seed: 1, seconds: 10, instances: 4, plan: FaultPlan.Limits },
  },
  ...PLANNED_REGRESSION_SEEDS.map((seed) => ({
    name: `breaks no promise around the planned work of seed ${seed}`,
    options: { seed, seconds: 10, instances: 4, plan: FaultPlan.Planned },
  })),
];

for (const { name, options } of CASES) {
  test(`runSoak() ${name}`, async () => {
    const result = await runSoak(options);
    if (result.problems.length > 0) keepLogs(result);
    assert.equal({
      problems: result.problems,
      hasServed: result.served > 0,
      hasFaults: result.faults.length > 0,
    }, { problems: [], hasServed: true, hasFaults: true });
  });
}

// Guards against broken guarantees of the features that a configuration enables
// when several faults meet, and against checks that have nothing to look at.
test("runSidecarSoak() breaks no promise under the faults of seed 1", async () => {
  const result = await runSidecarSoak({ seed: 1, seconds: 8, instances: 4 });
  if (result.problems.length > 0) keepLogs(result);
  const { figures } = result;
  assert.equal({
    problems: result.problems,
    hasServed: result.served > 0,
    unchecked: CHECKED_FIGURES.filter((name) => !figures[name]),
  }, { problems: [], hasServed: true, unchecked: [] });
});

test.run();
