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
  daemonsTest,
  edgeRequest,
  isServed,
  open,
} from "./daemon_processes.ts";

/** Time from the start of the work to the pause of its daemon, in ms. */
const BEFORE_PAUSE_MS = 100;
/** Longer than two questions in a row wait for their answers, in ms. */
const PAUSE_MS = 2_200;
/** Time that the backend server works, in ms. */
const WORK_MS = 1_000;

/** A route whose requests may take longer than the pause. */
const PATIENT_ROUTE = {
  ...sampleRoute("patient"),
  Action: { Service: "stock", TimeoutS: 4, Attempts: 2 },
};
const PATH = "/patient/1";

/** What a caller gets for a request whose destination stands still. */
async function answerThroughPause(
  parts: {
    readonly daemons: readonly SoakInstance[];
    readonly store: KvServer;
  },
  whileRunning: (ingress: SoakInstance) => void,
): Promise<object> {
  const { daemons, store } = parts;
  const [ingress, destination] = daemons as [SoakInstance, SoakInstance];
  store.put(CONFIG_KEY, JSON.stringify(sampleConfig(2, [PATIENT_ROUTE])));
  // The daemon beside the only backend server that takes work is the other's.
  ingress.backend.isDraining = true;
  await ingress.announce("draining");
  await until(() => isServed(ingress, "before", PATH), "the way is known");
  destination.backend.workMs = WORK_MS;
  const caller = await open(ingress.ingressPort);
  let answer = "";
  caller.on("data", (chunk) => answer += String(chunk));
  caller.write(edgeRequest("patient", PATH));
  const ran = () => destination.backend.runs.some(({ id }) => id === "patient");
  await until(ran, "the request runs");
  whileRunning(ingress);
  await sleep(BEFORE_PAUSE_MS);
  destination.pause();
  await sleep(PAUSE_MS);
  destination.resume();
  await until(() => answer !== "", "the caller has an answer");
  caller.destroy();
  return {
    status: answer.split(" ", 2)[1],
    isWhole: answer.includes(`answer of ${destination.backend.id} to patient`),
    runs: destination.backend.runs.filter(({ id }) => id === "patient").length,
    cancelled: destination.backend.cancelled,
  };
}

const SERVED = { status: "200", isWhole: true, runs: 1, cancelled: [] };

// Guards against giving up a request at which a backend server works because
// its daemon was too busy to answer questions about it.
daemonsTest(
  "a request is not given up while its destination is too busy to answer",
  2,
  async (daemons, store) => {
    assert.equal(
      await answerThroughPause({ daemons, store }, () => {}),
      SERVED,
    );
  },
);

// Guards against the same at a daemon that was asked to stop.
daemonsTest(
  "a stopping daemon does not give up a request that runs elsewhere",
  2,
  async (daemons, store) => {
    assert.equal(
      await answerThroughPause(
        { daemons, store },
        (ingress) => void ingress.restart(),
      ),
      SERVED,
    );
  },
);

// Guards against waiting for a destination that is gone while another is free.
daemonsTest(
  "a request whose destination stays silent is served elsewhere meanwhile",
  3,
  async ([ingress, ...others], store) => {
    store.put(CONFIG_KEY, JSON.stringify(sampleConfig(2, [PATIENT_ROUTE])));
    ingress!.backend.isDraining = true;
    await ingress!.announce("draining");
    await until(() => isServed(ingress!, "before", PATH), "the way is known");
    for (const { backend } of others) backend.workMs = WORK_MS;
    const ranAt = () =>
      others.filter(({ backend }) =>
        backend.runs.some(({ id }) => id === "patient")
      );
    const served = isServed(ingress!, "patient", PATH);
    await until(() => ranAt().length > 0, "the request runs");
    const silent = ranAt()[0]!;
    silent.pause();
    const isServedMeanwhile = await served;
    silent.resume();
    assert.equal(
      { isServedMeanwhile, destinations: ranAt().length },
      { isServedMeanwhile: true, destinations: 2 },
    );
  },
);

test.run();
