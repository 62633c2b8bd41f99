import { Buffer } from "node:buffer";
import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../testkit/until.ts";
import { FaultProxy } from "./fault_proxy.ts";

/** Connects a client through a proxy to a server that records its input. */
async function connectThroughProxy(): Promise<{
  readonly proxy: FaultProxy;
  readonly client: Socket;
  readonly received: () => string;
  readonly stop: () => Promise<void>;
}> {
  let received = "";
  const server = createServer((socket) => {
    socket.on("data", (chunk) => received += String(chunk));
    socket.on("error", () => {
      // The proxy may reset it.
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const proxy = new FaultProxy((server.address() as AddressInfo).port);
  const client = connect(await proxy.listen(), "127.0.0.1");
  client.on("error", () => {
    // The proxy may reset it.
  });
  client.setNoDelay(true);
  await new Promise((resolve) => client.once("connect", resolve));
  return {
    proxy,
    client,
    received: () => received,
    stop: async () => {
      client.destroy();
      await proxy.close();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

// Guards against later bytes that overtake delayed ones when the delay ends.
test("FaultProxy() keeps bytes in order when a delay ends", async () => {
  const { proxy, client, received, stop } = await connectThroughProxy();
  proxy.set({ kind: "delay", delayMs: 150 });
  client.write("first ");
  await sleep(50);
  proxy.set({ kind: "none" });
  client.write("second");
  await until(() => received().length === 12, "all bytes are received");
  assert.is(received(), "first second");
  await stop();
});

test("FaultProxy() limits the bandwidth of a slow link", async () => {
  const { proxy, client, received, stop } = await connectThroughProxy();
  proxy.set({ kind: "slow", delayMs: 100, bytesPerS: 50_000 });
  const startedAtMs = performance.now();
  client.write(Buffer.alloc(20_000, "x"));
  await until(() => received().length === 20_000, "all bytes are received");
  const elapsedMs = performance.now() - startedAtMs;
  // 400 ms to send the bytes, and 100 ms of delay.
  assert.ok(elapsedMs >= 495, `took ${elapsedMs} ms`);
  await stop();
});

test("FaultProxy() resets open connections and accepts new ones", async () => {
  const { proxy, client, received, stop } = await connectThroughProxy();
  proxy.set({ kind: "reset" });
  await until(() => client.destroyed, "the connection is reset");
  const next = connect(proxy.port, "127.0.0.1");
  next.write("again");
  await until(() => received() === "again", "the new connection works");
  next.destroy();
  await stop();
});

test.run();
