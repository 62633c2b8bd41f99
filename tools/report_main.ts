import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { type BenchResult, drawReport } from "./report.ts";

// Draws the benchmark results in a folder (by default bench/results), which
// has one JSON object per file.
const folder = process.argv[2] ?? "bench/results";
const results = readdirSync(folder).filter((name) => name.endsWith(".json"))
  .sort()
  .map((name) =>
    JSON.parse(readFileSync(join(folder, name), "utf8")) as BenchResult
  );
writeFileSync(join(folder, "report.html"), drawReport(results));
process.stdout.write(`${join(folder, "report.html")}\n`);
