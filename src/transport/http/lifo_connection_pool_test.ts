import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { LifoConnectionPool } from "./lifo_connection_pool.ts";

const DRIP_PERIOD_MS = 20;
const DEADLINE_MS = 200;
const SLACK_MS = 1_000;

/** Starts a server that begins a response and sends a byte now and then. */
async function startDrippingServer(): Promise<Server> {
  const server = createServer((socket) => {
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n");
    const timer = setInterval(() => socket.write("x"), DRIP_PERIOD_MS);
    socket.on("error", () => {
      // The client resets the connection.
    });
    socket.once("close", () => clearInterval(timer));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return server;
}

// The class of review 1: a response that comes a byte at a time was awaited for
// ever, as only silence and the caller's cancellation ended an exchange.
test("send() gives up a response that drips at its deadline", async () => {
  const server = await startDrippingServer();
  const { port } = server.address() as AddressInfo;
  const pool = new LifoConnectionPool(`127.0.0.1:${port}`);
  const result = await Promise.race([
    pool.send({
      method: "GET",
      path: "/",
      headers: [],
      body: undefined,
      silenceTimeoutMs: 10 * DRIP_PERIOD_MS,
      deadlineMs: performance.now() + DEADLINE_MS,
    }),
    sleep(DEADLINE_MS + SLACK_MS, "still waiting"),
  ]);
  pool.close();
  server.close();
  assert.equal(result, {
    kind: "failed",
    sent: true,
    hasExpired: true,
    message: "the deadline has passed",
  });
});

test.run();
