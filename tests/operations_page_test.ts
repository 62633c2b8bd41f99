import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";

/** Match the names of events and metrics in the sources. */
const EVENT_PATTERN =
  /(?:[lL]og\.(?:info|warn|error)|#(?:note|report))\(\s*"([\w-]+)"/g;
const METRIC_PATTERN =
  /metrics\.(?:count|gauge|timing|observe)\(\s*"([\w.]+)"/g;

function findNames(sources: readonly string[], pattern: RegExp): Set<string> {
  return new Set(
    sources.flatMap((text) =>
      [...text.matchAll(pattern)].map(([, name]) => name!)
    ),
  );
}

function readSources(): string[] {
  return readdirSync("src", { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts") && !name.endsWith("_test.ts"))
    .map((name) => readFileSync(join("src", name), "utf8"));
}

test("the operators' page names every log event and metric", () => {
  const sources = readSources();
  const page = readFileSync("docs/OPERATIONS.md", "utf8");
  const events = findNames(sources, EVENT_PATTERN);
  const metrics = findNames(sources, METRIC_PATTERN);
  assert.ok(events.size > 30 && metrics.size > 5, "the sources were searched");
  const missing = [...events, ...metrics]
    .filter((name) => !page.includes(`\`${name}\``));
  assert.equal(missing, []);
});

test.run();
