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
import { Stage } from "./stage.ts";

/** Time for which the callers work, in ms. */
const LOAD_MS = 16_000;
/** Time that an accepted change may take to be in force, in ms. */
const CONVERGENCE_TARGET_MS = 13_000;
/** Control traffic that a daemon may cause, in bytes a second. */
const CONTROL_TARGET_BYTES_PER_S = 21_000;

const startedAtMs = performance.now();
const failures: string[] = [];

function say(text: string): void {
  const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(1);
  process.stdout.write(`[${seconds.padStart(5)} s] ${text}\n`);
}

function check(holds: boolean, what: string): void {
  say(`${holds ? "ok  " : "FAIL"} ${what}`);
  if (!holds) failures.push(what);
}

async function main(): Promise<void> {
  const stage = new Stage();
  await stage.open();
  try {
    await show(stage);
  } finally {
    await stage.close();
  }
}

async function show(stage: Stage): Promise<void> {
  say("accepting the Association's configuration");
  const first = await stage.command("apply", stage.directory);
  check(first.code === 0, "version 1 is accepted");
  say("starting 11 daemons and 11 backend servers in 3 failure domains");
  await stage.startInstances();
  await knowEachOther(stage);
  const load = new Load(stage);
  const before = await controlBytes(stage);
  say(`callers work for ${LOAD_MS / 1_000} s through all daemons`);
  const working = load.run(LOAD_MS);
  await sleep(2_000);
  await refuseBadInput(stage);
  await changeConfiguration(stage);
  await replaceInstance(stage);
  await working;
  await report(stage, load, before);
}

async function knowEachOther(stage: Stage): Promise<void> {
  await Promise.all(stage.instances.map(({ daemon }) =>
    until(
      async () => {
        const members = await fetchLiveMembers(daemon);
        return members.filter((one) => one.backendReady).length === 11;
      },
      `${daemon.plan.instance} knows 11 backend servers`,
      20_000,
    )
  ));
  check(true, "each daemon knows 11 ready backend servers");
}

async function refuseBadInput(stage: Stage): Promise<void> {
  const file = join(stage.directory, "base.jsonc");
  const good = readFileSync(file, "utf8");
  writeFileSync(file, good.replace('"service": "order"', '"service": "ordre"'));
  const bad = await stage.command("apply", stage.directory);
  writeFileSync(file, good);
  check(
    bad.code === 1 && /base\.jsonc:\d+:\d+/.test(bad.output),
    "a route to an unknown service is refused with line and column",
  );
  const { ingress } = stage.instances[0]!.daemon;
  const answer = await call(ingress, "/stock/1", { token: "printers-token" });
  check(
    answer.status === 403 && answer.outcome === "not-run",
    "a caller that the owner did not approve is refused as not run",
  );
}

async function changeConfiguration(stage: Stage): Promise<void> {
  const file = join(stage.directory, "base.jsonc");
  const route =
    '"sizes": { "pathPrefix": "/sizes", "methods": ["GET"], "service": "lookup" },';
  const text = readFileSync(file, "utf8")
    .replace('"stock": {', `${route}\n    "stock": {`);
  writeFileSync(file, text);
  say("an operator adds the route /sizes while the callers work");
  const applied = await stage.command("apply", stage.directory, "--wait");
  check(applied.code === 0, "apply --wait says that it is in force");
  const answers = await Promise.all(
    stage.instances.map(({ daemon }) =>
      call(daemon.ingress, "/sizes/small", { token: "vendors-token" })
    ),
  );
  check(
    answers.every((answer) => answer.status === 200),
    "the new route works on every daemon",
  );
  const explained = await stage.command("explain", "version", "2");
  const adopted = explained.json.adopted as { delayMs?: number }[];
  const delaysMs = adopted.map((one) => one.delayMs ?? Infinity);
  const { p50Ms, maxMs } = summarize(delaysMs);
  check(
    Math.max(...delaysMs) <= CONVERGENCE_TARGET_MS,
    `in force on ${delaysMs.length} daemons after ${p50Ms} ms (median), ${maxMs} ms (last)`,
  );
}

async function replaceInstance(stage: Stage): Promise<void> {
  const leaving = stage.instances.find((one) => one.service === "lookup")!;
  say(`${leaving.daemon.plan.instance} is replaced under load`);
  const code = await leaving.daemon.child.stop();
  check(code === 0, "its daemon stopped gracefully");
  await leaving.backend.close();
  leaving.daemon.restart();
  await leaving.daemon.waitForVersion(2);
  leaving.backend = await stage.startBackend(leaving.daemon, "lookup");
  await until(
    async () => {
      const members = await fetchLiveMembers(stage.instances.at(-1)!.daemon);
      return members.filter((one) => one.backendReady).length === 11;
    },
    "the new instance takes work",
  );
  check(true, "its successor holds version 2 and takes work");
}

async function report(
  stage: Stage,
  load: Load,
  before: readonly number[],
): Promise<void> {
  const kinds: Kind[] = ["lookup", "order", "proof"];
  say("kind     sent    ok  p50 ms  p99 ms");
  for (const kind of kinds) {
    const { answers } = load.records[kind];
    const served = answers.filter((answer) => answer.status === 200);
    const { p50Ms, p99Ms } = summarize(served.map((one) => one.latencyMs));
    const columns = [answers.length, served.length, round(p50Ms), round(p99Ms)];
    say(
      kind.padEnd(7) + columns.map((one) => String(one).padStart(7)).join(" "),
    );
    check(
      served.length === answers.length,
      `every ${kind} was served in the end`,
    );
  }
  check(
    load.records.proof.answers.every(isWholeProof),
    "every proof came back whole",
  );
  await checkOrders(stage, load);
  await checkControl(stage, before);
}

async function checkOrders(stage: Stage, load: Load): Promise<void> {
  const lists = await Promise.all(
    stage.instances.map(({ backend }) => backend.executions()),
  );
  const runs = new Map<string, number>();
  for (const { key } of lists.flat()) {
    if (key !== "") runs.set(key, (runs.get(key) ?? 0) + 1);
  }
  const doubled = [...runs.values()].filter((count) => count > 1).length;
  const lost = load.records.order.keys.filter((key) => !runs.has(key)).length;
  check(
    doubled === 0 && lost === 0,
    `each of ${load.records.order.keys.length} orders ran exactly once`,
  );
}

async function checkControl(
  stage: Stage,
  before: readonly number[],
): Promise<void> {
  const after = await controlBytes(stage);
  const rates = after.flatMap((bytes, index) => {
    const gained = bytes - before[index]!;
    // The replaced daemon counts from its restart.
    return gained > 0 ? [gained / (LOAD_MS / 1_000)] : [];
  });
  const last = Math.round(Math.max(...rates));
  check(
    last <= CONTROL_TARGET_BYTES_PER_S,
    `control: ${
      Math.round(median(rates))
    } bytes/s a daemon (median), ${last} (most)`,
  );
}

async function controlBytes(stage: Stage): Promise<number[]> {
  const pages = await Promise.all(
    stage.instances.map(({ daemon }) =>
      daemon.fetchPage<{ controlBytes: number }>("/statistics")
    ),
  );
  return pages.map((page) => page.controlBytes);
}

await main();
say(failures.length === 0 ? "all checks held" : `${failures.length} failed`);
process.exit(failures.length === 0 ? 0 : 1);
