import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FaultProxy } from "../../fakes/fault_proxy.ts";
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

const SHORT_MS = 200;
/** Time after a deadline by which a slot must be free, in ms. */
const FREE_SLOT_MS = 1_000;

// Review 1: connections went silent, those of callers too, so no cancellation
// came and the slots of the requests that were running stayed taken for ever.
test("execute() frees the slot of a request whose answer and cancellation never come", async () => {
  const server = await FakeBackend.start(BACKEND_ID);
  const proxy = new FaultProxy(Number(server.address.split(":")[1]));
  await proxy.listen();
  const dispatcher = createDispatcher(`127.0.0.1:${proxy.port}`);
  const never = new AbortController().signal;
  const timeoutMs = SHORT_MS;
  const kinds = [RequestKind.Idempotent, RequestKind.AtMostOnce];
  const silent = [];
  for (const kind of kinds) {
    proxy.set({ kind: "silence" });
    const outcome = await Promise.race([
      dispatcher.execute(
        createCall(`silent-${kind}`, { kind, timeoutMs }),
        never,
      ),
      sleep(timeoutMs + FREE_SLOT_MS, "still running"),
    ]);
    silent.push(outcome);
    proxy.set({ kind: "none" });
  }
  const next = await Promise.race([
    dispatcher.execute(createCall("next", OPTIONS), never),
    sleep(FREE_SLOT_MS, { kind: "still waiting" }),
  ]);
  const { openRequests } = dispatcher;
  await proxy.close();
  await server.stop();
  assert.equal({ silent, next: next.kind, openRequests }, {
    silent: kinds.map(() => ({ kind: "unknown", reason: "timed-out" })),
    next: "answered",
    openRequests: 0,
  });
});

test.run();
