import { createServer, type Server } from "node:net";
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

/** Starts a backend server that answers each request with the same bytes. */
async function startOddBackend(answer: string): Promise<Server> {
  const server = createServer((socket) => {
    socket.on("error", () => {
      // The daemon may reset the connection.
    });
    socket.on("data", () => socket.write(answer, "latin1"));
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
      const backend = await startOddBackend(head);
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

test.run();
