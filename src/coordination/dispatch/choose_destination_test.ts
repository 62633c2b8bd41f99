import { test } from "uvu";
import * as assert from "uvu/assert";
import { type BackendRecord, BackendState } from "../../protocol/mesh.ts";
import { MeshReason } from "../../protocol/mesh_call.ts";
import { Random } from "../../protocol/random.ts";
import { chooseByResponseTime } from "./choose_by_response_time.ts";
import { chooseDestination } from "./choose_destination.ts";
import { DestinationStats } from "./destination_stats.ts";
import { DomainLoad } from "./domain_load.ts";
import { RequestCosts } from "./request_costs.ts";

function record(id: string, linkMbps: number, domain = "a"): BackendRecord {
  return {
    id,
    instance: id,
    service: "proofs",
    domain,
    peerAddress: "127.0.0.1:1",
    slots: 12,
    state: BackendState.Ready,
    bornAtUnixMs: 1,
    linkMbps,
  };
}

/** Chooses between a destination with a queue for permits and a free one. */
function chosenId(
  bodyBytes: number,
  linkMbps: number,
  choose = chooseDestination,
): string | undefined {
  const busy = new DestinationStats();
  for (let index = 0; index < 10; index++) busy.recordPermitWait(900, 0);
  const free = new DestinationStats();
  // The transit time makes it the worse choice unless permits are needed.
  free.recordTransit(300, 0);
  const records = [record("busy", linkMbps), record("free", linkMbps)];
  return choose(records, {
    costKey: ["upload"],
    costs: new RequestCosts(),
    bodyBytes,
    responseBytes: 0,
    objectiveAtMs: 4_000,
    deadlineMs: 6_000,
    localDomain: "a",
    nowMs: 0,
    excluded: new Set(),
    statsOf: (one) => one.id === "busy" ? busy : free,
    random: new Random(1),
  })?.record.id;
}

test("chooseDestination() routes uploads around a link with a permit queue", () => {
  assert.equal({
    upload: chosenId(60_000, 7),
    call: chosenId(0, 7),
    uploadOverFastLink: chosenId(60_000, 1_000),
  }, { upload: "free", call: "busy", uploadOverFastLink: "busy" });
});

/** Chooses between a local destination with a queue and a free remote one. */
function chosenDomain(
  responseBytes: number,
  local: {
    readonly waitMs: number;
    readonly failures?: number;
    readonly objectiveMs?: number;
  },
  choose = chooseDestination,
): string | undefined {
  const costs = new RequestCosts();
  for (let index = 0; index < 20; index++) costs.record(["plans"], 90, 0);
  const queued = new DestinationStats(costs);
  queued.recordLoad("plans", {
    running: 9,
    queued: 3,
    limit: 9,
    waitMs: local.waitMs,
    failureShare: 0,
    pace: 1,
  }, 0);
  const free = new DestinationStats(costs);
  for (let index = 0; index < (local.failures ?? 0); index++) {
    queued.recordSend("plans");
    queued.recordOutcome(["plans"], {
      kind: "unknown",
      reason: MeshReason.Broken,
    }, 0);
  }
  const objectiveMs = local.objectiveMs ?? 4_000;
  return choose([record("a", 0, "a"), record("b", 0, "b")], {
    costKey: ["plans"],
    costs,
    bodyBytes: 0,
    responseBytes,
    objectiveAtMs: objectiveMs,
    deadlineMs: objectiveMs * 2,
    localDomain: "a",
    nowMs: 0,
    excluded: new Set(),
    statsOf: ({ id }) => id === "a" ? queued : free,
    random: new Random(1),
  })?.record.domain;
}

// Pattern: large responses of a service with one server in each domain.
test("chooseDestination() keeps large responses in the domain unless it fails", () => {
  assert.equal({
    inTimeAtHome: chosenDomain(90_000, { waitMs: 900 }),
    lateAtHome: chosenDomain(90_000, { waitMs: 600, objectiveMs: 430 }),
    atFailingServer: chosenDomain(90_000, { waitMs: 0, failures: 9 }),
    hugeLateAtHome: chosenDomain(540_000, { waitMs: 600, objectiveMs: 430 }),
  }, {
    inTimeAtHome: "a",
    lateAtHome: "a",
    atFailingServer: "b",
    hugeLateAtHome: "a",
  });
});

// Pattern: a domain with a queue answered too late while others were idle.
test("chooseDestination() sends small responses away that would be late at home", () => {
  const waits = [0, 100, 260, 600, 4_000];
  assert.equal({
    short: waits.map((waitMs) =>
      chosenDomain(5_000, { waitMs, objectiveMs: 430 })
    ),
    relaxed: waits.map((waitMs) =>
      chosenDomain(5_000, { waitMs, objectiveMs: 4_000 })
    ),
  }, {
    short: ["a", "a", "b", "b", "b"],
    relaxed: ["a", "a", "a", "a", "b"],
  });
});

// Pattern: a daemon hears from each of many servers rarely.
test("chooseDestination() prefers servers that were lately free to those unheard of", () => {
  const records = Array.from(
    { length: 100 },
    (_, index) => record(`s${index}`, 0),
  );
  const costs = new RequestCosts();
  const domainLoad = new DomainLoad();
  const stats = records.map(() => new DestinationStats(costs, domainLoad));
  const load = { queued: 0, limit: 4, failureShare: 0, pace: 1 };
  for (const one of stats) {
    one.recordLoad("plans", { ...load, running: 4, waitMs: 100 }, 0);
  }
  stats[42]!.recordLoad("plans", { ...load, running: 1, waitMs: 0 }, 500);
  const random = new Random(1);
  const chosen = Array.from({ length: 4 }, () => {
    const choice = chooseDestination(records, {
      costKey: ["plans"],
      costs,
      bodyBytes: 0,
      responseBytes: 0,
      objectiveAtMs: 930,
      deadlineMs: 2_000,
      localDomain: "a",
      nowMs: 501,
      excluded: new Set(),
      statsOf: ({ id }) => stats[Number(id.slice(1))]!,
      random,
    });
    const id = choice!.record.id;
    stats[Number(id.slice(1))]!.recordSend("plans");
    return id;
  });
  // It has three free slots.
  assert.equal(chosen.map((id) => id === "s42"), [true, true, true, false]);
});

test("chooseByResponseTime() routes uploads around a link with a permit queue", () => {
  const choose = chooseByResponseTime;
  assert.equal({
    upload: chosenId(60_000, 7, choose),
    call: chosenId(0, 7, choose),
    uploadOverFastLink: chosenId(60_000, 1_000, choose),
  }, { upload: "free", call: "busy", uploadOverFastLink: "busy" });
});

// Pattern: large responses of a service with one server in each domain.
test("chooseByResponseTime() keeps large responses in the domain unless it fails", () => {
  const choose = chooseByResponseTime;
  assert.equal({
    small: chosenDomain(1_000, { waitMs: 200 }, choose),
    large: chosenDomain(90_000, { waitMs: 200 }, choose),
    largeBehindLongQueue: chosenDomain(90_000, { waitMs: 900 }, choose),
    largeAtFailingServer: chosenDomain(
      90_000,
      { waitMs: 0, failures: 9 },
      choose,
    ),
  }, {
    small: "b",
    large: "a",
    largeBehindLongQueue: "b",
    largeAtFailingServer: "b",
  });
});

test.run();
