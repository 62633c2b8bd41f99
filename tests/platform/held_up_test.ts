import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { SoakInstance } from "../../soak/instance.ts";
import { RequestKind } from "../../src/protocol/mesh.ts";
import { formatCall, HEADER_CALL } from "../../src/protocol/peer_call.ts";
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

function peerRequest(id: string): string {
  const description = formatCall({
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
  return `GET /stock/1 HTTP/1.1\r\nhost: shop.example\r\n` +
    `x-attempt-id: ${id}\r\n${HEADER_CALL}: ${description}\r\n\r\n`;
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
