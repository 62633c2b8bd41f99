import { Buffer } from "node:buffer";
import { create } from "@bufbuild/protobuf";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { StoreServer } from "../../../fakes/store_server.ts";
import {
  type ClaimEntry,
  ClaimEntrySchema,
} from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { EtcdStore } from "../../transport/store/etcd_store.ts";
import { ClaimLog } from "./claim_log.ts";

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

function openLog(writer = "one"): ClaimLog {
  return new ClaimLog(store, { partition: 0, writer });
}

function entry(key: string) {
  return create(ClaimEntrySchema, {
    key: Buffer.from(key),
    requestId: `r-${key}`,
    expiresAtMs: 1,
  });
}

function keysOf(entries: readonly ClaimEntry[]): string {
  return entries.map(({ key }) => Buffer.from(key).toString()).join();
}

/** Appends a batch of one entry and returns its outcome as text. */
async function appendKey(log: ClaimLog, key: string): Promise<string> {
  const outcome = (await log.append([entry(key)]))._unsafeUnwrap();
  switch (outcome.kind) {
    case "durable":
      return "durable";
    case "conflict":
      return `conflict with ${keysOf(outcome.committed)}`;
  }
}

async function loadKeys(log: ClaimLog): Promise<string> {
  return keysOf((await log.load())._unsafeUnwrap());
}

test("append() fails for a writer that has not read another writer's batch", async () => {
  const paused = openLog("paused");
  assert.is(await appendKey(paused, "a"), "durable");
  const next = openLog("next");
  assert.is(await loadKeys(next), "a");
  assert.is(await appendKey(next, "b"), "durable");
  assert.is(await appendKey(paused, "c"), "conflict with b");
  assert.is(await loadKeys(openLog("reader")), "a,b");
});

test("append() succeeds after catchUp() read the batches of other writers", async () => {
  const one = openLog("one");
  const two = openLog("two");
  assert.is(await appendKey(one, "a"), "durable");
  const first = (await two.catchUp())._unsafeUnwrap();
  assert.is(keysOf(first), "a");
  assert.is(await appendKey(two, "b"), "durable");
  const second = (await one.catchUp())._unsafeUnwrap();
  assert.is(keysOf(second), "b");
  assert.equal((await one.catchUp())._unsafeUnwrap(), []);
  assert.is(await appendKey(one, "c"), "durable");
  assert.is(await loadKeys(openLog("reader")), "a,b,c");
});

test("catchUp() reads all entries after another writer compacted the log", async () => {
  const one = openLog("one");
  const two = openLog("two");
  assert.is(await appendKey(one, "a"), "durable");
  await two.load();
  assert.is(await appendKey(two, "b"), "durable");
  assert.ok((await two.compact([entry("b")])).isOk());
  const read = (await one.catchUp())._unsafeUnwrap();
  assert.is(keysOf(read), "b");
  assert.is(await appendKey(one, "c"), "durable");
  assert.ok((await one.compact([entry("c")])).isOk());
  assert.is(await loadKeys(openLog("reader")), "c");
});

test("append() succeeds when only the store's response was lost", async () => {
  const log = openLog();
  server.faults.lostAnswers = 1;
  assert.is(await appendKey(log, "a"), "durable");
  assert.is(await appendKey(log, "b"), "durable");
  assert.is(await loadKeys(log), "a,b");
});

test("load() preserves the commit order across a compaction", async () => {
  const log = openLog();
  for (let number = 1; number <= 64; number++) {
    await log.append([entry(`k${number}`)]);
  }
  assert.ok(log.shouldCompact);
  const entries = (await log.load())._unsafeUnwrap();
  assert.ok((await log.compact(entries.slice(60))).isOk());
  assert.is(log.shouldCompact, false);
  await log.append([entry("later")]);
  const reader = openLog("reader");
  assert.is(await loadKeys(reader), "k61,k62,k63,k64,later");
  assert.is(reader.sequence, 65);
});

test.run();
