import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { call } from "../testkit/caller.ts";
import { fetchLiveMembers } from "../testkit/fleet.ts";
import { median, round, summarize } from "../testkit/statistics.ts";
import { until } from "../testkit/until.ts";
import { isWholeProof, type Kind, Load } from "./load.ts";
import { DemoFleet } from "./demo_fleet.ts";

/** Time during which the callers send requests, in ms. */
const LOAD_MS = 16_000;
/** Maximum time from the acceptance of a change until it is in force, in ms. */
const CONVERGENCE_TARGET_MS = 13_000;
/** Maximum control traffic per daemon, in bytes per second. */
const CONTROL_TARGET_BYTES_PER_S = 21_000;

const startedAtMs = performance.now();
const failures: string[] = [];

function print(text: string): void {
  const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(1);
  process.stdout.write(`[${seconds.padStart(5)} s] ${text}\n`);
}

function check(isOk: boolean, description: string): void {
  print(`${isOk ? "ok  " : "FAIL"} ${description}`);
  if (!isOk) failures.push(description);
}

async function main(): Promise<void> {
  const fleet = new DemoFleet();
  await fleet.open();
  try {
    await runDemo(fleet);
  } finally {
    await fleet.close();
  }
}

async function runDemo(fleet: DemoFleet): Promise<void> {
  print("accepting the Association's configuration");
  const first = await fleet.command("apply", fleet.directory);
  check(first.code === 0, "version 1 is accepted");
  print("starting 11 daemons and 11 backend servers in 3 failure domains");
  await fleet.startInstances();
  await waitForMembership(fleet);
  const load = new Load(fleet);
  const before = await readControlBytes(fleet);
  print(`sending requests through all daemons for ${LOAD_MS / 1_000} s`);
  const loadRun = load.run(LOAD_MS);
  await sleep(2_000);
  await checkRefusals(fleet);
  await changeConfiguration(fleet);
  await replaceInstance(fleet);
  await loadRun;
  await report(fleet, load, before);
}

async function waitForMembership(fleet: DemoFleet): Promise<void> {
  await Promise.all(fleet.instances.map(({ daemon }) =>
    until(
      async () => {
        const members = await fetchLiveMembers(daemon);
        return members.filter((member) => member.backendReady).length === 11;
      },
      `${daemon.plan.instance} knows 11 backend servers`,
      20_000,
    )
  ));
  check(true, "each daemon knows 11 ready backend servers");
}

async function checkRefusals(fleet: DemoFleet): Promise<void> {
  const file = join(fleet.directory, "base.jsonc");
  const validText = readFileSync(file, "utf8");
  writeFileSync(
    file,
    validText.replace('"service": "order"', '"service": "ordre"'),
  );
  const result = await fleet.command("apply", fleet.directory);
  writeFileSync(file, validText);
  check(
    result.code === 1 && /base\.jsonc:\d+:\d+/.test(result.output),
    "a route to an unknown service is rejected with line and column",
  );
  const { ingress } = fleet.instances[0]!.daemon;
  const response = await call(ingress, "/stock/1", { token: "printers-token" });
  check(
    response.status === 403 && response.outcome === "not-run",
    "a caller that the owner did not approve is rejected as not run",
  );
}

async function changeConfiguration(fleet: DemoFleet): Promise<void> {
  const file = join(fleet.directory, "base.jsonc");
  const route =
    '"sizes": { "pathPrefix": "/sizes", "methods": ["GET"], "service": "lookup" },';
  const text = readFileSync(file, "utf8")
    .replace('"stock": {', `${route}\n    "stock": {`);
  writeFileSync(file, text);
  print("an operator adds the route /sizes under load");
  const applied = await fleet.command("apply", fleet.directory, "--wait");
  check(applied.code === 0, "apply --wait reports that it is in force");
  const responses = await Promise.all(
    fleet.instances.map(({ daemon }) =>
      call(daemon.ingress, "/sizes/small", { token: "vendors-token" })
    ),
  );
  check(
    responses.every((response) => response.status === 200),
    "the new route works on every daemon",
  );
  const explained = await fleet.command("explain", "version", "2");
  const adopted = explained.json.adopted as { delayMs?: number }[];
  const delaysMs = adopted.map((entry) => entry.delayMs ?? Infinity);
  const { p50Ms, maxMs } = summarize(delaysMs);
  check(
    Math.max(...delaysMs) <= CONVERGENCE_TARGET_MS,
    `in force on ${delaysMs.length} daemons after ${p50Ms} ms (median), ${maxMs} ms (last)`,
  );
}

