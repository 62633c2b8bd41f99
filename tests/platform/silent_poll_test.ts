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
import { daemonsTest, isServed } from "./daemon_processes.ts";

/** Time for which the store answers nobody, in ms. */
const SILENT_MS = 1_000;
/** Time after which a store that answers again counts as calm, in ms. */
const CALM_MS = 3_000;
/** Time in which a version is in force at daemons that reach a calm store. */
const APPLY_MS = 2_000;

// Guards against versions that come late everywhere: a store that was silent
// for a moment had swallowed the polls of all daemons, which went on to wait.
daemonsTest(
  "a version comes in time once a store that swallowed all polls is calm",
  2,
  async (daemons, store) => {
    await sleep(1_000);
    store.fault = StoreFault.Silent;
    // The polls that wait are answered, and the next ones are swallowed.
    store.expireLeases();
    await sleep(SILENT_MS);
    store.fault = StoreFault.None;
    await sleep(CALM_MS);
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
    assert.ok(tookMs <= APPLY_MS, `in force after ${tookMs} ms`);
  },
);

test.run();
