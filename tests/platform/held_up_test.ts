import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { SoakInstance } from "../../soak/instance.ts";
import { RequestKind } from "../../src/protocol/mesh.ts";
import {
  formatCall,
  formatFrameHead,
  HEADER_CALL,
} from "../../src/protocol/peer_call.ts";
import { CallChannel } from "../../src/transport/channel/mod.ts";
import { until } from "../../testkit/until.ts";
import {
  daemonsTest,
  edgeRequest,
  isServed,
  open,
} from "./daemon_processes.ts";

/** Callers that leave while the daemon is held up. */
const CALLERS = 5;
/** Slots that a backend server of {@linkcode SoakInstance} announces. */
const SLOTS = 8;

/** Runs a test on one daemon in a process of its own. */
function daemonTest(
  name: string,
  run: (daemon: SoakInstance) => Promise<void>,
): void {
  daemonsTest(name, 1, ([daemon]) => run(daemon!));
}

function describe(id: string): string {
  return formatCall({
    id,
    route: "stock",
    kind: RequestKind.Idempotent,
    priority: 0,
    callerService: "stock",
    service: "stock",
    backendId: "i-0-1",
    remainingMs: 5_000,
    objectiveInMs: 5_000,
    configVersion: 1,
  });
}

function peerRequest(id: string): string {
  return `GET /stock/1 HTTP/1.1\r\nhost: shop.example\r\n` +
    `x-attempt-id: ${id}\r\n${HEADER_CALL}: ${describe(id)}\r\n\r\n`;
}

/**
 * Requests that run although their callers left while the daemon did nothing:
 * some on connections that had served before, some on new ones.
 */
async function requestsLeftBehind(
  daemon: SoakInstance,
  port: number,
  format: (id: string) => string,
): Promise<string[]> {
  const kept = await Promise.all(
    Array.from({ length: CALLERS }, () => open(port)),
  );
  for (const [index, socket] of kept.entries()) {
    socket.write(format(`before-${index}`));
    await once(socket, "data");
  }
  daemon.pause();
  const added = await Promise.all(
    Array.from({ length: CALLERS }, () => open(port)),
  );
  const sockets = [...kept, ...added];
  for (const [index, socket] of sockets.entries()) {
    socket.write(format(`left-${index}`));
  }
  await sleep(50);
  for (const socket of sockets) socket.destroy();
  await sleep(1_000);
  daemon.resume();
  await until(() => isServed(daemon, "last"), "the daemon serves again");
  return daemon.backend.runs.map(({ id }) => id)
    .filter((id) => id.startsWith("left-"));
}

// Guards against work for callers that closed their connections while the
// daemon that took their requests had no processor time.
daemonTest(
  "a daemon that was held up runs nothing for callers that left meanwhile",
  async (daemon) => {
    assert.equal(
      await requestsLeftBehind(daemon, daemon.ingressPort, edgeRequest),
      [],
    );
  },
);

// Guards against the same at the daemon beside the backend server.
daemonTest(
  "a daemon that was held up runs nothing that other daemons gave up meanwhile",
  async (daemon) => {
    assert.equal(
      await requestsLeftBehind(daemon, daemon.peerPort, peerRequest),
      [],
    );
  },
);

// Guards against the same where daemons share a connection for many requests.
daemonTest(
  "a daemon that was held up runs no calls that were cancelled meanwhile",
  async (daemon) => {
    const channels = Array.from(
      { length: CALLERS },
      () => new CallChannel(`127.0.0.1:${daemon.peerPort}`),
    );
    const send = (channel: CallChannel, id: string, signal: AbortSignal) => {
      const headers = ["host", "shop.example", "x-attempt-id", id];
      const start = ["GET", "/stock/1"];
      const head = formatFrameHead({
        description: describe(id),
        start,
        headers,
      });
      return channel.send({ head, body: undefined }, signal);
    };
    const stays = new AbortController().signal;
    await send(channels[0]!, "before", stays);
    daemon.pause();
    const leaves = new AbortController();
    const left = channels.map((channel, index) =>
      send(channel, `left-${index}`, leaves.signal)
    );
    await sleep(300);
    leaves.abort();
    await Promise.all(left);
    await sleep(700);
    daemon.resume();
    await Promise.all(
      channels.map((channel, index) => send(channel, `kept-${index}`, stays)),
    );
    for (const channel of channels) channel.close();
    const ids = daemon.backend.runs.map(({ id }) => id);
    assert.equal({
      kept: ids.filter((id) => id.startsWith("kept-")).length,
      left: ids.filter((id) => id.startsWith("left-")),
    }, { kept: CALLERS, left: [] });
  },
);

// Guards against the same for requests that waited for a slot before.
daemonTest(
  "a daemon that was held up starts nothing that waits for callers that left",
  async (daemon) => {
    daemon.backend.workMs = 250;
    const running = await Promise.all(
      Array.from({ length: SLOTS }, () => open(daemon.peerPort)),
    );
    for (const [index, socket] of running.entries()) {
      socket.write(peerRequest(`running-${index}`));
    }
    await sleep(50);
    const waiting = await Promise.all(
      Array.from({ length: CALLERS }, () => open(daemon.peerPort)),
    );
    for (const [index, socket] of waiting.entries()) {
      socket.write(peerRequest(`left-${index}`));
    }
    await sleep(50);
    daemon.pause();
    // The backend server answers first, so that slots are free on return.
    await sleep(400);
    for (const socket of waiting) socket.destroy();
    await sleep(800);
    daemon.resume();
    await until(() => isServed(daemon, "last"), "the daemon serves again");
    for (const socket of running) socket.destroy();
    const ids = daemon.backend.runs.map(({ id }) => id);
    assert.equal({
      ran: ids.filter((id) => id.startsWith("running-")).length,
      left: ids.filter((id) => id.startsWith("left-")),
    }, { ran: SLOTS, left: [] });
  },
);

test.run();
