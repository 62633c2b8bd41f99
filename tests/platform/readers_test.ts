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

/** Daemons of the failure domain; the first two read for the others. */
const SIZE = 10;
/** Time in which a version must be in force. */
const APPLY_MS = 2_000;
const WATCH_PATH = "/api/kv-watch";
/** Versions of a series, and the pause between two. */
const SERIES = 20;
const SERIES_GAP_MS = 100;

async function readersTest(
  run: (mesh: FakeMesh) => Promise<void>,
): Promise<void> {
  const mesh = await FakeMesh.start(SIZE, { domains: 1 });
  try {
    // Polls that began before all records were known end with the next change.
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

/** Waits until daemons from an index on know the added route. */
async function untilInForce(mesh: FakeMesh, from = 0): Promise<void> {
  const isKnown = async (index: number) =>
    (await mesh.call(index, { path: "/added/1" })).status !== 404;
  await until(
    async () => {
      const indexes = Array.from(
        { length: SIZE - from },
        (_, index) => index + from,
      );
      return (await Promise.all(indexes.map(isKnown))).every(Boolean);
    },
    "the version is in force",
    APPLY_MS,
  );
}

test("a change of the configuration costs the calls of two readers", () =>
  readersTest(async (mesh) => {
    const before = mesh.store.calls.get(WATCH_PATH) ?? 0;
    addRoute(mesh, 5);
    await untilInForce(mesh);
    const calls = (mesh.store.calls.get(WATCH_PATH) ?? 0) - before;
    assert.ok(calls < SIZE / 2, `${calls} calls`);
  }));

// Guards against a poll for every few versions of a series.
test("a series of versions costs each reader a few polls, and the last one is in force in time", () =>
  readersTest(async (mesh) => {
    const before = mesh.store.calls.get(WATCH_PATH) ?? 0;
    for (let version = 5; version < 5 + SERIES; version++) {
      const config = sampleConfig(version);
      mesh.store.put(CONFIG_KEY, JSON.stringify(config));
      await sleep(SERIES_GAP_MS);
    }
    addRoute(mesh, 5 + SERIES);
    await untilInForce(mesh);
    const calls = (mesh.store.calls.get(WATCH_PATH) ?? 0) - before;
    assert.ok(calls <= SIZE, `${calls} calls`);
  }));

test("a version is in force in time though both readers have just died", () =>
  readersTest(async (mesh) => {
    mesh.instances[0]!.sidecar.kill();
    mesh.instances[1]!.sidecar.kill();
    addRoute(mesh, 5);
    await untilInForce(mesh, 2);
  }));

test("followers read the store themselves as it comes back", () =>
  readersTest(async (mesh) => {
    mesh.store.fault = StoreFault.Busy;
    mesh.store.compact();
    await sleep(1_500);
    mesh.store.fault = StoreFault.None;
    addRoute(mesh, 6);
    await untilInForce(mesh);
  }));

test.run();
