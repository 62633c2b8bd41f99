import type { Socket } from "node:net";
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
import {
  formatCallerRequest,
  isServed,
  openConnection,
  testDaemons,
} from "./daemon_processes.ts";

/** A route whose requests may outlast a stopping daemon. */
const LONG_ROUTE = {
  ...sampleRoute("long"),
  Action: { Service: "stock", TimeoutS: 5, Attempts: 1 },
};
const LONG_PATH = "/long/1";
/** Pause between short requests that keep the daemon from exiting, in ms. */
const BUSY_PERIOD_MS = 150;
/** Time from SIGTERM to the late request, over half the grace period, in ms. */
const LATE_MS = 3_300;
/** Time from SIGTERM to the head of a request whose body comes late, in ms. */
const EARLY_MS = 1_500;
/** Work on that request, which would end after the daemon's exit, in ms. */
const LONG_WORK_MS = 3_000;

/** Work on a request that an early exit would interrupt, in ms. */
const WORK_MS = 1_000;
/** Time from SIGTERM until shortly before an idle daemon exits, in ms. */
const BEFORE_END_MS = 1_500;
/** Longest time for which connections are opened, in ms. */
const MAX_OPEN_MS = 10_000;
/** Time after which a port that does not accept counts as closed, in ms. */
const CONNECT_TIMEOUT_MS = 1_000;
const OPEN_PERIOD_MS = 2;
/** Connections, opened last, on which requests are sent. */
const LAST_CONNECTIONS = 5;
const MAX_RESPONSE_MS = 5_000;
/** Time from SIGTERM at which other daemons still choose this one, in ms. */
const BEFORE_REMOVAL_MS = 1_000;

async function fetchStatusLine(
  socket: Socket,
  request: string,
): Promise<string> {
  let response = "";
  socket.on("data", (chunk) => response += String(chunk));
  const closed = new Promise((resolve) => socket.once("close", resolve));
  socket.write(request);
  await Promise.race([closed, until(() => response !== "", "a response")]);
  return response.split("\r\n", 1)[0]!;
}

