import { Buffer } from "node:buffer";
import { create } from "@bufbuild/protobuf";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { StoreServer } from "../../../fakes/store_server.ts";
import {
  ClaimBatchSchema,
  ClaimEntrySchema,
} from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { FailureKind } from "../../protocol/step_error.ts";
import { EtcdStore } from "../../transport/store/etcd_store.ts";
import { ClaimLog } from "./claim_log.ts";

const SLOT = "slots/claims/0";

let server: StoreServer;
let store: EtcdStore;

test.before.each(async () => {
  server = new StoreServer({ writesPerSecond: 1e6, readsPerSecond: 1e6 });
  const port = await server.listen(0);
  store = new EtcdStore([`127.0.0.1:${port}`], { callsPerSecond: 10_000 });
});

test.after.each(async () => {
  await store.close();
  await server.close();
});

async function takeSlot(): Promise<ClaimLog> {
  const leaseId = (await store.grantLease(60))._unsafeUnwrap();
  const taken = await store.commit({
    conditions: [{ kind: "absent", key: SLOT }],
    writes: [{ kind: "put", key: SLOT, value: "me", leaseId }],
  });
  const { succeeded, revision } = taken._unsafeUnwrap();
  assert.ok(succeeded);
  return new ClaimLog(store, { partition: 0, slotKey: SLOT, epoch: revision });
}

function batch(sequence: number, key: string, epoch = 1) {
  const entry = create(ClaimEntrySchema, {
    key: Buffer.from(key),
    requestId: `r-${key}`,
    expiresAtMs: 1,
  });
  return create(ClaimBatchSchema, { epoch, sequence, entries: [entry] });
}

async function keysIn(log: ClaimLog): Promise<string> {
  const entries = (await log.load())._unsafeUnwrap();
  return entries.map((entry) => Buffer.from(entry.key).toString()).join();
}

test("append() refuses a holder whose lease lapsed while it was paused", async () => {
  const paused = await takeSlot();
  assert.ok((await paused.append(batch(1, "a"))).isOk());
  server.data.lapseAll();
  const next = await takeSlot();
  assert.is(await keysIn(next), "a");
  const late = await paused.append(batch(2, "b"));
  assert.is(late._unsafeUnwrapErr().kind, FailureKind.Conflict);
  assert.is(await keysIn(next), "a");
});

test("append() succeeds when only its answer was lost", async () => {
  const log = await takeSlot();
  server.faults.lostAnswers = 1;
  assert.ok((await log.append(batch(1, "a"))).isOk());
  assert.ok((await log.append(batch(2, "b"))).isOk());
  assert.is(await keysIn(log), "a,b");
});

test("load() keeps the order of commits across compaction", async () => {
  const log = await takeSlot();
  for (let sequence = 1; sequence <= 64; sequence++) {
    await log.append(batch(sequence, `k${sequence}`));
  }
  assert.ok(log.wantsCompaction);
  const entries = (await log.load())._unsafeUnwrap();
  assert.ok((await log.compact(entries.slice(60))).isOk());
  await log.append(batch(log.nextSequence, "later"));
  const reader = new ClaimLog(store, {
    partition: 0,
    slotKey: SLOT,
    epoch: 0,
  });
  assert.is(await keysIn(reader), "k61,k62,k63,k64,later");
  assert.is(reader.nextSequence, 66);
});

test.run();
