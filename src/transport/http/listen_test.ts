import { createServer } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Worker } from "node:worker_threads";
import { closeServer, listen, stopAccepting } from "./listen.ts";

const CALLERS = 20;

/** Connects callers from another thread and tells how many were answered. */
const CALLERS_PROGRAM = `
  const { connect } = require("node:net");
  const { parentPort, workerData } = require("node:worker_threads");
  const { port, callers, connected } = workerData;
  let open = callers;
  let answered = 0;
  for (let index = 0; index < callers; index++) {
    const socket = connect(port, "127.0.0.1", () => {
      socket.write("GET / HTTP/1.1\\r\\nhost: a\\r\\nconnection: close\\r\\n\\r\\n");
      Atomics.add(connected, 0, 1);
      Atomics.notify(connected, 0);
    });
    socket.once("data", () => answered++);
    socket.on("error", () => {});
    socket.once("close", () => {
      if (--open === 0) parentPort.postMessage(answered);
    });
  }
`;

// Guards against connections that were reset as a busy daemon stopped: the port
// was closed while callers waited to be accepted.
test("stopAccepting() serves the connections that wait", async () => {
  const server = createServer((_request, response) => response.end());
  const port = await listen(server, "127.0.0.1", 0);
  const connected = new Int32Array(new SharedArrayBuffer(4));
  const worker = new Worker(CALLERS_PROGRAM, {
    eval: true,
    workerData: { port, callers: CALLERS, connected },
  });
  const answered = new Promise((resolve) => worker.once("message", resolve));
  // The event loop stands still until all callers wait.
  while (Atomics.load(connected, 0) < CALLERS) {
    Atomics.wait(connected, 0, Atomics.load(connected, 0), 1_000);
  }
  await stopAccepting(server);
  assert.is(await answered, CALLERS);
  await closeServer(server);
});

test.run();
