import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { FaultPlan } from "./faults.ts";
import { keepLogs } from "./keep_logs.ts";
import { runSidecarSoak, SIDECAR_PLAN } from "./sidecar_soak.ts";
import { runSoak } from "./soak.ts";

/** Maximum number of problems of a seed that are printed. */
const MAX_SHOWN_PROBLEMS = 10;

const args = await yargs(hideBin(process.argv))
  .scriptName("soak")
  .usage("$0: runs daemons under random faults and checks their guarantees")
  .option("seed", { type: "number", default: 1, describe: "first seed" })
  .option("seeds", { type: "number", default: 1, describe: "number of seeds" })
  .option("seconds", {
    type: "number",
    default: 10,
    describe: "time for which faults are injected for each seed, in s",
  })
  .option("instances", { type: "number", default: 6, describe: "daemons" })
  .option("domains", {
    type: "number",
    default: 3,
    describe: "failure domains; one with 8 daemons or more has store readers",
  })
  .option("keep", {
    type: "boolean",
    default: false,
    describe: "also keep the logs of runs without problems",
  })
  .option("plan", {
    choices: [...Object.values(FaultPlan), SIDECAR_PLAN] as const,
    default: FaultPlan.All as FaultPlan | typeof SIDECAR_PLAN,
    describe: "kinds of faults",
  })
  .strict()
  .parseAsync();

// Exits explicitly, since the exit handler kills the daemons and a signal alone
// would not run it.
for (const signal of ["SIGINT", "SIGTERM"]) {
  process.once(signal, () => process.exit(1));
}

let failed = 0;
for (let seed = args.seed; seed < args.seed + args.seeds; seed++) {
  const { seconds, instances, domains, plan } = args;
  const options = { seed, seconds, instances, domains };
  const result = plan === SIDECAR_PLAN
    ? await runSidecarSoak(options)
    : await runSoak({ ...options, plan });
  const { sent, statuses, faults, figures, problems, stalledMs } = result;
  if (problems.length > 0) failed++;
  if (problems.length > 0 || args.keep) keepLogs(result);
  const summary = {
    seed,
    sent,
    statuses,
    faults: countByKind(faults),
    figures,
    stalledMs,
    found: problems.length,
    problems: problems.slice(0, MAX_SHOWN_PROBLEMS),
  };
  process.stdout.write(`${JSON.stringify(summary)}\n`);
}
/** Counts faults by their kinds, without the instances. */
function countByKind(faults: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const fault of faults) {
    const kind = fault.split(" ")[0]!;
    counts[kind] = (counts[kind] ?? 0) + 1;
  }
  return counts;
}

process.stdout.write(`${args.seeds - failed} passed, ${failed} failed\n`);
process.exit(failed === 0 ? 0 : 1);