async function replaceInstance(fleet: DemoFleet): Promise<void> {
  const leaving = fleet.instances.find((instance) =>
    instance.service === "lookup"
  )!;
  print(`${leaving.daemon.plan.instance} is replaced under load`);
  const code = await leaving.daemon.child.stop();
  check(code === 0, "its daemon stopped gracefully");
  await leaving.backend.close();
  leaving.daemon.restart();
  await leaving.daemon.waitForVersion(2);
  leaving.backend = await fleet.startBackend(leaving.daemon, "lookup");
  await until(
    async () => {
      const members = await fetchLiveMembers(fleet.instances.at(-1)!.daemon);
      return members.filter((member) => member.backendReady).length === 11;
    },
    "the new instance accepts requests",
  );
  check(true, "the new instance holds version 2 and accepts requests");
}

async function report(
  fleet: DemoFleet,
  load: Load,
  before: readonly number[],
): Promise<void> {
  const kinds: Kind[] = ["lookup", "order", "proof"];
  print("kind     sent    ok  p50 ms  p99 ms");
  for (const kind of kinds) {
    const { answers } = load.records[kind];
    const served = answers.filter((response) => response.status === 200);
    const { p50Ms, p99Ms } = summarize(
      served.map((response) => response.latencyMs),
    );
    const columns = [answers.length, served.length, round(p50Ms), round(p99Ms)];
    print(
      kind.padEnd(7) +
        columns.map((column) => String(column).padStart(7)).join(" "),
    );
    check(
      served.length === answers.length,
      `every ${kind} was served, by a retry if necessary`,
    );
  }
  check(
    load.records.proof.answers.every(isWholeProof),
    "every proof has a complete response body",
  );
  await checkOrders(fleet, load);
  await checkControl(fleet, before);
}

async function checkOrders(fleet: DemoFleet, load: Load): Promise<void> {
  const executions = await Promise.all(
    fleet.instances.map(({ backend }) => backend.executions()),
  );
  const runs = new Map<string, number>();
  for (const { key } of executions.flat()) {
    if (key !== "") runs.set(key, (runs.get(key) ?? 0) + 1);
  }
  const duplicated = [...runs.values()].filter((count) => count > 1).length;
  const missing =
    load.records.order.keys.filter((key) => !runs.has(key)).length;
  check(
    duplicated === 0 && missing === 0,
    `each of ${load.records.order.keys.length} orders ran exactly once`,
  );
}

async function checkControl(
  fleet: DemoFleet,
  before: readonly number[],
): Promise<void> {
  const after = await readControlBytes(fleet);
  const rates = after.flatMap((bytes, index) => {
    const deltaBytes = bytes - before[index]!;
    // The replaced daemon's counters restart at 0, below their earlier values.
    return deltaBytes > 0 ? [deltaBytes / (LOAD_MS / 1_000)] : [];
  });
  const maxRate = Math.round(Math.max(...rates));
  check(
    maxRate <= CONTROL_TARGET_BYTES_PER_S,
    `control: ${
      Math.round(median(rates))
    } bytes/s per daemon (median), ${maxRate} (max)`,
  );
}

async function readControlBytes(fleet: DemoFleet): Promise<number[]> {
  const pages = await Promise.all(
    fleet.instances.map(({ daemon }) =>
      daemon.fetchPage<{ controlBytes: number }>("/statistics")
    ),
  );
  return pages.map((page) => page.controlBytes);
}

await main();
print(
  failures.length === 0 ? "all checks passed" : `${failures.length} failed`,
);
process.exit(failures.length === 0 ? 0 : 1);
