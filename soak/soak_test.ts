import { test } from "uvu";
import * as assert from "uvu/assert";
import { FaultPlan } from "./faults.ts";
import { keepLogs } from "./keep_logs.ts";
import { runSoak, type SoakOptions } from "./soak.ts";

/**
 * Seeds that failed once.
 *
 * 5: requests ran with no caller named. The soak's own fault: a backend server
 * had been given the port of a daemon that was down, and callers reached it
 * directly; ports of daemons are now outside of those that the system hands
 * out. A second run of the seed ended with a daemon that did not serve; its log
 * was not kept and the run could not be repeated (see KNOWN-RED.txt).
 */
const REGRESSION_SEEDS: readonly number[] = [5];
/**
 * Seeds that failed with 9 daemons in one failure domain.
 *
 * 316: requests reached a backend server after its drain. The soak's own fault:
 * the answer to the former life's last announcement came once the new life was
 * there, and was taken for the new life's drain; the daemon's log has no drain
 * of it.
 */
const READER_REGRESSION_SEEDS: readonly number[] = [316];
const CI_SEEDS: readonly number[] = [1];

/**
 * Seeds that failed around planned work, with slow daemons and slow ways.
 *
 * 12: callers got 502 while a backend server was at work: two questions in a
 * row about a request had no answer within 0.4 s each, over a slow way, and
 * were taken for the loss of the destination (docs/incidents/lost.md).
 *
 * 115: a caller got 504 after 70 ms. Its request came just before a stopping
 * daemon began to close, and was looked at just after, when all that had come
 * before passed for early. Seen once; ending_test.ts has it without chance.
 */
const PLANNED_REGRESSION_SEEDS: readonly number[] = [12, 115];

interface Case {
  readonly name: string;
  readonly options: SoakOptions;
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

test.run();
