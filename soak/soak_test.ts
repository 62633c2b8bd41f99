import { test } from "uvu";
import * as assert from "uvu/assert";
import { runSoak } from "./soak.ts";

/** Seeds that failed once; each with a line on its cause. */
const REGRESSION_SEEDS: readonly number[] = [];
const CI_SEEDS: readonly number[] = [1];

for (const seed of [...CI_SEEDS, ...REGRESSION_SEEDS]) {
  test(`runSoak() breaks no promise under the faults of seed ${seed}`, async () => {
    const result = await runSoak({ seed, seconds: 5, instances: 4 });
    assert.equal({
      problems: result.problems,
      hasServed: result.served > 0,
      hasFaults: result.faults.length > 0,
    }, { problems: [], hasServed: true, hasFaults: true });
  });
}

test.run();
