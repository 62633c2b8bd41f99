import { setTimeout as sleep } from "node:timers/promises";
import { okAsync } from "neverthrow";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type BackendRecord, BackendState } from "../protocol/mesh.ts";
import { until } from "../../testkit/until.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { TextMetrics } from "../transport/observe/text_metrics.ts";
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
      return okAsync({ leaseId: "new" });
    },
    renewLease: (leaseId: string) => {
      calls.push(`renew ${leaseId}`);
      return okAsync({ ttlS: options.renewedTtlS });
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
    metrics: new TextMetrics(),
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

/** A publisher with a store whose responses name an era. */
class RestoredStore {
  era = 1;
  readonly calls: string[] = [];
  readonly publisher: RecordPublisher;
  #leases = 0;

  constructor() {
    const store = {
      grantLease: () => {
        this.calls.push("grant");
        return okAsync({ leaseId: `l${++this.#leases}`, era: this.era });
      },
      renewLease: (leaseId: string) => {
        this.calls.push(`renew ${leaseId}`);
        return okAsync({ ttlS: 10, era: this.era });
      },
      commit: ({ writes }: { readonly writes: { leaseId?: string }[] }) => {
        this.calls.push(`put with ${writes[0]!.leaseId}`);
        const { era } = this;
        return okAsync({ succeeded: true, revision: 9, entries: [], era });
      },
    } as unknown as MeshStore;
    this.publisher = new RecordPublisher({
      store,
      instance: RECORD.instance,
      log: new EventLog({ sink: { write: () => {}, close: () => {} } }),
      metrics: new TextMetrics(),
    });
  }
}

// Guards against a lease whose id the restored store has granted to another
// daemon, and against records that the copy has and that no lease removes.
test("RecordPublisher.enterEra() has the record written again, once, with a new lease", async () => {
  const store = new RestoredStore();
  const stopped = new AbortController();
  void store.publisher.run(stopped.signal);
  store.publisher.enterEra(1, undefined);
  store.publisher.handleStoredEntry(undefined);
  store.publisher.publish(RECORD);
  await sleep(20);
  store.era = 2;
  store.publisher.enterEra(2, 30);
  store.publisher.handleStoredEntry({
    key: store.publisher.key,
    value: encodeRecord({ ...RECORD, leaseEra: 1 }),
    modRevision: 3,
    leaseId: "l1",
  });
  const before = [...store.calls];
  await sleep(100);
  stopped.abort();
  assert.equal({ before, after: store.calls }, {
    before: ["grant", "put with l1"],
    after: ["grant", "put with l1", "grant", "put with l2"],
  });
});

// Guards against a change, such as draining, that waits as long as a record that
// is only written again.
test("RecordPublisher.publish() writes a change at once after a restore", async () => {
  const store = new RestoredStore();
  const stopped = new AbortController();
  void store.publisher.run(stopped.signal);
  store.publisher.enterEra(1, undefined);
  store.publisher.handleStoredEntry(undefined);
  store.publisher.publish(RECORD);
  await sleep(20);
  store.era = 2;
  store.publisher.enterEra(2, 60_000);
  store.publisher.publish(RECORD);
  store.publisher.publish({ ...RECORD, state: BackendState.Draining });
  await sleep(20);
  stopped.abort();
  assert.equal(store.calls.slice(2), ["grant", "put with l2"]);
});

// Guards against a write under a lease of the former era: the response names an
// era that the view does not show yet.
test("RecordPublisher.run() gives up a lease once a response is of a later era", async () => {
  const store = new RestoredStore();
  const stopped = new AbortController();
  void store.publisher.run(stopped.signal);
  store.publisher.enterEra(1, undefined);
  store.publisher.handleStoredEntry(undefined);
  store.publisher.publish(RECORD);
  await sleep(20);
  store.era = 2;
  store.publisher.publish({ ...RECORD, slots: 5 });
  await sleep(20);
  const before = store.calls.slice(2);
  store.publisher.enterEra(2, 0);
  await sleep(20);
  stopped.abort();
  assert.equal({ before, after: store.calls.slice(3) }, {
    before: ["put with l1"],
    after: ["grant", "put with l2"],
  });
});

// Pattern: all daemons restart. Guards against the lease of a former era.
test("RecordPublisher.handleStoredEntry() adopts only a lease of the same era", async () => {
  const callsFor = async (leaseEra: number) => {
    const store = new RestoredStore();
    const stopped = new AbortController();
    store.era = 2;
    void store.publisher.run(stopped.signal);
    await sleep(1);
    store.publisher.enterEra(2, undefined);
    store.publisher.handleStoredEntry({
      key: store.publisher.key,
      value: encodeRecord({ ...RECORD, leaseEra }),
      modRevision: 3,
      leaseId: "old",
    });
    store.publisher.publish(RECORD);
    await sleep(20);
    stopped.abort();
    return store.calls;
  };
  assert.equal([await callsFor(2), await callsFor(1)], [
    ["renew old"],
    ["grant", "put with l1"],
  ]);
});

// Guards against a record that is never written again: one response named a
// later era by mistake, which no view will ever show.
test("RecordPublisher.run() goes on if no view shows the era of a response", async () => {
  const store = new RestoredStore();
  const stopped = new AbortController();
  void store.publisher.run(stopped.signal);
  store.publisher.enterEra(1, undefined);
  store.publisher.handleStoredEntry(undefined);
  store.publisher.publish(RECORD);
  await sleep(20);
  store.era = 9;
  store.publisher.publish({ ...RECORD, slots: 5 });
  await sleep(20);
  store.era = 1;
  await until(() => store.calls.includes("put with l2"), "it writes again");
  stopped.abort();
  assert.equal(store.calls.slice(2), ["put with l1", "grant", "put with l2"]);
});

test.run();
