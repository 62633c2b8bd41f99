import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { createServer as createNetServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../../../testkit/until.ts";
import { CallChannel } from "./call_channel.ts";
import { ChannelServer, type ReceivedCall } from "./channel_server.ts";

const NO_ABORT = new AbortController().signal;
const PING_TIMEOUT_MS = 100;

async function addressOf(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Runs a test with a channel to a server that records its calls. */
async function withChannel(
  run: (parts: {
    readonly channel: CallChannel;
    readonly calls: ReceivedCall[];
    readonly server: ChannelServer;
    readonly connections: () => number;
  }) => Promise<void>,
): Promise<void> {
  const http = createServer();
  let opened = 0;
  http.on("connection", () => opened++);
  const calls: ReceivedCall[] = [];
  const server = new ChannelServer(http, (call) => calls.push(call));
  const channel = new CallChannel(await addressOf(http));
  try {
    await run({ channel, calls, server, connections: () => opened });
  } finally {
    channel.close();
    server.close();
    http.close();
  }
}

test("CallChannel carries many calls over one connection, in any order", () =>
  withChannel(async ({ channel, calls, connections }) => {
    const results = Promise.all(["a", "b", "c"].map(async (name) => {
      const result = await channel.send(
        { head: name, body: Buffer.from(`body of ${name}`) },
        NO_ABORT,
      );
      return result.kind === "result" ? `${result.head} ${result.body}` : "";
    }));
    await until(() => calls.length === 3, "all calls have arrived");
    for (const { head, body, answer } of [...calls].reverse()) {
      answer(`${head} done`, Buffer.from(body));
    }
    assert.equal(
      { results: await results, connections: connections() },
      {
        results: ["a done body of a", "b done body of b", "c done body of c"],
        connections: 1,
      },
    );
  }));

test("CallChannel tells the other daemon which call was cancelled", () =>
  withChannel(async ({ channel, calls }) => {
    const cancel = new AbortController();
    const kept = channel.send({ head: "kept", body: undefined }, NO_ABORT);
    const left = channel.send({ head: "left", body: undefined }, cancel.signal);
    await until(() => calls.length === 2, "both calls have arrived");
    cancel.abort();
    await until(() => calls[1]!.signal.aborted, "the call is cancelled");
    for (const { answer } of calls) answer("late");
    assert.equal(
      { kept: (await kept).kind, left: await left },
      { kept: "result", left: { kind: "failed", sent: true } },
    );
  }));

// Guards against work for a caller that disconnected before its call was read.
test("ChannelServer starts no call that is cancelled in the same read", () =>
  withChannel(async ({ channel, calls }) => {
    const cancel = new AbortController();
    const left = channel.send({ head: "left", body: undefined }, cancel.signal);
    cancel.abort();
    await left;
    const isAlive = await channel.ping(2_000);
    assert.equal({ isAlive, calls: calls.length }, { isAlive: true, calls: 0 });
  }));

test("CallChannel fails its calls when the connection ends", () =>
  withChannel(async ({ channel, calls, server }) => {
    const call = channel.send({ head: "cut", body: undefined }, NO_ABORT);
    await until(() => calls.length === 1, "the call has arrived");
    server.close();
    assert.equal(
      { result: await call, isUsable: channel.isUsable },
      { result: { kind: "failed", sent: true }, isUsable: false },
    );
    await until(() => calls[0]!.signal.aborted, "the call is cancelled");
  }));

// Guards against reporting a call as possibly run that was never written.
test("CallChannel sends nothing once it is closed", () =>
  withChannel(async ({ channel, calls }) => {
    await channel.ping(2_000);
    channel.close();
    const { isUsable } = channel;
    const result = await channel.send(
      { head: "late", body: undefined },
      NO_ABORT,
    );
    assert.equal({ isUsable, result, calls: calls.length }, {
      isUsable: false,
      result: { kind: "failed", sent: false },
      calls: 0,
    });
  }));

test("CallChannel reports that nothing was sent when the connection is refused", async () => {
  const server = createNetServer();
  const address = await addressOf(server);
  await new Promise((resolve) => server.close(resolve));
  const channel = new CallChannel(address);
  const result = await channel.send(
    { head: "lost", body: undefined },
    NO_ABORT,
  );
  assert.equal(result, { kind: "failed", sent: false });
});

test("ping() is false when the peer does not respond in time", async () => {
  const server = createNetServer(() => {});
  const channel = new CallChannel(await addressOf(server));
  const isAlive = await channel.ping(PING_TIMEOUT_MS);
  channel.close();
  server.close();
  assert.is(isAlive, false);
});

test("CallChannel closes a connection that speaks another protocol", async () => {
  const server = createServer((_request, response) => response.end("hello"));
  const channel = new CallChannel(await addressOf(server));
  const result = await channel.send({ head: "odd", body: undefined }, NO_ABORT);
  server.closeAllConnections();
  server.close();
  assert.equal(result, { kind: "failed", sent: true });
});

test.run();
