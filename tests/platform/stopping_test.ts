import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  addedRoute,
  CONFIG_KEY,
  sampleConfig,
} from "../../platform/fakes/mesh.ts";
import { until } from "../../testkit/until.ts";
import {
  daemonsTest,
  edgeRequest,
  isServed,
  open,
} from "./daemon_processes.ts";

/** A route whose requests may last longer than a stopping daemon. */
const LONG_ROUTE = {
  ...addedRoute("long"),
  Action: { Service: "stock", TimeoutS: 5, Attempts: 1 },
};
const LONG_PATH = "/long/1";
/** Pause between two short requests that keep the daemon from ending, in ms. */
const BUSY_PERIOD_MS = 150;
/** Time from SIGTERM to the late request, over half of the grace, in ms. */
const LATE_MS = 3_300;
/** Time that the backend server works on it, beyond the end, in ms. */
const LONG_WORK_MS = 3_000;

async function answerOn(socket: Socket, request: string): Promise<string> {
  let answer = "";
  socket.on("data", (chunk) => answer += String(chunk));
  const closed = new Promise((resolve) => socket.once("close", resolve));
  socket.write(request);
  await Promise.race([closed, until(() => answer !== "", "an answer")]);
  return answer.split("\r\n", 1)[0]!;
}

// Guards against requests that are cut at the end of a stopping daemon, since
// they were taken although they could outlast it.
daemonsTest(
  "a stopping daemon refuses at once what may outlast it, and runs none of it",
  2,
  async ([daemon, other], store) => {
    store.put(CONFIG_KEY, JSON.stringify(sampleConfig(2, [LONG_ROUTE])));
    await until(() => isServed(daemon!, "before", LONG_PATH), "the long route");
    const kept = await open(daemon!.ingressPort);
    const stopped = daemon!.restart();
    const busy = setInterval(
      () => void isServed(daemon!, "busy"),
      BUSY_PERIOD_MS,
    );
    await sleep(LATE_MS);
    other!.backend.workMs = LONG_WORK_MS;
    const sentAtMs = performance.now();
    const answer = await answerOn(kept, edgeRequest("late", LONG_PATH));
    const isPrompt = performance.now() - sentAtMs < 1_000;
    clearInterval(busy);
    await stopped;
    const hasRun = other!.backend.runs.some(({ id }) => id === "late");
    assert.equal(
      { answer, isPrompt, hasRun },
      {
        answer: "HTTP/1.1 503 Service Unavailable",
        isPrompt: true,
        hasRun: false,
      },
    );
  },
);

// Guards against requests that a stopping daemon takes between its decision to
// end early and its exit, and cuts.
daemonsTest(
  "a daemon that ends early answers what it takes last",
  2,
  async ([daemon, other]) => {
    daemon!.backend.workMs = 1_000;
    other!.backend.workMs = 1_000;
    void daemon!.restart();
    await sleep(1_500);
    const sockets: Socket[] = [];
    const startMs = performance.now();
    while (performance.now() - startMs < 10_000) {
      const socket = await Promise.race([
        open(daemon!.ingressPort),
        sleep(1_000),
      ]);
      if (socket === undefined || socket.destroyed) break;
      sockets.push(socket);
      await sleep(2);
    }
    const last = sockets.slice(-5);
    const answers = await Promise.all(last.map((socket, index) => {
      let answer = "";
      socket.on("data", (chunk) => answer += String(chunk));
      socket.write(edgeRequest(`last-${index}`));
      return Promise.race([
        sleep(5_000, "hung"),
        new Promise<string>((resolve) =>
          socket.once("close", () => resolve(answer.split("\r\n", 1)[0]!))
        ),
      ]);
    }));
    const runs = [daemon!, other!].flatMap(({ backend }) =>
      backend.runs.map(({ id }) => id)
    ).filter((id) => id.startsWith("last-"));
    for (const socket of sockets) socket.destroy();
    assert.equal({ opened: sockets.length > 0, answers, runs }, {
      opened: true,
      answers: Array(5).fill("HTTP/1.1 503 Service Unavailable"),
      runs: [],
    });
  },
);

// Guards against a backend server that nobody may use, though its daemon stays
// for seconds and others still choose it.
daemonsTest(
  "a stopping daemon's backend server is used until others have heard",
  2,
  async ([ingress, destination], store) => {
    const route = {
      ...addedRoute("long"),
      Action: { Service: "stock", TimeoutS: 5, Attempts: 1 },
    };
    store.put(CONFIG_KEY, JSON.stringify(sampleConfig(2, [route])));
    ingress!.backend.isDraining = true;
    await ingress!.announce("draining");
    await until(
      () => isServed(ingress!, "before", "/long/1"),
      "the way is known",
    );
    void destination!.restart();
    await sleep(1_000);
    const served = await isServed(ingress!, "while-stopping", "/long/1");
    assert.is(served, true);
  },
);
test.run();
