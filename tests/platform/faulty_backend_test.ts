import { setTimeout as sleep } from "node:timers/promises";
import process from "node:process";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RequestKind } from "../../src/protocol/mesh.ts";
import type { CallOutcome } from "../../src/protocol/mesh_call.ts";
import {
  ExtraBytes,
  FaultyBackend,
  Framing,
  type ResponsePlan,
} from "./faulty_backend.ts";
import { createCall, createDispatcher } from "./local_dispatcher.ts";

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
  extra: ExtraBytes.None,
  extraDelayMs: 0,
};

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
    const call = createCall(id, {
      kind: RequestKind.AtMostOnce,
      timeoutMs: TIMEOUT_MS,
    });
    const outcome = await dispatcher.execute(call, timeout);
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
  extra: fc.constantFrom(...Object.values(ExtraBytes)),
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
      const repeated = {
        ...refusal,
        extra: ExtraBytes.SameResponse,
        extraDelayMs,
      };
      const later = {
        ...SOUND,
        extra: ExtraBytes.EarlierRefusal,
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
