import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  CONFIG_KEY,
  sampleConfig,
  sampleRoute,
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
  ...sampleRoute("long"),
  Action: { Service: "stock", TimeoutS: 5, Attempts: 1 },
};
const LONG_PATH = "/long/1";
/** Pause between two short requests that keep the daemon from ending, in ms. */
const BUSY_PERIOD_MS = 150;
/** Time from SIGTERM to the late request, over half of the grace, in ms. */
const LATE_MS = 3_300;
/** Time that the backend server works on it, beyond the end, in ms. */
const LONG_WORK_MS = 3_000;

/** Work of a request that a process would cut as it ends early, in ms. */
const WORK_MS = 1_000;
/** Time from SIGTERM until a quiet daemon is soon to end, in ms. */
const BEFORE_END_MS = 1_500;
/** Longest time for which connections are opened, in ms. */
const MAX_OPEN_MS = 10_000;
/** Time after which a port that does not accept counts as closed, in ms. */
const HANGING_OPEN_MS = 1_000;
const OPEN_PERIOD_MS = 2;
/** Connections, opened last, on which requests are sent. */
const LAST = 5;
const MAX_ANSWER_MS = 5_000;
/** Time from SIGTERM at which others still choose the daemon, in ms. */
const BEFORE_AWAY_MS = 1_000;

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

/** Opens connections until the daemon accepts no more. */
async function openUntilClosed(port: number): Promise<Socket[]> {
  const sockets: Socket[] = [];
  const untilMs = performance.now() + MAX_OPEN_MS;
  while (performance.now() < untilMs) {
    const socket = await Promise.race([open(port), sleep(HANGING_OPEN_MS)]);
    if (socket === undefined || socket.destroyed) break;
    sockets.push(socket);
    await sleep(OPEN_PERIOD_MS);
  }
  return sockets;
}

// Guards against requests that a stopping daemon takes between its decision to
// end early and its exit, and cuts.
daemonsTest(
  "a daemon that ends early answers what it takes last",
  2,
  async (daemons) => {
    const backends = daemons.map(({ backend }) => backend);
    for (const backend of backends) backend.workMs = WORK_MS;
    void daemons[0]!.restart();
    await sleep(BEFORE_END_MS);
    const sockets = await openUntilClosed(daemons[0]!.ingressPort);
    const answers = await Promise.all(
      sockets.slice(-LAST).map((socket, index) =>
        Promise.race([
          answerOn(socket, edgeRequest(`last-${index}`)),
          sleep(MAX_ANSWER_MS, "no answer"),
        ])
      ),
    );
    for (const socket of sockets) socket.destroy();
    const runs = backends.flatMap((backend) => backend.runs)
      .filter(({ id }) => id.startsWith("last-"));
    assert.equal({ answers, runs }, {
      answers: Array(LAST).fill("HTTP/1.1 503 Service Unavailable"),
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
    store.put(CONFIG_KEY, JSON.stringify(sampleConfig(2, [LONG_ROUTE])));
    ingress!.backend.isDraining = true;
    await ingress!.announce("draining");
    await until(() => isServed(ingress!, "before", LONG_PATH), "the way");
    void destination!.restart();
    await sleep(BEFORE_AWAY_MS);
    assert.is(await isServed(ingress!, "while-stopping", LONG_PATH), true);
  },
);

test.run();
