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
  formatCallerRequest,
  isServed,
  openConnection,
  testDaemons,
} from "./daemon_processes.ts";

/** Callers that disconnect while the daemon is paused. */
const CALLERS = 5;
/** Slots that the backend server of a {@linkcode SoakInstance} announces. */
const SLOTS = 8;

/** Defines a test on one daemon that runs as a separate process. */
function testDaemon(
  name: string,
  run: (daemon: SoakInstance) => Promise<void>,
): void {
  testDaemons(name, 1, ([daemon]) => run(daemon!));
}

function formatDescription(id: string): string {
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

function formatPeerRequest(id: string): string {
  return `GET /stock/1 HTTP/1.1\r\nhost: shop.example\r\n` +
    `x-attempt-id: ${id}\r\n${HEADER_CALL}: ${formatDescription(id)}\r\n\r\n`;
}

/**
 * Returns the requests that ran although their callers disconnected while the
 * daemon was paused: some on reused connections, some on new ones.
 */
async function collectRunsOfDisconnectedCallers(
  daemon: SoakInstance,
  port: number,
  format: (id: string) => string,
): Promise<string[]> {
  const reused = await Promise.all(
    Array.from({ length: CALLERS }, () => openConnection(port)),
  );
  for (const [index, socket] of reused.entries()) {
    socket.write(format(`before-${index}`));
    await once(socket, "data");
  }
  daemon.pause();
  const opened = await Promise.all(
    Array.from({ length: CALLERS }, () => openConnection(port)),
  );
  const sockets = [...reused, ...opened];
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

// Guards against running requests whose callers closed their connections while
// the ingress daemon had no processor time.
testDaemon(
  "a daemon that was paused runs nothing for callers that disconnected meanwhile",
  async (daemon) => {
    assert.equal(
      await collectRunsOfDisconnectedCallers(
        daemon,
        daemon.ingressPort,
        formatCallerRequest,
      ),
      [],
    );
  },
);

// Guards against the same at the daemon beside the backend server.
testDaemon(
  "a daemon that was paused runs nothing that other daemons abandoned meanwhile",
  async (daemon) => {
    assert.equal(
      await collectRunsOfDisconnectedCallers(
        daemon,
        daemon.peerPort,
        formatPeerRequest,
      ),
      [],
    );
  },
);

// Guards against the same on a connection that multiplexes requests.
testDaemon(
  "a daemon that was paused runs no calls that were cancelled meanwhile",
  async (daemon) => {
    const channels = Array.from(
      { length: CALLERS },
      () => new CallChannel(`127.0.0.1:${daemon.peerPort}`),
    );
    const send = (channel: CallChannel, id: string, signal: AbortSignal) => {
      const headers = ["host", "shop.example", "x-attempt-id", id];
      const start = ["GET", "/stock/1"];
      const head = formatFrameHead({
        description: formatDescription(id),
        start,
        headers,
      });
      return channel.send({ head, body: undefined }, signal);
    };
    const noCancellation = new AbortController().signal;
    await send(channels[0]!, "before", noCancellation);
    daemon.pause();
    const cancellation = new AbortController();
    const cancelledCalls = channels.map((channel, index) =>
      send(channel, `left-${index}`, cancellation.signal)
    );
    await sleep(300);
    cancellation.abort();
    await Promise.all(cancelledCalls);
    await sleep(700);
    daemon.resume();
    await Promise.all(
      channels.map((channel, index) =>
        send(channel, `kept-${index}`, noCancellation)
      ),
    );
    for (const channel of channels) channel.close();
    const ids = daemon.backend.runs.map(({ id }) => id);
    assert.equal({
      kept: ids.filter((id) => id.startsWith("kept-")).length,
      left: ids.filter((id) => id.startsWith("left-")),
    }, { kept: CALLERS, left: [] });
  },
);

// Guards against the same for requests that already waited for a slot.
testDaemon(
  "a daemon that was paused starts no queued request of a caller that disconnected",
  async (daemon) => {
    daemon.backend.workMs = 250;
    const running = await Promise.all(
      Array.from({ length: SLOTS }, () => openConnection(daemon.peerPort)),
    );
    for (const [index, socket] of running.entries()) {
      socket.write(formatPeerRequest(`running-${index}`));
    }
    await sleep(50);
    const waiting = await Promise.all(
      Array.from({ length: CALLERS }, () => openConnection(daemon.peerPort)),
    );
    for (const [index, socket] of waiting.entries()) {
      socket.write(formatPeerRequest(`left-${index}`));
    }
    await sleep(50);
    daemon.pause();
    // The backend server responds first, so that slots are free on resumption.
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