// Guards against requests that are interrupted by the exit of a stopping
// daemon, which had accepted them although they could outlast it.
testDaemons(
  "a stopping daemon refuses at once a request that may outlast it, and does not run it",
  2,
  async ([daemon, other], store) => {
    store.put(CONFIG_KEY, JSON.stringify(sampleConfig(2, [LONG_ROUTE])));
    await until(() => isServed(daemon!, "before", LONG_PATH), "the long route");
    const openSocket = await openConnection(daemon!.ingressPort);
    const stopped = daemon!.restart();
    const busy = setInterval(
      () => void isServed(daemon!, "busy"),
      BUSY_PERIOD_MS,
    );
    await sleep(LATE_MS);
    other!.backend.workMs = LONG_WORK_MS;
    const sentAtMs = performance.now();
    const answer = await fetchStatusLine(
      openSocket,
      formatCallerRequest("late", LONG_PATH),
    );
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

// Guards against requests that come late in the grace period, are passed on and
// are cut at its end: the time at which their heads had come decided.
testDaemons(
  "a stopping daemon refuses an order whose body comes too late for it to end in time",
  2,
  async ([daemon, other], store) => {
    const route = { ...LONG_ROUTE, Kind: "non_idempotent" };
    store.put(CONFIG_KEY, JSON.stringify(sampleConfig(2, [route])));
    await until(() => isServed(daemon!, "before", LONG_PATH), "the long route");
    const openSocket = await openConnection(daemon!.ingressPort);
    const stopped = daemon!.restart();
    await sleep(EARLY_MS);
    openSocket.write(
      formatCallerRequest("late", LONG_PATH).replace(
        "\r\n\r\n",
        "\r\ncontent-length: 2\r\n\r\na",
      ).replace("GET", "POST"),
    );
    await sleep(LATE_MS - EARLY_MS);
    for (const { backend } of [daemon!, other!]) backend.workMs = LONG_WORK_MS;
    const answer = await fetchStatusLine(openSocket, "b");
    await stopped;
    const runs = [daemon!, other!].flatMap(({ backend }) => backend.runs)
      .filter(({ id }) => id === "late");
    assert.equal({ answer, runs: runs.length }, {
      answer: "HTTP/1.1 503 Service Unavailable",
      runs: 0,
    });
  },
);

/** Opens connections until the daemon accepts no more. */
async function openUntilClosed(port: number): Promise<Socket[]> {
  const sockets: Socket[] = [];
  const deadlineMs = performance.now() + MAX_OPEN_MS;
  while (performance.now() < deadlineMs) {
    const socket = await Promise.race([
      openConnection(port),
      sleep(CONNECT_TIMEOUT_MS),
    ]);
    if (socket === undefined || socket.destroyed) break;
    sockets.push(socket);
    await sleep(OPEN_PERIOD_MS);
  }
  return sockets;
}

// Guards against requests that a stopping daemon accepts between its decision
// to exit early and its exit, and that the exit interrupts.
testDaemons(
  "a daemon that exits early refuses its last requests with a response",
  2,
  async (daemons) => {
    const backends = daemons.map(({ backend }) => backend);
    for (const backend of backends) backend.workMs = WORK_MS;
    void daemons[0]!.restart();
    await sleep(BEFORE_END_MS);
    const sockets = await openUntilClosed(daemons[0]!.ingressPort);
    const answers = await Promise.all(
      sockets.slice(-LAST_CONNECTIONS).map((socket, index) =>
        Promise.race([
          fetchStatusLine(socket, formatCallerRequest(`last-${index}`)),
          sleep(MAX_RESPONSE_MS, "no response"),
        ])
      ),
    );
    for (const socket of sockets) socket.destroy();
    const runs = backends.flatMap((backend) => backend.runs)
      .filter(({ id }) => id.startsWith("last-"));
    assert.equal({ answers, runs }, {
      answers: Array(LAST_CONNECTIONS).fill("HTTP/1.1 503 Service Unavailable"),
      runs: [],
    });
  },
);

// Guards against a backend server that refuses all requests although its daemon
// runs for some seconds more and other daemons still choose it.
testDaemons(
  "a stopping daemon's backend server is used until other daemons know of the stop",
  2,
  async ([ingress, destination], store) => {
    store.put(CONFIG_KEY, JSON.stringify(sampleConfig(2, [LONG_ROUTE])));
    ingress!.backend.isDraining = true;
    await ingress!.announce("draining");
    await until(() => isServed(ingress!, "before", LONG_PATH), "the route");
    void destination!.restart();
    await sleep(BEFORE_REMOVAL_MS);
    assert.is(await isServed(ingress!, "while-stopping", LONG_PATH), true);
  },
);

/** Time from SIGTERM to the last requests, shortly before the exit, in ms. */
const LAST_MS = 5_400;
/** Delay of the answers of a slow store, in ms. */
const SLOW_STORE_MS = 1_500;

// Found by hunts: a request whose route had to be confirmed by the store, and one
// whose body was still coming, were cut off without an answer at the end.
for (const storeState of ["silent", "slow"]) {
  testDaemons(
    `a stopping daemon answers what it has read and not passed on (store ${storeState})`,
    1,
    async ([daemon], store) => {
      const sockets = [];
      for (let count = 0; count < 3; count++) {
        sockets.push(await openConnection(daemon!.ingressPort));
      }
      const stopped = daemon!.restart();
      const busy = setInterval(
        () => void isServed(daemon!, "busy"),
        BUSY_PERIOD_MS,
      );
      if (storeState === "silent") store.fault = StoreFault.Silent;
      else daemon!.storeProxy.set({ kind: "delay", delayMs: SLOW_STORE_MS });
      await sleep(LAST_MS);
      const unfinished = formatCallerRequest("unfinished")
        .replace("\r\n\r\n", "\r\ncontent-length: 100\r\n\r\npart");
      const answers = await Promise.all([
        fetchStatusLine(sockets[0]!, formatCallerRequest("a", "/nowhere/1")),
        fetchStatusLine(sockets[1]!, formatCallerRequest("b", "/nowhere/2")),
        fetchStatusLine(sockets[2]!, unfinished),
      ]);
      clearInterval(busy);
      store.fault = StoreFault.None;
      await stopped;
      assert.equal(
        answers,
        answers.map(() => "HTTP/1.1 503 Service Unavailable"),
      );
    },
  );
}

test.run();
