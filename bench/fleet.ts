import process from "node:process";
import { bigSource } from "../testkit/big_config.ts";
import { PRODUCTION_SETTINGS } from "../testkit/daemon_process.ts";
import { Fleet } from "../testkit/fleet.ts";
import { fitLine, round } from "../testkit/statistics.ts";
import {
  measureChurn,
  measureControl,
  measureConvergence,
} from "./fleet_measures.ts";

/** Fleet sizes, in daemons. */
const SIZES = [12, 24, 48, 96];
/** Failure domains, as many as expected in two years. */
const DOMAINS = [
  "east",
  "west",
  "north",
  "south",
  "hill",
  "lake",
  "coast",
] as const;
/** Number of daemons expected in two years. */
const TARGET_SIZE = 2_400;

type Measure = (fleet: Fleet) => Promise<unknown>;

const MEASURES: Readonly<Record<string, Measure>> = {
  convergence: measureConvergence,
  control: measureControl,
  churn: measureChurn,
};

/** Returns a benchmark that takes the named measures for each fleet size. */
export function benchFleet(measureNames: readonly string[]) {
  return async (): Promise<unknown> => {
    const sizes = (process.env.BENCH_SIZES ?? SIZES.join(","))
      .split(",").map(Number);
    const results: Record<string, unknown>[] = [];
    for (const size of sizes) {
      process.stderr.write(`measuring ${size} daemons\n`);
      results.push({ size, ...await measureSize(size, measureNames) });
    }
    return { sizes: results, slopes: fitSlopes(results) };
  };
}

async function measureSize(
  size: number,
  measureNames: readonly string[],
): Promise<Record<string, unknown>> {
  const fleet = await startFleet(size);
  try {
    const result: Record<string, unknown> = {};
    for (const name of measureNames) {
      result[name] = await MEASURES[name]!(fleet);
      process.stderr.write(`${size} ${name} ${JSON.stringify(result[name])}\n`);
    }
    return result;
  } finally {
    await fleet.close();
  }
}

async function startFleet(size: number): Promise<Fleet> {
  const services = DOMAINS.map((_, index) =>
    Array.from(
      {
        length: Math.floor(
          (size + DOMAINS.length - 1 - index) / DOMAINS.length,
        ),
      },
      (_, number) => number === 0 ? (index % 2 === 0 ? "lookup" : "order") : "",
    )
  );
  return await Fleet.start({
    network: 41,
    source: bigSource(0),
    settings: PRODUCTION_SETTINGS,
    domains: DOMAINS.map((name, index) => ({
      name,
      services: services[index]!,
    })),
  });
}

/** Fits lines through the sizes and extrapolates them to the target size. */
function fitSlopes(results: readonly Record<string, unknown>[]): unknown {
  if (results.length < 2) return undefined;
  const resultPaths: Record<string, string> = {
    convergenceP99Ms: "convergence.healthy.p99Ms",
    convergenceMaxMs: "convergence.healthy.maxMs",
    cpuPercentMedian: "control.cpuPercent.median",
    cpuPercentMax: "control.cpuPercent.max",
    bytesPerSMedian: "control.bytesPerS.median",
    bytesPerSMax: "control.bytesPerS.max",
    residentMbMedian: "control.residentMb.median",
    storeCallsPerS: "control.storeCallsPerS",
    churnStoreCallsPeakPerS: "churn.storeCallsPeakPerS",
  };
  const slopes: Record<string, unknown> = {};
  for (const [name, path] of Object.entries(resultPaths)) {
    const points = results.flatMap((result) => {
      const value = valueAt(result, path);
      return value === undefined
        ? []
        : [[Math.log2(Number(result.size)), value] as const];
    });
    if (points.length < 2) continue;
    const { slope, intercept } = fitLine(points);
    slopes[name] = {
      perDoubling: round(slope),
      atTarget: round(intercept + slope * Math.log2(TARGET_SIZE)),
    };
  }
  return slopes;
}

function valueAt(object: unknown, path: string): number | undefined {
  let value = object;
  for (const key of path.split(".")) {
    value = (value as Record<string, unknown> | undefined)?.[key];
  }
  return value as number | undefined;
}
