import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import * as assert from "uvu/assert";
import { test } from "uvu";
import type { SoakInstance } from "../../soak/instance.ts";
import { isServed, testDaemons } from "./daemon_processes.ts";

/** Heads that are no response, or an odd one. */
const ODD_HEADS: readonly string[] = [
  "HTTP/1.1 000 \r\ncontent-length: 0\r\n\r\n",
  "HTTP/1.1 099 Odd\r\ncontent-length: 0\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\n",
  "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
  "HTTP/1.1 199 Odd\r\n\r\n",
  "HTTP/1.1 999 Odd\r\ncontent-length: 0\r\n\r\n",
  "HTTP/1.1 204 No\r\ncontent-length: 5\r\n\r\nabcde",
  "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nabc",
  "HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n",
  "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n",
  "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
  "HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\ncontent-length: 0\r\n\r\n",
  "HTTP/0.9 200 OK\r\n\r\n",
  "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
  "\r\n\r\n\r\n",
  "\u0000\u0001\u0002",
];
/** Longest time for which a process may do nothing, in ms: CONFIG allows it. */
const MAX_STALL_MS = 500;
const CHECK_PERIOD_MS = 40;

/** Requests at a time to a backend server with endless answers. */
const ENDLESS_REQUESTS = 12;
/** Time for which such a server sends, in ms. */
const ENDLESS_MS = 4_000;
/** A small heap, which is taken within the time limit of a route. */
const SMALL_HEAP = ["--max-old-space-size=64", "--max-semi-space-size=2"];
/** Endless answers: what follows the status line, and what is then repeated. */
const ENDLESS_ANSWERS: Readonly<Record<string, readonly [string, string]>> = {
  chunks: ["transfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"],
  body: ["\r\n", "x"],
  head: ["", "x-odd: yes\r\n"],
  interim: ["\r\n", "HTTP/1.1 102 Processing\r\n\r\n"],
  extensions: ["transfer-encoding: chunked\r\n\r\n1;", "odd=yes;"],
};
const BLOCK_REPEATS = 10_000;

/** Sends an answer without end, until the daemon closes the connection. */
function sendEndless(
  socket: Socket,
  request: string,
  [start, repeated]: readonly [string, string],
): void {
  const id = /x-attempt-id: (\S+)/i.exec(request)?.[1] ?? "";
  const block = repeated.repeat(BLOCK_REPEATS);
  const send = () => {
    while (!socket.destroyed && socket.write(block)) {
      // Until the socket's buffer is full.
    }
  };
  socket.on("drain", send);
  socket.write(
    `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-response-stamp: s\r\n${start}`,
  );
  send();
}

/** Starts a backend server that handles each request on a connection alike. */
async function startOddBackend(
  answer: (socket: Socket, request: string) => void,
): Promise<Server> {
  const server = createServer((socket) => {
    socket.on("error", () => {
      // The daemon may reset the connection.
    });
    socket.on("data", (chunk) => answer(socket, String(chunk)));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return server;
}

async function announce(
  daemon: SoakInstance,
  backend: Server,
  bornAtUnixMs: number,
): Promise<void> {
  const { port } = backend.address() as AddressInfo;
  await fetch(
    `http://127.0.0.1:${daemon.controlPort}` +
      "/api/rpc?call=instances.heartbeat&of=i-odd",
    {
      method: "POST",
      body: JSON.stringify({
        Service: "stock",
        Address: `127.0.0.1:${port}`,
        Capacity: 8,
        State: "ready",
        Sequence: 1,
        born: bornAtUnixMs,
      }),
    },
  );
}

/** Measures the longest time for which a daemon answers no readiness check. */
async function measureStall(
  daemon: SoakInstance,
  signal: AbortSignal,
): Promise<number> {
  let longestMs = 0;
  while (!signal.aborted) {
    const sentAtMs = performance.now();
    await fetch(`http://127.0.0.1:${daemon.readyPort}/api/ready`)
      .then((response) => response.text(), () => "");
    longestMs = Math.max(longestMs, performance.now() - sentAtMs);
    await sleep(CHECK_PERIOD_MS);
  }
  return longestMs;
}

// Review 5: an assertion of the HTTP client that an answer makes fail stopped
// the whole daemon for 5 s, as its message was built from the bundled source.
testDaemons(
  "no answer of a backend server stops the daemon",
  1,
  async ([daemon]) => {
    const over = new AbortController();
    const stalled = measureStall(daemon!, over.signal);
    for (const [index, head] of ODD_HEADS.entries()) {
      const backend = await startOddBackend((socket) =>
        void socket.write(head, "latin1")
      );
      await announce(daemon!, backend, 1_000 + index);
      void isServed(daemon!, `odd-${index}`);
      await sleep(2 * CHECK_PERIOD_MS);
      backend.close();
    }
    await sleep(MAX_STALL_MS);
    over.abort();
    const stallMs = await stalled;
    assert.ok(stallMs < MAX_STALL_MS, `stopped for ${Math.round(stallMs)} ms`);
  },
);

// Reported by other operators: a backend server that sent bytes without end, in
// a head or in a body, took the memory of the daemon that had called it.
for (const [name, parts] of Object.entries(ENDLESS_ANSWERS)) {
  testDaemons(
    `an endless answer (${name}) does not take the daemon's memory`,
    1,
    async ([daemon]) => {
      const { pid } = daemon!;
      const backend = await startOddBackend((socket, request) =>
        sendEndless(socket, request, parts)
      );
      await announce(daemon!, backend, 1_000);
      for (let index = 0; index < ENDLESS_REQUESTS; index++) {
        void isServed(daemon!, `endless-${index}`);
      }
      await sleep(ENDLESS_MS);
      backend.close();
      const isReady = await fetch(
        `http://127.0.0.1:${daemon!.readyPort}/api/ready`,
      ).then(({ ok }) => ok, () => false);
      assert.equal({ pid: daemon!.pid, isReady }, { pid, isReady: true });
    },
    SMALL_HEAP,
  );
}

test.run();
