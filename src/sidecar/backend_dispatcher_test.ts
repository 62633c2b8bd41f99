import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type Announcement,
  BackendState,
  RequestKind,
} from "../protocol/mesh.ts";
import {
  type CallOutcome,
  type MeshCall,
  MeshReason,
} from "../protocol/mesh_call.ts";
import { LocalBackend } from "../state/local_backend.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { TextMetrics } from "../transport/observe/text_metrics.ts";
import { BackendDispatcher } from "./backend_dispatcher.ts";
import type { EdgeHeaders } from "./ports.ts";
import { RequestQuarantine } from "./request_quarantine.ts";

const HEADERS: EdgeHeaders = {
  requestId: "id",
  timeoutMs: "timeout",
  callerService: "caller",
  expectedBackend: "expected",
  organisationKey: "key",
  organisation: "organisation",
  answerProof: "proof",
  notRun: "not-run",
  backendId: "backend",
  limitPerS: "limit",
  leaving: "leaving",
  load: { name: "load", decodePace: () => undefined },
};
const WAITING = 60;
/** Until a service time is known, a request is expected to take 50 ms. */
const SERVICE_MS = 50;
/** Time to serve the running and the waiting requests, and half of another. */
const ENOUGH_MS = (WAITING + 1.5) * SERVICE_MS;

const REFUSED = `not-run ${MeshReason.Overloaded}`;

function toAnnouncement(port: number): Announcement {
  return {
    id: "b1",
    service: "stock",
    address: `127.0.0.1:${port}`,
    slots: 1,
    state: BackendState.Ready,
    sequence: 1,
    bornAtUnixMs: 1,
  };
}

function toCall(id: string): MeshCall {
  const nowMs = performance.now();
  return {
    id,
    method: "GET",
    path: `/${id}`,
    headers: ["id", id],
    body: undefined,
    route: "read",
    kind: RequestKind.Idempotent,
    priority: 0,
    callerService: "web",
    service: "stock",
    backendId: "b1",
    deadlineMs: nowMs + ENOUGH_MS,
    objectiveAtMs: nowMs + ENOUGH_MS,
    organisation: id[0]!,
  };
}

function toText(outcome: CallOutcome): string {
  return outcome.kind === "answered"
    ? String(outcome.answer.status)
    : `${outcome.kind} ${outcome.reason}`;
}

// Failure: a request that others displace is held until its time has passed, or
// stays in the queue and runs although its caller was told that it never will.
test("BackendDispatcher.execute() refuses a displaced request at once and never runs it", async () => {
  const received: string[] = [];
  let held: ServerResponse | undefined;
  const server = createServer((request, response) => {
    const id = request.url!.slice(1);
    received.push(id);
    response.setHeader("id", id).setHeader("proof", "1");
    if (held === undefined) held = response;
    else response.end("ok");
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const log = new EventLog({ sink: { write: () => {}, close: () => {} } });
  const metrics = new TextMetrics();
  const backend = new LocalBackend();
  const dispatcher = new BackendDispatcher({
    backend,
    headers: HEADERS,
    quarantine: new RequestQuarantine({
      instance: "i1",
      log,
      metrics,
      onReport: () => {},
    }),
    stalls: { hasStalled: false },
    log,
    metrics,
    onLeaving: () => {},
  });
  const announcement = toAnnouncement((server.address() as AddressInfo).port);
  backend.applyAnnouncement(announcement);
  dispatcher.connect(announcement);
  const execute = (id: string) =>
    dispatcher.execute(toCall(id), new AbortController().signal);
  const large = Array.from({ length: WAITING + 1 }, (_, index) => `a${index}`)
    .map(execute);
  const waiting = dispatcher.openRequests;
  const small = execute("b");
  const displaced = waiting + 1 - dispatcher.openRequests;
  while (held === undefined) {
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
  held.end("ok");
  const outcomes = (await Promise.all(large)).map(toText);
  const refused = outcomes.filter((outcome) => outcome === REFUSED).length;
  assert.equal({
    waiting,
    isDisplaced: displaced > 0,
    small: toText(await small),
    refused,
    served: outcomes.filter((outcome) => outcome === "200").length,
    received: received.length,
    first: received.slice(0, 2),
    open: dispatcher.openRequests,
    counted: metrics.text().includes(`calls_displaced_total ${displaced}\n`),
  }, {
    waiting: WAITING + 1,
    isDisplaced: true,
    small: "200",
    refused: displaced,
    served: WAITING + 1 - displaced,
    received: WAITING + 2 - displaced,
    first: ["a0", "b"],
    open: 0,
    counted: true,
  });
  server.closeAllConnections();
  server.close();
});

test.run();
