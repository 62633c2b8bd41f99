import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeBackend } from "../../platform/fakes/backend.ts";
import { RequestKind } from "../../src/protocol/mesh.ts";
import { until } from "../../testkit/until.ts";
import {
  BACKEND_ID,
  createCall,
  createDispatcher,
} from "./local_dispatcher.ts";

/** Longer than the test, so that a timer that is not cleared is detected. */
const TIMEOUT_MS = 60_000;
const OPTIONS = { kind: RequestKind.Idempotent, timeoutMs: TIMEOUT_MS };
const WORK_MS = 20;
const TIMER_END_TIMEOUT_MS = 5_000;

function countTimers(): number {
  return process.getActiveResourcesInfo()
    .filter((name) => name === "Timeout").length;
}

// Guards against a leak: the timer and the listener of each request that had
// waited for a slot stayed, with the request's body, until its deadline.
test("execute() releases everything of a request that waited for a slot", async () => {
  const server = await FakeBackend.start(BACKEND_ID);
  server.workMs = WORK_MS;
  const dispatcher = createDispatcher(server.address);
  const timersBefore = countTimers();
  const cancel = new AbortController();
  const outcomes = Promise.all([
    ...["a", "b", "c"].map((id) =>
      dispatcher.execute(createCall(id, OPTIONS), new AbortController().signal)
    ),
    dispatcher.execute(createCall("d", OPTIONS), cancel.signal),
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
