import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { KvServer } from "../../platform/fakes/kv_server.ts";
import {
  CONFIG_KEY,
  sampleConfig,
  sampleRoute,
} from "../../platform/fakes/mesh.ts";
import type { SoakInstance } from "../../soak/instance.ts";
import { until } from "../../testkit/until.ts";
import {
  formatCallerRequest,
  isServed,
  openConnection,
  testDaemons,
} from "./daemon_processes.ts";

/** Time from the start of a request to the pause of its destination, in ms. */
const BEFORE_PAUSE_MS = 100;
/** Longer than the timeouts of two consecutive status queries, in ms. */
const PAUSE_MS = 2_200;
/** Time that the backend server takes for a request, in ms. */
const WORK_MS = 1_000;

/** A route whose timeout is longer than the pause. */
const LONG_TIMEOUT_ROUTE = {
  ...sampleRoute("patient"),
  Action: { Service: "stock", TimeoutS: 4, Attempts: 2 },
};
const PATH = "/patient/1";

/** Sends a request whose destination is paused while it runs it. */
async function requestThroughPause(
  parts: {
    readonly daemons: readonly SoakInstance[];
    readonly store: KvServer;
  },
  onRunning: (ingress: SoakInstance) => void,
): Promise<object> {
  const { daemons, store } = parts;
  const [ingress, destination] = daemons as [SoakInstance, SoakInstance];
  store.put(CONFIG_KEY, JSON.stringify(sampleConfig(2, [LONG_TIMEOUT_ROUTE])));
  // Leaves only the backend server of the other daemon.
  ingress.backend.isDraining = true;
  await ingress.announce("draining");
  await until(() => isServed(ingress, "before", PATH), "the route is known");
  destination.backend.workMs = WORK_MS;
  const caller = await openConnection(ingress.ingressPort);
  let response = "";
  caller.on("data", (chunk) => response += String(chunk));
  caller.write(formatCallerRequest("patient", PATH));
  const isRunning = () =>
    destination.backend.runs.some(({ id }) => id === "patient");
  await until(isRunning, "the request runs");
  onRunning(ingress);
  await sleep(BEFORE_PAUSE_MS);
  destination.pause();
  await sleep(PAUSE_MS);
  destination.resume();
  await until(() => response !== "", "the caller has a response");
  caller.destroy();
  return {
    status: response.split(" ", 2)[1],
    isWhole: response.includes(
      `answer of ${destination.backend.id} to patient`,
    ),
    runs: destination.backend.runs.filter(({ id }) => id === "patient").length,
    cancelled: destination.backend.cancelled,
  };
}

const SERVED = { status: "200", isWhole: true, runs: 1, cancelled: [] };

// Guards against abandoning a request that a backend server is running because
// the daemon of that server was too busy to respond to status queries.
testDaemons(
  "a request is not abandoned while its destination is too busy to respond",
  2,
  async (daemons, store) => {
    assert.equal(
      await requestThroughPause({ daemons, store }, () => {}),
      SERVED,
    );
  },
);

// Guards against the same at an ingress daemon in graceful shutdown.
testDaemons(
  "a stopping daemon does not abandon a request that runs elsewhere",
  2,
  async (daemons, store) => {
    assert.equal(
      await requestThroughPause(
        { daemons, store },
        (ingress) => void ingress.restart(),
      ),
      SERVED,
    );
  },
);

// Guards against waiting for an unresponsive destination while another is free.
testDaemons(
  "a request whose destination does not respond is served by another one",
  3,
  async ([ingress, ...others], store) => {
    store.put(
      CONFIG_KEY,
      JSON.stringify(sampleConfig(2, [LONG_TIMEOUT_ROUTE])),
    );
    ingress!.backend.isDraining = true;
    await ingress!.announce("draining");
    await until(() => isServed(ingress!, "before", PATH), "the route is known");
    for (const { backend } of others) backend.workMs = WORK_MS;
    const listUsedDestinations = () =>
      others.filter(({ backend }) =>
        backend.runs.some(({ id }) => id === "patient")
      );
    const served = isServed(ingress!, "patient", PATH);
    await until(() => listUsedDestinations().length > 0, "the request runs");
    const silent = listUsedDestinations()[0]!;
    silent.pause();
    const isServedMeanwhile = await served;
    silent.resume();
    assert.equal(
      { isServedMeanwhile, destinations: listUsedDestinations().length },
      { isServedMeanwhile: true, destinations: 2 },
    );
  },
);

test.run();
