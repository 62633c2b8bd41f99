import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import type { SoakResult } from "./fleet.ts";

/**
 * Writes the problems of a run, its faults, its unserved requests and the
 * daemons' output to a folder, and prints its path to standard error.
 *
 * @param result Result of the run.
 */
export function keepLogs(result: SoakResult): void {
  const { seed, faults, problems, unserved, logs } = result;
  const folder = mkdtempSync(join(tmpdir(), `sesamepond-soak-seed-${seed}-`));
  writeFileSync(join(folder, "problems.txt"), problems.join("\n"));
  writeFileSync(join(folder, "faults.txt"), faults.join("\n"));
  writeFileSync(join(folder, "unserved.txt"), unserved.join("\n"));
  for (const [name, output] of Object.entries(logs)) {
    writeFileSync(join(folder, `${name}.log`), output);
  }
  process.stderr.write(`logs of seed ${seed}: ${folder}\n`);
}
