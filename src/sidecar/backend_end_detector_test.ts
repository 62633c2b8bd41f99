import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type Announcement, BackendState } from "../protocol/mesh.ts";
import { RequestKind } from "../protocol/mesh.ts";
import type { MeshCall } from "../protocol/mesh_call.ts";
import { LocalBackend } from "../state/local_backend.ts";
import { BackendEndDetector } from "./backend_end_detector.ts";

/** A backend process that accepts connections until it ends. */
class Process {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly address: string;

  private constructor(server: Server) {
    this.#server = server;
    const { port } = server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
    server.on("connection", (socket) => this.#sockets.add(socket));
  }

  static async start(): Promise<Process> {
    const server = createServer();
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    return new Process(server);
  }

  async end(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    await new Promise((resolve) => this.#server.close(resolve));
  }
}

function announce(address: string, id: string, born: number): Announcement {
  return {
    id,
    service: "stock",
    address,
    slots: 4,
    state: BackendState.Ready,
    sequence: 1,
    bornAtUnixMs: born,
  };
}

function callTo(backendId: string, id: string): MeshCall {
  return {
    id,
    method: "GET",
    path: `/${id}`,
    headers: [],
    body: undefined,
    route: "r",
    kind: RequestKind.Idempotent,
    priority: 0,
    callerService: "shop",
    service: "stock",
    backendId,
    deadlineMs: 0,
    objectiveAtMs: 0,
  };
}

/** A detector beside a process `i-1`, and the ends that it reports. */
async function setUp(hasOpenExchange = false) {
  const process = await Process.start();
  const backend = new LocalBackend();
  backend.applyAnnouncement(announce(process.address, "i-1", 1));
  const ends: string[] = [];
  const detector = new BackendEndDetector({
    backend,
    hasOpenExchange: () => hasOpenExchange,
    onEnd: ({ id, calls, proof }) =>
      ends.push(`${id} ${proof}: ${calls.map((call) => call.id).join(",")}`),
  });
  return { process, backend, detector, ends };
}

test("a process whose port refuses connections has ended with its calls", async () => {
  const { process, detector, ends } = await setUp();
  await process.end();
  const hasEnded = await Promise.all([
    detector.recordBreak(callTo("i-1", "a")),
    detector.recordBreak(callTo("i-1", "b")),
  ]);
  assert.equal(hasEnded, [true, true]);
  assert.equal(ends, ["i-1@1 refused: a,b"]);
});

// Guards against taking a reset connection for the end of a process.
test("a broken connection proves no end while the process accepts others", async () => {
  const { process, backend, detector, ends } = await setUp();
  assert.is(await detector.recordBreak(callTo("i-1", "a")), false);
  backend.applyAnnouncement(announce(process.address, "i-2", 2));
  detector.recordReplacement();
  assert.equal(ends, []);
  await process.end();
});

// Guards against taking an overloaded process for one that has ended.
test("a port that refuses proves no end while an exchange is open", async () => {
  const { process, detector, ends } = await setUp(true);
  await process.end();
  assert.is(await detector.recordBreak(callTo("i-1", "a")), false);
  assert.equal(ends, []);
});

test("a new process proves the end of one that was not seen alive again", async () => {
  const { process, backend, detector, ends } = await setUp(true);
  await process.end();
  await detector.recordBreak(callTo("i-1", "a"));
  backend.applyAnnouncement(announce(process.address, "i-2", 2));
  detector.recordReplacement();
  assert.equal(ends, ["i-1@1 replaced: a"]);
});

// Guards against taking a planned stop for a crash.
test("a process that leaves as planned has not ended under its calls", async () => {
  const { process, backend, detector, ends } = await setUp();
  await process.end();
  const check = detector.recordBreak(callTo("i-1", "a"));
  backend.applyLeave("i-1", 1);
  detector.forget();
  assert.is(await check, false);
  assert.is(await detector.recordBreak(callTo("i-1", "b")), false);
  backend.applyAnnouncement(announce(process.address, "i-2", 2));
  detector.recordReplacement();
  assert.equal(ends, []);
});

test.run();
