import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  chooseAsDaemon,
  chooseByOracle,
  chooseLeastOfTwo,
  chooseRandom,
} from "../../../testkit/dispatch_model/choosers.ts";
import { LOADS } from "../../../testkit/dispatch_model/loads.ts";
import {
  type ChooserFactory,
  runTrial,
  type TrialResult,
} from "../../../testkit/dispatch_model/model.ts";

const SEED = 1;
const CHOOSERS: Readonly<Record<string, ChooserFactory>> = {
  random: chooseRandom,
  "least of two": chooseLeastOfTwo,
  daemon: chooseAsDaemon,
  oracle: chooseByOracle,
};

function formatRow(name: string, result: TrialResult): string {
  return [
    name.padEnd(14),
    (result.inTime * 100).toFixed(2).padStart(7),
    (result.value * 100).toFixed(2).padStart(7),
    (result.refused * 100).toFixed(2).padStart(7),
    String(result.p50Ms).padStart(6),
    String(result.p99Ms).padStart(6),
    String(result.p999Ms).padStart(6),
    result.remoteKb.toFixed(0).padStart(8),
  ].join(" ");
}

const HEAD = "chooser        in time   value refused    p50    p99  p99.9" +
  "       kB";

for (const load of LOADS) {
  test(`chooseDestination() under load: ${load.name}`, () => {
    process.stdout.write(`\n${load.name}\n${HEAD}\n`);
    const results = Object.entries(CHOOSERS).map(([name, create]) => {
      const result = runTrial(load, create, SEED);
      process.stdout.write(`${formatRow(name, result)}\n`);
      return result;
    });
    assert.ok(results[2]!.value >= results[0]!.value);
  });
}

test.run();
