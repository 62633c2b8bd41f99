import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { runSoak } from "./soak.ts";

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
  .strict()
  .parseAsync();

let failed = 0;
for (let seed = args.seed; seed < args.seed + args.seeds; seed++) {
  const { seconds, instances } = args;
  const result = await runSoak({ seed, seconds, instances });
  if (result.problems.length > 0) failed++;
  process.stdout.write(`${
    JSON.stringify({
      ...result,
      faults: result.faults.length,
      problems: result.problems.slice(0, 10),
    })
  }\n`);
}
process.stdout.write(`${args.seeds - failed} passed, ${failed} failed\n`);
process.exit(failed === 0 ? 0 : 1);
