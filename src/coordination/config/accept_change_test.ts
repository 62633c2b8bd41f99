import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { StoreServer } from "../../../fakes/store_server.ts";
import { sampleSource } from "../../../testkit/sample_config.ts";
import { ResourceSet } from "../../state/resource_set.ts";
import { EtcdStore } from "../../transport/store/etcd_store.ts";
import { acceptChange, type ConfigChange } from "./accept_change.ts";
import {
  KEPT_VERSIONS,
  pruneHistory,
  readHead,
  readHistory,
  readResources,
  type StoredHead,
} from "./version_records.ts";
import { CHUNK_PREFIX, HEAD_KEY } from "./head_record.ts";

const RESOURCES = ResourceSet.fromSource(sampleSource());

let server: StoreServer;
let store: EtcdStore;

test.before.each(async () => {
  server = new StoreServer({ writesPerSecond: 1e6, readsPerSecond: 1e6 });
  const port = await server.listen(0);
  store = new EtcdStore([`127.0.0.1:${port}`], {
    callsPerSecond: 10_000,
    timeoutMs: 200,
  });
});

test.after.each(async () => {
  await store.close();
  await server.close();
});

function change(
  expected: StoredHead | undefined,
  fields: Partial<ConfigChange> = {},
): ConfigChange {
  return {
    resources: RESOURCES,
    author: "ann",
    note: "n",
    acceptanceId: String(Math.random()),
    acceptedAtMs: 1,
    expectedHead: expected,
    ...fields,
  };
}

async function head(): Promise<StoredHead | undefined> {
  return (await readHead(store))._unsafeUnwrap();
}

test("acceptChange() assigns consecutive versions", async () => {
  for (const version of [1, 2, 3]) {
    const accepted = await acceptChange(store, change(await head()));
    assert.is(accepted._unsafeUnwrap().version, version);
  }
  const stored = await head();
  const resources = await readResources(store, stored!.head);
  assert.is(resources._unsafeUnwrap().digest, RESOURCES.digest);
});

test("acceptChange() succeeds for only one of two concurrent operators", async () => {
  const expected = await head();
  const results = await Promise.all([
    acceptChange(store, change(expected, { author: "ann" })),
    acceptChange(store, change(expected, { author: "bob" })),
  ]);
  const winners = results.filter((result) => result.isOk());
  const losers = results.filter((result) => result.isErr());
  assert.is(winners.length, 1);
  assert.match(losers[0]!._unsafeUnwrapErr().message, /came first/);
  assert.is((await head())!.head.version, 1);
});

test("acceptChange() detects that its write took effect when the response is lost", async () => {
  await acceptChange(store, change(undefined));
  const expected = await head();
  const originalTransact = server.data.transact.bind(server.data);
  server.data.transact = (compare, writes, max) => {
    const key = Buffer.from(HEAD_KEY).toString("base64");
    if (writes.some((one) => one.request_put?.key === key)) {
      server.data.transact = originalTransact;
      server.faults.lostAnswers = 1;
    }
    return originalTransact(compare, writes, max);
  };
  const accepted = await acceptChange(store, change(expected));
  assert.is(accepted._unsafeUnwrap().version, 2);
  assert.is((await head())!.head.version, 2);
});

test("acceptChange() blocks a write that arrives after it gave up", async () => {
  await acceptChange(store, change(undefined));
  const expected = await head();
  const transact = server.data.transact.bind(server.data);
  let lateWrite: (() => boolean) | undefined;
  server.data.transact = (compare, writes, max) => {
    const isSwap = compare.some((one) =>
      one.target === "MOD" && writes.length === 2
    );
    if (!isSwap) return transact(compare, writes, max);
    // Delays the write and drops its response, as a slow store would.
    lateWrite = () => transact(compare, writes, max);
    server.faults.lostAnswers = 1;
    return true;
  };
  const accepted = await acceptChange(store, change(expected));
  assert.match(accepted._unsafeUnwrapErr().message, /nothing was accepted/);
  assert.is(lateWrite!(), false, "the late write must not take effect");
  assert.is((await head())!.head.version, 1);
});

test("acceptChange() accepts nothing when the store is down", async () => {
  server.goDown();
  const accepted = await acceptChange(store, change(undefined));
  assert.ok(accepted.isErr());
  server.comeBack();
  assert.is(await head(), undefined);
});

test("acceptChange() can be repeated when it was interrupted before the head", async () => {
  server.data.transact(
    [],
    [{
      request_put: {
        key: Buffer.from(`${CHUNK_PREFIX}abc`).toString("base64"),
        value: "",
      },
    }],
    100,
  );
  assert.is(await head(), undefined);
  const accepted = await acceptChange(store, change(undefined));
  assert.is(accepted._unsafeUnwrap().version, 1);
});

test("acceptChange() assigns at least minVersion when the store lost versions", async () => {
  const accepted = await acceptChange(
    store,
    change(undefined, { minVersion: 42 }),
  );
  assert.is(accepted._unsafeUnwrap().version, 42);
});

test("pruneHistory() keeps the latest versions and their chunks", async () => {
  for (let count = 0; count < KEPT_VERSIONS + 3; count++) {
    await acceptChange(store, change(await head()));
  }
  assert.is((await pruneHistory(store))._unsafeUnwrap(), 3);
  const records = (await readHistory(store))._unsafeUnwrap();
  assert.is(records.length, KEPT_VERSIONS);
  const resources = await readResources(store, records.at(-1)!);
  assert.ok(resources.isOk());
});

test.run();
