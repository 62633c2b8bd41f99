import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { FaultPlan } from "./faults.ts";
import { keepLogs } from "./keep_logs.ts";
import { runSoak } from "./soak.ts";

/** Problems of a seed that are printed. */
const MAX_SHOWN_PROBLEMS = 10;

const args = await yargs(hideBin(process.argv))
  .scriptName("soak")
  .usage("$0: daemons as processes under random faults, promises checked")
  .option("seed", { type: "number", default: 1, describe: "first seed" })
  .option("seeds", { type: "number", default: 1, describe: "number of seeds" })
  .option("seconds", {
    type: "number",
    default: 10,
    describe: "time of faults for each seed, in s",
  })
  .option("instances", { type: "number", default: 6, describe: "daemons" })
  .option("domains", {
    type: "number",
    default: 3,
    describe: "failure domains; 8 daemons in one have readers",
  })
  .option("keep", {
    type: "boolean",
    default: false,
    describe: "keep the logs of runs that find nothing, too",
  })
  .option("plan", {
    choices: Object.values(FaultPlan),
    default: FaultPlan.All,
    describe: "faults of the runs",
  })
  .strict()
  .parseAsync();

// An exit ends the daemons, which a signal alone would leave behind.
for (const signal of ["SIGINT", "SIGTERM"]) {
  process.once(signal, () => process.exit(1));
}

let failed = 0;
for (let seed = args.seed; seed < args.seed + args.seeds; seed++) {
  const { seconds, instances, domains, plan } = args;
  const result = await runSoak({ seed, seconds, instances, domains, plan });
  const { sent, statuses, faults, problems, stalledMs } = result;
  if (problems.length > 0) failed++;
  if (problems.length > 0 || args.keep) keepLogs(result);
  const summary = {
    seed,
    sent,
    statuses,
    faults: faults.length,
    stalledMs,
    found: problems.length,
    problems: problems.slice(0, MAX_SHOWN_PROBLEMS),
  };
  process.stdout.write(`${JSON.stringify(summary)}\n`);
}
process.stdout.write(`${args.seeds - failed} passed, ${failed} failed\n`);
process.exit(failed === 0 ? 0 : 1);
