import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { StoreFault } from "../../platform/fakes/kv_server.ts";
import {
  CONFIG_KEY,
  FakeMesh,
  sampleConfig,
  sampleRoute,
} from "../../platform/fakes/mesh.ts";
import { until } from "../../testkit/until.ts";

/** Daemons of the failure domain; the first two read the store for the rest. */
const DAEMON_COUNT = 10;
/** Time within which a version must be applied by all daemons, in ms. */
const APPLY_MS = 2_000;
const WATCH_PATH = "/api/kv-watch";
/** Versions of a series, and the pause between two in ms. */
const SERIES_LENGTH = 20;
const SERIES_GAP_MS = 100;

async function withMesh(
  run: (mesh: FakeMesh) => Promise<void>,
): Promise<void> {
  const mesh = await FakeMesh.start(DAEMON_COUNT, {
    domains: 1,
    hasStoreProxies: true,
  });
  try {
    // Polls that began before all records were known end with this change.
    mesh.store.put("sesamepond/nothing", "");
    await sleep(1_000);
    await run(mesh);
  } finally {
    await mesh.stop();
  }
}

function addRoute(mesh: FakeMesh, version: number): void {
  const config = sampleConfig(version, [sampleRoute("added")]);
  mesh.store.put(CONFIG_KEY, JSON.stringify(config));
}

/** Waits until the daemons from an index on have the added route. */
async function waitForAddedRoute(mesh: FakeMesh, from = 0): Promise<void> {
  const hasRoute = async (index: number) =>
    (await mesh.call(index, { path: "/added/1" })).status !== 404;
  await until(
    async () => {
      const indexes = Array.from(
        { length: DAEMON_COUNT - from },
        (_, index) => index + from,
      );
      return (await Promise.all(indexes.map(hasRoute))).every(Boolean);
    },
    "the version is applied",
    APPLY_MS,
  );
}

test("only the two readers call the store for a change of the configuration", () =>
  withMesh(async (mesh) => {
    const before = mesh.store.calls.get(WATCH_PATH) ?? 0;
    addRoute(mesh, 5);
    await waitForAddedRoute(mesh);
    const calls = (mesh.store.calls.get(WATCH_PATH) ?? 0) - before;
    assert.ok(calls < DAEMON_COUNT / 2, `${calls} calls`);
  }));

// Guards against a poll for every few versions of a series.
test("each reader polls a few times for a series of versions, and the last one is applied in time", () =>
  withMesh(async (mesh) => {
    const before = mesh.store.calls.get(WATCH_PATH) ?? 0;
    for (let version = 5; version < 5 + SERIES_LENGTH; version++) {
      const config = sampleConfig(version);
      mesh.store.put(CONFIG_KEY, JSON.stringify(config));
      await sleep(SERIES_GAP_MS);
    }
    addRoute(mesh, 5 + SERIES_LENGTH);
    await waitForAddedRoute(mesh);
    const calls = (mesh.store.calls.get(WATCH_PATH) ?? 0) - before;
    assert.ok(calls <= DAEMON_COUNT, `${calls} calls`);
  }));

test("a version is applied in time although both readers were just killed", () =>
  withMesh(async (mesh) => {
    mesh.instances[0]!.sidecar.kill();
    mesh.instances[1]!.sidecar.kill();
    addRoute(mesh, 5);
    await waitForAddedRoute(mesh, 2);
  }));

// Guards against versions that are late at daemons with a sound path to the
// store, as their readers had lost theirs and did not know it.
test("a version is applied in time although both readers were just cut off from the store", () =>
  withMesh(async (mesh) => {
    // The readers' polls are held by the store from now on.
    mesh.store.put("sesamepond/nothing", "2");
    await sleep(800);
    for (const { storeProxy } of mesh.instances.slice(0, 2)) {
      storeProxy!.set({ kind: "silence" });
    }
    addRoute(mesh, 5);
    await waitForAddedRoute(mesh, 2);
  }));

// Guards against 404 for a route that a newer version may have: a daemon that
// was cut off from the store spoke for a version that it could not know.
test("a daemon in a domain that is cut off from the store serves its routes and denies none", () =>
  withMesh(async (mesh) => {
    const setFaults = (kind: "silence" | "none") => {
      for (const { storeProxy } of mesh.instances) storeProxy!.set({ kind });
    };
    const statusOf = async (path: string) =>
      (await mesh.call(0, { path })).status;
    const before = await statusOf("/missing/1");
    setFaults("silence");
    await sleep(APPLY_MS + 1_000);
    const during = [await statusOf("/missing/1"), await statusOf("/stock/1")];
    setFaults("none");
    await until(
      async () => (await statusOf("/missing/1")) === 404,
      "the daemon knows the newest version again",
    );
    assert.equal({ before, during }, { before: 404, during: [503, 200] });
  }));

// Guards against a daemon that knows less than those around it.
test("a daemon that is cut off from the store alone learns versions from others", () =>
  withMesh(async (mesh) => {
    mesh.instances[0]!.storeProxy!.set({ kind: "silence" });
    await sleep(APPLY_MS + 1_000);
    addRoute(mesh, 5);
    await waitForAddedRoute(mesh);
    const { status } = await mesh.call(0, { path: "/missing/1" });
    assert.is(status, 404);
  }));

/** Time for which a daemon's way to the store is cut, in ms. */
const CUT_MS = 4_000;
/**
 * Connections to the store in that time: a probe a second, the call that failed
 * first, and two renewals of a lease.
 */
const MAX_ATTEMPTS = 8;

// Guards against a daemon that tries the store again after each answer of the
// daemons that stand in for it.
test("a daemon that is cut off from the store alone probes it at the planned rate", () =>
  withMesh(async (mesh) => {
    const storeProxy = mesh.instances[0]!.storeProxy!;
    storeProxy.set({ kind: "cut" });
    const before = storeProxy.accepted;
    await sleep(CUT_MS);
    const attempts = storeProxy.accepted - before;
    assert.ok(attempts <= MAX_ATTEMPTS, `${attempts} connections`);
  }));

test("followers read the store themselves when it recovers", () =>
  withMesh(async (mesh) => {
    mesh.store.fault = StoreFault.Busy;
    mesh.store.compact();
    await sleep(1_500);
    mesh.store.fault = StoreFault.None;
    addRoute(mesh, 6);
    await waitForAddedRoute(mesh);
  }));

test.run();
