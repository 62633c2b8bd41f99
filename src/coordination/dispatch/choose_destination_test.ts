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

/** Chooses between a destination with a queue for permits and a free one. */
function chosenId(bodyBytes: number, linkMbps: number): string | undefined {
  const busy = new DestinationStats();
  for (let index = 0; index < 10; index++) busy.recordPermitWait(900, 0);
  const free = new DestinationStats();
  // The transit time makes it the worse choice unless permits are needed.
  free.recordTransit(300, 0);
  const records = [record("busy", linkMbps), record("free", linkMbps)];
  return chooseDestination(records, {
    route: "upload",
    bodyBytes,
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

test.run();
