import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { benchFaults } from "./faults.ts";
import { benchFleet } from "./fleet.ts";
import { benchFlood } from "./flood.ts";
import { benchHop } from "./hop.ts";
import { benchPoison } from "./poison.ts";
import { benchRequestCost } from "./request_cost.ts";
import { benchScale } from "./scale.ts";
import { benchSidecar } from "./sidecar.ts";

/** A benchmark, given the seed of its random choices. */
type Bench = (seed: number) => Promise<unknown>;

const BENCHES: Readonly<Record<string, Bench>> = {
  hop: benchHop,
  flood: benchFlood,
  faults: benchFaults,
  poison: benchPoison,
  scale: benchScale,
  requestCost: benchRequestCost,
  sidecar: benchSidecar,
  convergence: benchFleet(["convergence"]),
  control: benchFleet(["control"]),
  churn: benchFleet(["churn"]),
  fleet: benchFleet(["convergence", "control", "churn"]),
};

const args = await yargs(hideBin(process.argv))
  .scriptName("npm run bench --")
  .usage("$0 NAME [--seed N]")
  .positional("name", { type: "string" })
  .option("seed", { type: "number", default: 1, describe: "random seed" })
  .demandCommand(1, `name one of: ${Object.keys(BENCHES).join(", ")}`)
  .parseAsync();

const name = String(args._[0]);
const bench = BENCHES[name];
if (bench === undefined) {
  process.stderr.write(
    `Cannot run "${name}": the names are ${Object.keys(BENCHES).join(", ")}\n`,
  );
  process.exit(2);
}
const startedAtMs = Date.now();
const result = await bench(args.seed);
const elapsedMs = Date.now() - startedAtMs;
process.stdout.write(
  `${JSON.stringify({ bench: name, seed: args.seed, elapsedMs, result })}\n`,
);
process.exit(0);
