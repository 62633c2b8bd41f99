import { setTimeout as sleep } from "node:timers/promises";
import process from "node:process";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EDGE_HEADERS } from "../../platform/edge_headers.ts";
import { BackendState, RequestKind } from "../../src/protocol/mesh.ts";
import type { CallOutcome, MeshCall } from "../../src/protocol/mesh_call.ts";
import { BackendDispatcher } from "../../src/sidecar/backend_dispatcher.ts";
import { LocalBackend } from "../../src/state/local_backend.ts";
import { EventLog } from "../../src/transport/observe/event_log.ts";
import { TextMetrics } from "../../src/transport/observe/text_metrics.ts";
import { FaultyBackend, Framing, type ResponsePlan } from "./faulty_backend.ts";

const RUNS = {
  seed: Number(process.env.FAULTY_BACKEND_SEED ?? 27),
  numRuns: Number(process.env.FAULTY_BACKEND_RUNS ?? 300),
};
const TIMEOUT_MS = 400;
/** Requests of one run, one after another. */
const MAX_REQUESTS = 5;

const SOUND: ResponsePlan = {
  framing: Framing.Length,
  runs: true,
  workMs: 0,
  hasId: true,
  cutAt: 1,
  isReset: false,
  extra: "none",
  extraDelayMs: 0,
};

function createCall(id: string): MeshCall {
  const deadlineMs = performance.now() + TIMEOUT_MS;
  return {
    id,
    method: "POST",
    path: "/orders/1",
    headers: ["host", "shop.example", EDGE_HEADERS.requestId, id],
    body: undefined,
    route: "orders",
    kind: RequestKind.AtMostOnce,
    priority: 0,
    callerService: "shop",
    service: "stock",
    backendId: "i-1",
    deadlineMs,
    objectiveAtMs: deadlineMs,
  };
}

function createDispatcher(address: string): BackendDispatcher {
  const announcement = {
    id: "i-1",
    service: "stock",
    address,
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

/** Names what the outcome says wrongly about a request; empty if nothing. */
function findFault(
  backend: FaultyBackend,
  id: string,
  outcome: CallOutcome,
): string {
  const meant = backend.meant.get(id);
  switch (outcome.kind) {
    case "unknown":
      return "";
    case "not-run":
      return meant?.hasRun === true ? `${id} has run, but is said not to` : "";
    case "answered": {
      if (meant?.hasRun !== true) return `${id} has not run, but is answered`;
      const { body } = outcome.answer;
      const isEndOpen = meant.plan.framing === Framing.Close &&
        !meant.plan.isReset;
      // Without a length, an orderly end is the only mark of a whole response.
      if (!meant.isWhole && !isEndOpen) return `${id} is cut, but answered`;
      if (isEndOpen && meant.body.startsWith(String(body))) return "";
      return String(body) === meant.body ? "" : `${id} has another body`;
    }
  }
}

/** Sends requests one after another; returns what was said wrongly. */
async function findFaults(
  plans: readonly ResponsePlan[],
  pauses: readonly number[],
): Promise<readonly string[]> {
  const backend = await FaultyBackend.start(plans);
  const dispatcher = createDispatcher(backend.address);
  const faults: string[] = [];
  for (const [index, pauseMs] of pauses.entries()) {
    const id = `r${index}`;
    const timeout = AbortSignal.timeout(TIMEOUT_MS);
    const outcome = await dispatcher.execute(createCall(id), timeout);
    faults.push(findFault(backend, id, outcome));
    if (pauseMs > 0) await sleep(pauseMs);
  }
  backend.stop();
  return faults.filter((fault) => fault !== "");
}

const PLAN: fc.Arbitrary<ResponsePlan> = fc.record({
  framing: fc.constantFrom(...Object.values(Framing)),
  runs: fc.boolean(),
  workMs: fc.constantFrom(0, 3),
  hasId: fc.boolean(),
  cutAt: fc.oneof(fc.constant(1), fc.double({ min: 0, max: 1, noNaN: true })),
  isReset: fc.boolean(),
  extra: fc.constantFrom("none", "same", "earlier-refusal", "interim"),
  extraDelayMs: fc.constantFrom(0, 1, 5),
});

// Reported by other operators: an earlier refusal is written once more on a
// kept connection, and the next request is said not to have run.
test("a refusal that is written once more is not taken for that of the next request", async () => {
  const refusal = { ...SOUND, runs: false, hasId: false };
  const slow = { ...SOUND, workMs: 10 };
  const faults = [];
  for (const extraDelayMs of [0, 1, 5]) {
    for (const pauseMs of [0, 2]) {
      const repeated = { ...refusal, extra: "same" as const, extraDelayMs };
      const later = {
        ...SOUND,
        extra: "earlier-refusal" as const,
        extraDelayMs,
      };
      faults.push(
        ...await findFaults([repeated, slow], [pauseMs, 0]),
        ...await findFaults([refusal, later, slow], [0, pauseMs, 0]),
      );
    }
  }
  assert.equal(faults, []);
});

// Reported by other operators: a response that stops within its head is passed
// on as a whole one.
test("a response that is cut at any byte is not taken for a whole one", async () => {
  const faults = [];
  for (const framing of Object.values(Framing)) {
    for (const isReset of [false, true]) {
      for (let step = 0; step < 60; step++) {
        const cut = { ...SOUND, framing, isReset, cutAt: step / 60 };
        faults.push(...await findFaults([SOUND, cut], [0, 0]));
      }
    }
  }
  assert.equal(faults, []);
});

test("whatever a faulty backend server writes, no request gets a wrong outcome", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(PLAN, { minLength: 1, maxLength: MAX_REQUESTS }),
      fc.array(fc.constantFrom(0, 1, 6), {
        minLength: MAX_REQUESTS,
        maxLength: MAX_REQUESTS,
      }),
      async (plans, pauses) => {
        assert.equal(await findFaults(plans, pauses), []);
      },
    ),
    RUNS,
  );
});

test.run();
