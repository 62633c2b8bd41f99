import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type BackendRecord, BackendState } from "../protocol/mesh.ts";
import { BackendDirectory } from "../state/backend_directory.ts";
import { RouteTableHolder } from "../state/route_table_holder.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { encodeRecord, RECORD_PREFIX } from "./backend_record_codec.ts";
import type { MeshConfigSource } from "./ports.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import { ConfigOrigin, StoreEntryApplier } from "./store_entry_applier.ts";

const RECORD: BackendRecord = {
  id: "i-1",
  instance: "a-1",
  service: "stock",
  domain: "a",
  peerAddress: "127.0.0.1:1",
  slots: 12,
  state: BackendState.Ready,
  bornAtUnixMs: 1,
  linkMbps: 7,
};
/** Longer than a record may be missing where no store was restored, in ms. */
const MISSING_MS = 4_200;

function entryOf(record: BackendRecord) {
  return {
    key: RECORD_PREFIX + record.instance,
    value: encodeRecord(record),
    modRevision: 3,
    leaseId: "7",
  };
}

function createApplier(era: number | undefined, removed: string[] = []) {
  const directory = new BackendDirectory();
  const applier = new StoreEntryApplier({
    configSource: { key: "config" } as unknown as MeshConfigSource,
    routes: new RouteTableHolder(),
    directory,
    quarantine: {
      mergeReports: () => {},
    } as unknown as RequestQuarantine,
    log: new EventLog({ sink: { write: () => {}, close: () => {} } }),
    onConfigAdopted: () => {},
    onLocalRecord: () => {},
    localKey: "own",
    linkMbps: 0,
    onRemoved: (instance) => removed.push(instance),
    isConnected: () => true,
    newestPeerVersion: () => 0,
    viewAgeMs: () => 0,
    era: () => era,
    mayBeOutdated: () => false,
  });
  return { applier, directory };
}

// Guards against a record that only the copy holds: its lease is gone, so that
// nothing removes it.
test("StoreEntryApplier.applyEntry() takes a record of a former era for missing", () => {
  const isMissing = (era: number | undefined, leaseEra?: number) => {
    const { applier, directory } = createApplier(era);
    const record = leaseEra === undefined ? RECORD : { ...RECORD, leaseEra };
    applier.applyEntry(entryOf(record), ConfigOrigin.Listing);
    applier.stop();
    return directory.get("a-1")!.missingSinceMs > 0;
  };
  assert.equal([
    isMissing(2, 1),
    isMissing(2, 2),
    isMissing(2),
    isMissing(undefined),
  ], [true, false, false, false]);
});

// Guards against a fleet that drops all of its daemons before they have written
// their records again.
test("StoreEntryApplier.markMissing() keeps daemons longer after a restore", async () => {
  const removed: string[] = [];
  const restored = createApplier(2, removed);
  restored.applier.startEra();
  const single = createApplier(undefined, removed);
  const second = { ...RECORD, instance: "b-1" };
  restored.applier.applyEntry(entryOf(RECORD), ConfigOrigin.Listing);
  single.applier.applyEntry(entryOf(second), ConfigOrigin.Listing);
  restored.applier.markMissing(RECORD_PREFIX + "a-1");
  single.applier.markMissing(RECORD_PREFIX + "b-1");
  await sleep(MISSING_MS);
  assert.equal([removed, restored.directory.size], [["b-1"], 1]);
  restored.applier.stop();
  single.applier.stop();
});

test.run();
