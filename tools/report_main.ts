import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { type BenchResult, drawReport } from "./report.ts";

// Draws the results in a folder, one JSON object on the last line of each file.
const folder = process.argv[2] ?? "bench/results";
const results = readdirSync(folder).filter((name) => name.endsWith(".json"))
  .sort()
  .map((name) => {
    const lines = readFileSync(join(folder, name), "utf8").trim().split("\n");
    return JSON.parse(lines.at(-1)!) as BenchResult;
  });
writeFileSync(join(folder, "report.html"), drawReport(results));
process.stdout.write(`${join(folder, "report.html")}\n`);
