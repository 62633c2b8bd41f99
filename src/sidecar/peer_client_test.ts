import { type AddressInfo, createServer, type Socket } from "node:net";
import { Buffer } from "node:buffer";
import { Worker } from "node:worker_threads";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { encodeFeed } from "../protocol/feed.ts";
import { BackendState, RequestKind } from "../protocol/mesh.ts";
import { encodeFrame, FrameKind, FrameReader } from "../protocol/call_frame.ts";
import { CHANNEL_UPGRADE_RESPONSE } from "../transport/channel/channel_handshake.ts";
import { PeerClient } from "./peer_client.ts";
import type { StatusReport } from "./status_poller.ts";

/** Longer than the time limit of a feed poll, in ms. */
const STALL_MS = 1_500;
const FEED_POLL = { afterRevision: 1, waitMs: 600, waitsForStore: false };
/** Worker that serves a body and posts its port. */
const SERVER_SOURCE = `
  const { createServer } = require("node:http");
  const { parentPort, workerData } = require("node:worker_threads");
  const server = createServer((_request, response) => response.end(workerData));
  server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

function clientOf(
  port: number,
  onStatusReport: (report: StatusReport) => void = () => {},
): PeerClient {
  return new PeerClient({
    id: "b",
    instance: "i",
    service: "stock",
    domain: "a",
    peerAddress: `127.0.0.1:${port}`,
    slots: 1,
    state: BackendState.Ready,
    bornAtUnixMs: 1,
    linkMbps: 0,
  }, { onStatusReport });
}

// Guards against quotas that stop working while daemons have two versions.
test("PeerClient.sendQuotaReport() tells a daemon without quotas from a silent one", async () => {
  const open = new Set<Socket>();
  let answers: readonly string[] = [];
  const server = createServer((socket) => {
    open.add(socket);
    const reader = new FrameReader();
    let hasUpgraded = false;
    socket.on("data", (chunk) => {
      if (!hasUpgraded) {
        hasUpgraded = true;
        const bodyAt = chunk.indexOf("\r\n\r\n") + 4;
        socket.write(CHANNEL_UPGRADE_RESPONSE);
        chunk = chunk.subarray(bodyAt);
      }
      for (const { kind, call } of reader.push(chunk)) {
        const [head, ...rest] = answers;
        answers = rest;
        if (kind !== FrameKind.Call || head === undefined) continue;
        socket.write(encodeFrame(FrameKind.Result, call, { head }));
      }
    });
    socket.on("error", () => {});
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const client = clientOf((server.address() as AddressInfo).port);
  const report = {
    group: "0/1",
    sender: "i",
    epoch: "",
    stampMs: 0,
    leaseMs: 0,
    releases: false,
    demands: [],
  };
  answers = ["", '["n;overloaded;0",[503],[]]', "quota1 [1]", "quota1 []"];
  const results = [];
  for (let index = 0; index < 5; index++) {
    results.push(await client.sendQuotaReport(report));
  }
  client.close();
  for (const socket of open) socket.destroy();
  server.close();
  const unreadable = { kind: "failed", reason: "unreadable" };
  assert.equal(results, [
    unreadable,
    unreadable,
    unreadable,
    { kind: "reply", reply: { kind: "not-account" } },
    { kind: "failed", reason: "unreachable" },
  ]);
});

// Guards against readers that are given up although they responded: after a
// stall the time limit fired before the response was read.
test("PeerClient.pollFeed() reads a response that came during a stall", async () => {
  const batch = { events: [], revision: 7, isComplete: false };
  const worker = new Worker(SERVER_SOURCE, {
    eval: true,
    workerData: encodeFeed(batch),
  });
  const port = await new Promise<number>((resolve) =>
    worker.once("message", resolve)
  );
  const client = clientOf(port);
  // Opens the connection.
  await client.pollFeed(FEED_POLL);
  const poll = client.pollFeed(FEED_POLL);
  // The request leaves before the stall.
  await new Promise((resolve) => setImmediate(resolve));
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS);
  const result = await poll;
  client.close();
  await worker.terminate();
  assert.equal(result, { kind: "changes", batch, viewAgeMs: 0 });
});

// Guards against counting two unanswered status queries as consecutive although
// the channel responded between them.
test("PeerClient.execute() resets the count of unanswered queries after a pong", async () => {
  let pings = 0;
  const server = createServer((socket) => {
    const reader = new FrameReader();
    let isOpen = false;
    socket.on("error", () => {});
    socket.on("data", (chunk: Buffer) => {
      let rest = chunk;
      if (!isOpen) {
        // Status queries over HTTP get no response.
        if (!chunk.toString("latin1").includes("upgrade:")) return;
        isOpen = true;
        socket.write(CHANNEL_UPGRADE_RESPONSE);
        rest = chunk.subarray(chunk.indexOf("\r\n\r\n") + 4);
      }
      for (const { kind, call } of reader.push(rest)) {
        // Only the second ping gets a pong.
        if (kind === FrameKind.Ping && ++pings === 2) {
          socket.write(encodeFrame(FrameKind.Pong, call));
        }
      }
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const repeatCounts: number[] = [];
  const { port } = server.address() as AddressInfo;
  const client = clientOf(port, ({ repeated }) => repeatCounts.push(repeated));
  const cancel = new AbortController();
  const nowMs = performance.now();
  let suspicions = 0;
  const call = client.execute({
    id: "r",
    route: "stock",
    kind: RequestKind.Idempotent,
    priority: 0,
    callerService: "web",
    service: "stock",
    backendId: "b",
    method: "GET",
    path: "/",
    headers: [],
    body: undefined,
    deadlineMs: nowMs + 9_000,
    objectiveAtMs: nowMs + 9_000,
  }, {
    signal: cancel.signal,
    configVersion: 1,
    expectedMs: 0,
    onSuspected: () => suspicions++,
  });
  await new Promise((resolve) => setTimeout(resolve, 3_400));
  cancel.abort();
  await call;
  client.close();
  server.close();
  assert.equal({ repeatCounts, suspicions }, {
    repeatCounts: [1, 1],
    suspicions: 0,
  });
});

test.run();
