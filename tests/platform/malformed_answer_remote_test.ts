import { setInterval as ticks } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EDGE_HEADERS } from "../../platform/edge_headers.ts";
import { FakeMesh } from "../../platform/fakes/mesh.ts";
import { call } from "../../testkit/caller.ts";
import { Fleet } from "../../testkit/fleet.ts";
import { type RawAnswer, RawServer } from "../../testkit/raw_server.ts";
import { sampleSource } from "../../testkit/sample_config.ts";
import { until } from "../../testkit/until.ts";

const UPLOAD = "x".repeat(800_000);
const BACKEND_ID = "raw-1";
const FAULTS: Readonly<Record<string, string>> = {
  status: "HTTP/1.1 700 Status\r\ncontent-length: 4\r\n",
  reset: "HTTP/1.1 200 OK\r\n",
};

/** Answers health checks and ordinary requests, and faults by the path. */
function answer(head: string): RawAnswer {
  const id = new RegExp(`^${EDGE_HEADERS.requestId}: (.*)$`, "im").exec(head)
    ?.[1]?.trim();
  const fields = `${EDGE_HEADERS.backendId}: ${BACKEND_ID}\r\n` +
    `${EDGE_HEADERS.answerProof}: stamp\r\n` +
    (id === undefined ? "" : `${EDGE_HEADERS.requestId}: ${id}\r\n`);
  const fault = /\/fault-(\w+)/.exec(head)?.[1];
  if (fault !== undefined) {
    const text = `${FAULTS[fault]}${fields}\r\nbody`;
    return { text, isReset: fault === "reset" };
  }
  const text = `HTTP/1.1 200 OK\r\n${fields}content-length: 4\r\n\r\nbody`;
  return { text, isReset: false, isKept: true };
}

// Guards against a malformed response that looks valid after the second daemon.
test("sidecar: malformed answers are none over two daemons", async () => {
  const server = await RawServer.start(answer);
  const mesh = await FakeMesh.start(2);
  try {
    const url = `http://${mesh.instances[1]!.settings.controlAddress}` +
      `/api/rpc?call=instances.heartbeat&of=${BACKEND_ID}`;
    await fetch(url, {
      method: "POST",
      body: JSON.stringify({
        Service: "stock",
        Address: server.address,
        Capacity: 4,
        State: "ready",
        Sequence: 1,
        born: 2_000,
      }),
    });
    await mesh.announce(0, "draining");
    const request = (path: string) =>
      mesh.call(0, { path, method: "POST", body: UPLOAD });
    await until(
      async () => (await request("/orders/1")).body === "body",
      "the raw server answers",
    );
    assert.equal([
      (await request("/orders/fault-status")).status,
      (await request("/orders/fault-reset")).status,
    ], [502, 502]);
  } finally {
    await mesh.stop();
    server.stop();
  }
});

test("daemon: malformed answers are none over two daemons", async () => {
  const server = await RawServer.start(answer);
  const fleet = await Fleet.start({
    network: 30,
    source: sampleSource(),
    domains: [{ name: "tobago", services: ["", ""] }],
    isProxied: false,
  });
  const [local, remote] = fleet.instances;
  const stopped = new AbortController();
  const announce = async () => {
    for await (const _tick of ticks(300, undefined, stopped)) {
      await fetch(`http://${remote!.daemon.admin}/announce`, {
        method: "POST",
        body: JSON.stringify({
          service: "lookup",
          port: Number(server.address.split(":")[1]),
          slots: 4,
          maxConnections: 50,
        }),
      });
    }
  };
  const announcing = announce().catch(() => {
    // Ended with the test.
  });
  try {
    const request = (path: string) =>
      call(local!.daemon.ingress, path, { method: "POST", body: UPLOAD });
    await until(
      async () => (await request("/lookup/1")).body === "body",
      "the raw server answers",
    );
    const status = await request("/lookup/fault-status");
    const reset = await request("/lookup/fault-reset");
    // The connection is closed if the head of the response has been sent when
    // the reset is read, which may come with it.
    const isIncomplete = reset.status === 0 || reset.status === 502;
    assert.equal([status.status, isIncomplete], [502, true]);
  } finally {
    stopped.abort();
    await announcing;
    await fleet.close();
    server.stop();
  }
});

test.run();
