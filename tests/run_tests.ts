import { readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath, pathToFileURL } from "node:url";

/** Folders of compiled tests, relative to the parent of this file's folder. */
const FOLDERS = ["src", "fakes", "testkit", "tests", "soak"];

/** Result of a uvu suite: errors, passed, skipped and total. */
type SuiteResult = [string | true, number, number, number];
type Suite = () => Promise<SuiteResult>;

/** Global variables with which uvu's command line controls its suites. */
interface UvuGlobals {
  UVU_DEFER?: number;
  UVU_INDEX?: number;
  UVU_QUEUE?: (string | Suite)[][];
}

const uvu = globalThis as UvuGlobals;
const counts = { passed: 0, failed: 0 };
/** Names after "test:" in KNOWN-RED.txt; their failures do not fail the run. */
const KNOWN_RED = new Set(
  [...readFileSync("KNOWN-RED.txt", "utf8").matchAll(/^test: (.+)$/gm)]
    .map(([, name]) => name!),
);
/** Matches the name of a failed test in the report of a suite. */
const FAILED_NAME = /FAIL[^"\n]*"([^\n]*)"/g;
const knownRed: string[] = [];

function findTests(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith("_test.js"))
    .map((name) => join(folder, name))
    .sort();
}

function countResults(suite: Suite): Suite {
  return async () => {
    const result = await suite();
    const [report, passed, , total] = result;
    const known = [...String(report).matchAll(FAILED_NAME)]
      .map(([, name]) => name!)
      .filter((name) => KNOWN_RED.has(name));
    knownRed.push(...known);
    counts.passed += passed;
    counts.failed += total - passed - known.length;
    return result;
  };
}

async function main(): Promise<void> {
  const root = join(dirname(fileURLToPath(import.meta.url)), "..");
  const pattern = new RegExp(process.argv.slice(2).join("|"));
  const files = FOLDERS.flatMap((folder) => findTests(join(root, folder)))
    .filter((file) => pattern.test(file.slice(root.length + 1)));
  // Must be set before uvu is loaded, or uvu runs the suites by itself.
  uvu.UVU_DEFER = 1;
  const { exec } = await import("uvu");
  const queue: (string | Suite)[][] = uvu.UVU_QUEUE ??= [];
  for (const [index, file] of files.entries()) {
    uvu.UVU_INDEX = index;
    queue[index] = [file.slice(root.length + 1)];
    await import(pathToFileURL(file).href);
    queue[index] = queue[index]!.map((entry) =>
      typeof entry === "string" ? entry : countResults(entry)
    );
  }
  await exec(false);
  for (const name of knownRed) process.stdout.write(`known red: ${name}\n`);
  process.stdout.write(
    `\n${counts.passed} passed, ${counts.failed} failed\n`,
  );
  const hasPassed = counts.failed === 0 && counts.passed > 0;
  // Exits explicitly because a failed test may leave handles open.
  process.exit(hasPassed ? 0 : 1);
}

await main();
