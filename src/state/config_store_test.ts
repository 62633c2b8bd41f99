import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { checkDelta } from "../coordination/config/check_delta.ts";
import type { ConfigDelta } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { sampleBase, sampleSource } from "../../testkit/sample_config.ts";
import { ConfigSnapshot } from "./config_snapshot.ts";
import { ConfigStore } from "./config_store.ts";
import { ResourceSet } from "./resource_set.ts";

const SITE = "east";

/** Builds the resources of a version, which add and remove some routes. */
function resourcesOf(version: number): ResourceSet {
  const base = sampleBase();
  for (let route = 0; route < 4; route++) {
    if ((version >> route) % 2 === 0) continue;
    base.routes[`r${route}`] = { pathPrefix: `/r${route}`, service: "lookup" };
  }
  base.services.lookup!.timeoutMs = 100 + version;
  return ResourceSet.fromSource(sampleSource(base));
}

function adopt(store: ConfigStore, version: number): void {
  const resources = resourcesOf(version);
  const source = resources.toSource();
  const snapshot = new ConfigSnapshot(version, source.base as never);
  store.adopt(snapshot, resources, 0);
}

/** Builds one store per version, each with the history up to its version. */
function buildStores(versions: number): ConfigStore[] {
  const stores: ConfigStore[] = [];
  for (let version = 1; version <= versions; version++) {
    const store = new ConfigStore();
    for (let each = 1; each <= version; each++) adopt(store, each);
    stores.push(store);
  }
  return stores;
}

test("deltaFrom() turns any earlier version into the current one", () => {
  const store = new ConfigStore();
  for (let version = 1; version <= 80; version++) adopt(store, version);
  for (const from of [0, 1, 15, 16, 40, 79, 80]) {
    const earlier = from === 0 ? ResourceSet.empty() : resourcesOf(from);
    const delta = store.deltaFrom(from, earlier.digest);
    const start = delta.fromVersion === 0 ? ResourceSet.empty() : earlier;
    assert.is(start.apply(delta).digest, store.digest);
  }
});

test("deltaFrom() starts from the empty set when the earlier digest is unknown", () => {
  const store = new ConfigStore();
  adopt(store, 1);
  adopt(store, 2);
  const delta = store.deltaFrom(1, "0".repeat(64));
  assert.is(delta.fromVersion, 0);
  assert.is(ResourceSet.empty().apply(delta).digest, store.digest);
});

test("the highest version is adopted when messages are reordered, repeated, delayed and lost", () => {
  const versions = 8;
  const stores = buildStores(versions);
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          version: fc.integer({ min: 1, max: versions }),
          from: fc.integer({ min: 0, max: versions }),
        }),
        { maxLength: 30 },
      ),
      (messages) => {
        const store = new ConfigStore();
        let highest = 0;
        for (const { version, from } of messages) {
          const digest = from === 0
            ? ResourceSet.empty().digest
            : resourcesOf(from).digest;
          const delta = stores[version - 1]!.deltaFrom(from, digest);
          deliver(store, delta);
          // The reference model keeps the highest version that can be applied.
          const isUsable = delta.fromVersion === 0 ||
            delta.fromVersion === highest;
          if (isUsable) highest = Math.max(highest, version);
          assert.is(store.version, highest);
          if (highest > 0) assert.is(store.digest, resourcesOf(highest).digest);
        }
      },
    ),
    { seed: 2, numRuns: 100 },
  );
});

function deliver(store: ConfigStore, delta: ConfigDelta): void {
  const options = { site: SITE, minVersion: 0 };
  const checked = checkDelta(store, delta, options);
  if (checked.isErr() || checked.value === undefined) return;
  store.adopt(checked.value.snapshot, checked.value.resources, 0);
}

test("checkDelta() refuses a corrupted delta and leaves the store unchanged", () => {
  const [first, second] = buildStores(2);
  const store = new ConfigStore();
  deliver(store, first!.deltaFrom(0, ""));
  const damaged = second!.deltaFrom(1, store.digest);
  damaged.puts[0]!.body = damaged.puts[0]!.body.replace("1", "2");
  const checked = checkDelta(store, damaged, { site: SITE, minVersion: 0 });
  assert.match(checked._unsafeUnwrapErr().message, /digest is/);
  assert.is(store.version, 1);
});

test("checkDelta() refuses a whole version because of one dangling route", () => {
  const base = sampleBase();
  base.routes.bad = { pathPrefix: "/bad", service: "missing" };
  const bad = ResourceSet.fromSource(sampleSource(base));
  const delta = ResourceSet.empty()
    .deltaTo(bad, { fromVersion: 0, toVersion: 9 });
  const store = new ConfigStore();
  const checked = checkDelta(store, delta, { site: SITE, minVersion: 0 });
  assert.match(checked._unsafeUnwrapErr().message, /unknown service "missing"/);
  assert.is(store.version, 0);
});

test("checkDelta() ignores versions below the minimum", () => {
  const [first] = buildStores(1);
  const store = new ConfigStore();
  const delta = first!.deltaFrom(0, "");
  const checked = checkDelta(store, delta, { site: SITE, minVersion: 2 });
  assert.is(checked._unsafeUnwrap(), undefined);
});

test("adopt() throws when the version is not higher", () => {
  const store = new ConfigStore();
  adopt(store, 3);
  assert.throws(() => adopt(store, 3), /Cannot adopt version 3: 3 is in force/);
});

test.run();
