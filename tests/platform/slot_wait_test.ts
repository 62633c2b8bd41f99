import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeBackend } from "../../platform/fakes/backend.ts";
import { EDGE_HEADERS } from "../../platform/edge_headers.ts";
import { BackendState, RequestKind } from "../../src/protocol/mesh.ts";
import type { MeshCall } from "../../src/protocol/mesh_call.ts";
import { BackendDispatcher } from "../../src/sidecar/backend_dispatcher.ts";
import { LocalBackend } from "../../src/state/local_backend.ts";
import { EventLog } from "../../src/transport/observe/event_log.ts";
import { TextMetrics } from "../../src/transport/observe/text_metrics.ts";
import { until } from "../../testkit/until.ts";

/** Longer than the test, so that a timer that is not cleared is detected. */
const DEADLINE_MS = 60_000;
const WORK_MS = 20;
const TIMER_END_TIMEOUT_MS = 5_000;

function createCall(id: string): MeshCall {
  const nowMs = performance.now();
  return {
    id,
    method: "GET",
    path: "/stock/1",
    headers: ["host", "shop.example", EDGE_HEADERS.requestId, id],
    body: undefined,
    route: "stock",
    kind: RequestKind.Idempotent,
    priority: 0,
    callerService: "shop",
    service: "stock",
    backendId: "i-1",
    deadlineMs: nowMs + DEADLINE_MS,
    objectiveAtMs: nowMs + DEADLINE_MS,
  };
}

function createDispatcher(server: FakeBackend): BackendDispatcher {
  const announcement = {
    id: server.id,
    service: "stock",
    address: server.address,
    slots: 1,
    state: BackendState.Ready,
    sequence: 1,
    bornAtUnixMs: 1,
  };
  const backend = new LocalBackend();
  backend.applyAnnouncement(announcement);
  const dispatcher = new BackendDispatcher({
    backend,
    headers: EDGE_HEADERS,
    stalls: { hasStalled: false },
    log: new EventLog({ sink: { write: () => {}, close: () => {} } }),
    metrics: new TextMetrics(),
  });
  dispatcher.connect(announcement);
  return dispatcher;
}

function countTimers(): number {
  return process.getActiveResourcesInfo()
    .filter((name) => name === "Timeout").length;
}

// Guards against a leak: the timer and the listener of each request that had
// waited for a slot stayed, with the request's body, until its deadline.
test("execute() releases everything of a request that waited for a slot", async () => {
  const server = await FakeBackend.start("i-1");
  server.workMs = WORK_MS;
  const dispatcher = createDispatcher(server);
  const timersBefore = countTimers();
  const cancel = new AbortController();
  const outcomes = Promise.all([
    ...["a", "b", "c"].map((id) =>
      dispatcher.execute(createCall(id), new AbortController().signal)
    ),
    dispatcher.execute(createCall("d"), cancel.signal),
  ]);
  cancel.abort();
  const kinds = (await outcomes).map(({ kind }) => kind);
  // Connections and the log use short timers of their own.
  await until(
    () => countTimers() <= timersBefore,
    "all timers are cleared",
    TIMER_END_TIMEOUT_MS,
  );
  assert.equal(kinds, ["answered", "answered", "answered", "not-run"]);
  await server.stop();
});

test.run();
