import { test } from "uvu";
import * as assert from "uvu/assert";
import { KvServer } from "../../platform/fakes/kv_server.ts";
import { KvStore } from "../../platform/kv_store.ts";

/** More keys than a page of a listing has. */
const KEYS = 700;

async function withStore(
  era: number | undefined,
  run: (store: KvStore, server: KvServer) => Promise<void>,
): Promise<void> {
  const server = await KvServer.start();
  server.era = era;
  try {
    await run(new KvStore(server.address), server);
  } finally {
    await server.stop();
  }
}

/** Returns the eras in the results of all calls. */
async function erasOf(store: KvStore): Promise<(number | undefined)[]> {
  const listed = (await store.list(""))._unsafeUnwrap();
  const polled = (await store.poll({
    prefix: "",
    afterRevision: 0,
    waitMs: 0,
  }))._unsafeUnwrap();
  const compacted = (await store.poll({
    prefix: "",
    afterRevision: listed.revision + 100,
    waitMs: 0,
  }))._unsafeUnwrap();
  const lease = (await store.grantLease(10))._unsafeUnwrap();
  const renewal = (await store.renewLease(lease.leaseId))._unsafeUnwrap();
  const lapsed = (await store.renewLease("99"))._unsafeUnwrap();
  const write = { kind: "put", key: "a", value: "v" } as const;
  const written = (await store.commit({ conditions: [], writes: [write] }))
    ._unsafeUnwrap();
  const conflict = (await store.commit({
    conditions: [{ kind: "absent", key: "a" }],
    writes: [write],
  }))._unsafeUnwrap();
  assert.equal([compacted.kind, lapsed.ttlS, conflict.succeeded], [
    "compacted",
    0,
    false,
  ]);
  return [listed, polled, compacted, lease, renewal, lapsed, written, conflict]
    .map(({ era }) => era);
}

test("KvStore returns the era of each response", async () => {
  await withStore(7, async (store) => {
    assert.equal(await erasOf(store), new Array(8).fill(7));
  });
});

test("KvStore returns no era for a store that names none", async () => {
  await withStore(undefined, async (store) => {
    assert.equal(await erasOf(store), new Array(8).fill(undefined));
    assert.not.ok("era" in (await store.list(""))._unsafeUnwrap());
  });
});

// Guards against a listing whose pages are of two eras.
test("KvStore.list() begins again if the store is restored between two pages", async () => {
  await withStore(1, async (store, server) => {
    for (let count = 0; count < KEYS; count++) server.put(`key-${count}`, "v");
    let calls = 0;
    server.spoil = (path) => {
      if (path === "/api/kv-range" && ++calls === 2) server.era = 2;
      return undefined;
    };
    const { era, entries } = (await store.list(""))._unsafeUnwrap();
    assert.equal([era, entries.length, calls], [2, KEYS, 4]);
  });
});

test.run();
