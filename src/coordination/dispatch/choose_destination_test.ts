import { test } from "uvu";
import * as assert from "uvu/assert";
import { type BackendRecord, BackendState } from "../../protocol/mesh.ts";
import { Random } from "../../protocol/random.ts";
import { chooseDestination } from "./choose_destination.ts";
import { DestinationStats } from "./destination_stats.ts";

function record(id: string, linkMbps: number): BackendRecord {
  return {
    id,
    instance: id,
    service: "proofs",
    domain: "a",
    peerAddress: "127.0.0.1:1",
    slots: 12,
    state: BackendState.Ready,
    bornAtUnixMs: 1,
    linkMbps,
  };
}

/** Chooses between a destination with a queue for places and a free one. */
function chosen(bodyBytes: number, linkMbps: number): string | undefined {
  const crowded = new DestinationStats();
  for (let index = 0; index < 10; index++) crowded.recordPermitWait(900, 0);
  const free = new DestinationStats();
  // Far enough away that nothing but the places speaks for it.
  free.recordTransit(300, 0);
  const records = [record("crowded", linkMbps), record("free", linkMbps)];
  return chooseDestination(records, {
    route: "upload",
    bodyBytes,
    ownDomain: "a",
    nowMs: 0,
    excluded: new Set(),
    statsOf: (one) => one.id === "crowded" ? crowded : free,
    random: new Random(1),
  })?.record.id;
}

test("chooseDestination() sends a burst of uploads past a crowded link", () => {
  assert.equal({
    upload: chosen(60_000, 7),
    call: chosen(0, 7),
    uploadOverFastLink: chosen(60_000, 1_000),
  }, { upload: "free", call: "crowded", uploadOverFastLink: "crowded" });
});

test.run();
