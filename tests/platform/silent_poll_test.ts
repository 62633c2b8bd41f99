import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { StoreFault } from "../../platform/fakes/kv_server.ts";
import {
  CONFIG_KEY,
  sampleConfig,
  sampleRoute,
} from "../../platform/fakes/mesh.ts";
import { until } from "../../testkit/until.ts";
import { isServed, testDaemons } from "./daemon_processes.ts";

/** Time for which the store does not respond, in ms. */
const SILENT_MS = 1_000;
/** Time after which a store that responds again counts as stable, in ms. */
const STABLE_MS = 3_000;
/** Time within which daemons apply a version from a stable store, in ms. */
const APPLY_MS = 2_000;

// Guards against versions that are late everywhere: a store that had not
// responded for a moment had dropped the polls of all daemons, which kept
// waiting for them.
testDaemons(
  "a version is applied in time once a store that dropped all polls is stable",
  2,
  async (daemons, store) => {
    await sleep(1_000);
    store.fault = StoreFault.Silent;
    // Ends the pending polls; the next ones are dropped.
    store.expireLeases();
    await sleep(SILENT_MS);
    store.fault = StoreFault.None;
    await sleep(STABLE_MS);
    store.put(
      CONFIG_KEY,
      JSON.stringify(sampleConfig(2, [sampleRoute("last")])),
    );
    const startedAtMs = performance.now();
    await Promise.all(
      daemons.map((daemon) =>
        until(
          () => isServed(daemon, "last", "/last/1"),
          "the new route",
          20_000,
        )
      ),
    );
    const tookMs = Math.round(performance.now() - startedAtMs);
    assert.ok(tookMs <= APPLY_MS, `applied after ${tookMs} ms`);
  },
);

test.run();
