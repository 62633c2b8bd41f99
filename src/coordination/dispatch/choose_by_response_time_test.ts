import { test } from "uvu";
import * as assert from "uvu/assert";
import { type BackendRecord, BackendState } from "../../protocol/mesh.ts";
import { MeshReason } from "../../protocol/mesh_call.ts";
import { Random } from "../../protocol/random.ts";
import { chooseByResponseTime } from "./choose_by_response_time.ts";
import { DestinationStats } from "./destination_stats.ts";
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
function chosenId(bodyBytes: number, linkMbps: number): string | undefined {
  const busy = new DestinationStats();
  for (let index = 0; index < 10; index++) busy.recordPermitWait(900, 0);
  const free = new DestinationStats();
  // The transit time makes it the worse choice unless permits are needed.
  free.recordTransit(300, 0);
  const records = [record("busy", linkMbps), record("free", linkMbps)];
  return chooseByResponseTime(records, {
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

test("chooseByResponseTime() routes uploads around a link with a permit queue", () => {
  assert.equal({
    upload: chosenId(60_000, 7),
    call: chosenId(0, 7),
    uploadOverFastLink: chosenId(60_000, 1_000),
  }, { upload: "free", call: "busy", uploadOverFastLink: "busy" });
});

/** Chooses between a local destination with a queue and a free remote one. */
function chosenDomain(
  responseBytes: number,
  local: { readonly waitMs: number; readonly failures?: number },
): string | undefined {
  const queued = new DestinationStats();
  queued.recordLoad("plans", {
    running: 9,
    queued: 3,
    limit: 9,
    waitMs: local.waitMs,
    failureShare: 0,
    pace: 1,
  }, 0);
  const free = new DestinationStats();
  for (let index = 0; index < (local.failures ?? 0); index++) {
    queued.recordSend("plans");
    queued.recordOutcome(["plans"], {
      kind: "unknown",
      reason: MeshReason.Broken,
    }, 0);
  }
  return chooseByResponseTime([record("a", 0, "a"), record("b", 0, "b")], {
    costKey: ["plans"],
    costs: new RequestCosts(),
    bodyBytes: 0,
    responseBytes,
    objectiveAtMs: 4_000,
    deadlineMs: 6_000,
    localDomain: "a",
    nowMs: 0,
    excluded: new Set(),
    statsOf: ({ id }) => id === "a" ? queued : free,
    random: new Random(1),
  })?.record.domain;
}

// Pattern: large responses of a service with one server in each domain.
test("chooseByResponseTime() keeps large responses in the domain unless it fails", () => {
  assert.equal({
    small: chosenDomain(1_000, { waitMs: 200 }),
    large: chosenDomain(90_000, { waitMs: 200 }),
    largeBehindLongQueue: chosenDomain(90_000, { waitMs: 900 }),
    largeAtFailingServer: chosenDomain(90_000, { waitMs: 0, failures: 9 }),
  }, {
    small: "b",
    large: "a",
    largeBehindLongQueue: "b",
    largeAtFailingServer: "b",
  });
});

test.run();
