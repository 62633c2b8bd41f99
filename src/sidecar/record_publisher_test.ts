import { setTimeout as sleep } from "node:timers/promises";
import { okAsync } from "neverthrow";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type BackendRecord, BackendState } from "../protocol/mesh.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { encodeRecord } from "./backend_record_codec.ts";
import type { MeshStore } from "./ports.ts";
import { RecordPublisher } from "./record_publisher.ts";

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

/** Publishes the record where the store has one; returns the store's calls. */
async function callsAfterRestart(
  stored: BackendRecord,
  options: { readonly renewedTtlS: number },
): Promise<readonly string[]> {
  const calls: string[] = [];
  const store = {
    grantLease: () => {
      calls.push("grant");
      return okAsync("new");
    },
    renewLease: (leaseId: string) => {
      calls.push(`renew ${leaseId}`);
      return okAsync(options.renewedTtlS);
    },
    commit: ({ writes }: { readonly writes: { leaseId?: string }[] }) => {
      calls.push(`put with ${writes[0]!.leaseId}`);
      return okAsync({ succeeded: true, revision: 9, entries: [] });
    },
  } as unknown as MeshStore;
  const publisher = new RecordPublisher({
    store,
    instance: RECORD.instance,
    log: new EventLog({ sink: { write: () => {}, close: () => {} } }),
  });
  const stopped = new AbortController();
  void publisher.run(stopped.signal);
  await sleep(1);
  publisher.handleStoredEntry({
    key: publisher.key,
    value: encodeRecord(stored),
    modRevision: 3,
    leaseId: "old",
  });
  publisher.publish(RECORD);
  await sleep(20);
  stopped.abort();
  return calls;
}

// Pattern: many daemons restart; each written record costs all others work.
test("RecordPublisher.run() keeps the record and lease of an earlier process", async () => {
  assert.equal(await callsAfterRestart(RECORD, { renewedTtlS: 10 }), [
    "renew old",
  ]);
});

test("RecordPublisher.run() writes a changed record, or one whose lease has expired", async () => {
  const changed = { ...RECORD, id: "i-0" };
  assert.equal({
    changed: await callsAfterRestart(changed, { renewedTtlS: 10 }),
    expired: await callsAfterRestart(RECORD, { renewedTtlS: 0 }),
  }, {
    changed: ["renew old", "put with old"],
    expired: ["renew old", "grant", "put with new"],
  });
});

test.run();
