import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type OrganisationLoad,
  runOrganisationLoad,
} from "../../../testkit/organisation_loads.ts";
import type { WorkItem } from "./work_item.ts";
import { WorkQueue } from "./work_queue.ts";

/** Least share of an organisation, relative to that of all. */
const REQUIRED_SHARE = 0.25;
const USUAL = { usual: 0.85, surging: [], factor: 8.5, resending: 0 };
/** Reads of 75 organisations, with sizes by a Zipf distribution of 1.2. */
const LOADS: readonly OrganisationLoad[] = [
  { ...USUAL, name: "usual traffic" },
  { ...USUAL, name: "as much as the slots can run", usual: 1 },
  { ...USUAL, name: "1.2 times what the slots can run", usual: 1.2 },
  { ...USUAL, name: "the largest at 8.5 times", surging: [0] },
  { ...USUAL, name: "the same at 1.2", usual: 1.2, surging: [0] },
  { ...USUAL, name: "the fifth at 8.5 times", surging: [4] },
  { ...USUAL, name: "three at 8.5 times", surging: [0, 3, 8] },
  { ...USUAL, name: "three at 1.2", usual: 1.2, surging: [1, 4, 10] },
  { ...USUAL, name: "4 in 10 callers send three copies", resending: 0.4 },
  {
    ...USUAL,
    name: "the second at 8.5 times, and copies",
    surging: [1],
    resending: 0.4,
  },
  {
    ...USUAL,
    name: "every other of a lower rank",
    usual: 1.3,
    oddPriority: 1,
  },
];

/**
 * Shares served in time in the former order and with fair shares: of all, of
 * the worst tenth of the organisations, and of the worst relative to all.
 */
const SERVED: readonly string[] = [
  "usual traffic: 1 to 1, 1 to 1, 1 to 1",
  "as much as the slots can run: 0.973 to 0.973, 0.874 to 0.972, 0.856 to 0.934",
  "1.2 times what the slots can run: 0.732 to 0.848, 0.536 to 0.915, 0.455 to 0.669",
  "the largest at 8.5 times: 0.281 to 0.37, 0.076 to 0.884, 0 to 0.544",
  "the same at 1.2: 0.191 to 0.263, 0.006 to 0.721, 0 to 0.386",
  "the fifth at 8.5 times: 0.832 to 0.903, 0.621 to 0.951, 0.534 to 0.867",
  "three at 8.5 times: 0.237 to 0.321, 0.044 to 0.736, 0 to 0.357",
  "three at 1.2: 0.256 to 0.354, 0.042 to 0.599, 0 to 0.328",
  "4 in 10 callers send three copies: 0.629 to 0.729, 0.392 to 0.793, 0.265 to 0.498",
  "the second at 8.5 times, and copies: 0.339 to 0.404, 0.084 to 0.662, 0 to 0.417",
  "every other of a lower rank: 0.611 to 0.784, 0.43 to 0.533, 0.273 to 0.392",
];

interface NamedItem extends WorkItem {
  readonly name: string;
}

function read(name: string, fields: Partial<NamedItem> = {}): NamedItem {
  return {
    name,
    route: "read",
    priority: 0,
    objectiveAtMs: 869,
    deadlineMs: 1_500,
    arrivedAtMs: 0,
    organisation: name[0]!,
    ...fields,
  };
}

function newQueue(slots: number): WorkQueue<NamedItem> {
  const queue = new WorkQueue<NamedItem>(slots);
  queue.serviceTimes.record("read", 289);
  return queue;
}

// Failure: one organisation at 8.5 times its usual traffic gets others refused.
test("WorkQueue serves other organisations while some send many times their usual traffic", () => {
  const rows = LOADS.map((load) => ({
    name: load.name,
    former: runOrganisationLoad(load, false),
    fair: runOrganisationLoad(load, true),
  }));
  assert.equal(
    rows.filter(({ former, fair }) =>
      fair.total < former.total || fair.worstTenth < former.worstTenth ||
      fair.leastRelative < REQUIRED_SHARE
    ),
    [],
  );
  assert.equal(
    rows.map(({ name, former, fair }) =>
      `${name}: ${former.inTime} to ${fair.inTime}, ` +
      `${former.worstTenth} to ${fair.worstTenth}, ` +
      `${former.leastRelative} to ${fair.leastRelative}`
    ),
    SERVED,
  );
});

// Failure: a small organisation waits behind the backlog of a large one.
test("dispatch() starts the first request of an organisation before the backlog of another", () => {
  const queue = newQueue(1);
  const kinds = ["a1", "a2", "b1"].map((name, index) =>
    queue.offer(read(name), index).kind
  );
  queue.finish(read("a1"), undefined);
  const [started] = queue.dispatch(10).started;
  assert.equal({ kinds, started: started?.name }, {
    kinds: ["start", "wait", "wait"],
    started: "b1",
  });
});

// Failure: the backlog of one organisation keeps others from the queue.
test("offer() refuses waiting requests of the organisation with the most work for one with less", () => {
  const queue = newQueue(1);
  const offers = ["a1", "a2", "a3", "a4", "b1", "a5"].map((name, index) => {
    const offer = queue.offer(read(name), index);
    return offer.kind === "displace"
      ? offer.displaced.map((one) => one.name)
      : offer.kind;
  });
  assert.equal(offers, ["start", "wait", "wait", "refuse", ["a3"], "refuse"]);
});

// Failure: an organisation of a low rank is never served under a lasting load.
test("offer() serves an organisation of the lowest rank a quarter as often as all", () => {
  const queue = newQueue(1);
  const accepted = { a: 0, z: 0 };
  let running: NamedItem | undefined;
  for (let nowMs = 0; nowMs < 100_000; nowMs += 100) {
    const times = { objectiveAtMs: nowMs + 869, deadlineMs: nowMs + 1_500 };
    for (const organisationPriority of [0, 5]) {
      const name = organisationPriority === 0 ? "a" : "z";
      const fields = { ...times, organisationPriority, arrivedAtMs: nowMs };
      const item = read(name, fields);
      if (queue.offer(item, nowMs).kind === "start") running = item;
    }
    if (nowMs % 300 !== 0 || running === undefined) continue;
    queue.finish(running, undefined);
    running = queue.dispatch(nowMs).started[0];
    if (running !== undefined) accepted[running.name as "a" | "z"]++;
  }
  const shareOfAll = (accepted.a + accepted.z) / 2_000;
  const share = accepted.z / 1_000;
  assert.ok(share >= shareOfAll * REQUIRED_SHARE, JSON.stringify(accepted));
  assert.ok(accepted.a > 3 * accepted.z, JSON.stringify(accepted));
});

test.run();
