import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SettleState } from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { MAX_LEDGER_ENTRIES, RequestLedger } from "./request_ledger.ts";

/** Longer than the retention of finished requests, in ms. */
const BEYOND_RETENTION_MS = 100_000;

test("admit() refuses a late arrival after settle() returned not run", () => {
  const ledger = new RequestLedger(0);
  assert.is(
    ledger.settle("r", { ageMs: 10, givesUp: true }, 5_000),
    SettleState.NOT_RUN,
  );
  assert.is(ledger.admit("r", 5_001), false);
});

test("settle() refuses a waiting request only when the sender gives up", () => {
  const ledger = new RequestLedger(0);
  ledger.admit("r", 5_000);
  const settle = (givesUp: boolean) =>
    ledger.settle("r", { ageMs: 10, givesUp }, 5_010);
  assert.is(settle(false), SettleState.RUNNING);
  assert.is(settle(true), SettleState.NOT_RUN);
  assert.is(ledger.start("r"), false);
});

test("settle() returns unknown when the request was sent before the process started", () => {
  const ledger = new RequestLedger(5_000);
  assert.is(
    ledger.settle("r", { ageMs: 4_500, givesUp: true }, 6_000),
    SettleState.UNKNOWN,
  );
});

test("settle() returns unknown when the request may have been evicted", () => {
  const ledger = new RequestLedger(0);
  ledger.admit("r", 2_000);
  ledger.start("r");
  ledger.finish("r", 2_100);
  assert.is(
    ledger.settle("r", { ageMs: 200, givesUp: true }, 2_200),
    SettleState.DONE,
  );
  ledger.admit("other", BEYOND_RETENTION_MS);
  assert.is(
    ledger.settle(
      "r",
      { ageMs: BEYOND_RETENTION_MS - 2_000, givesUp: true },
      BEYOND_RETENTION_MS,
    ),
    SettleState.UNKNOWN,
  );
});

test("settle() returns unknown when a full ledger evicted requests", () => {
  const ledger = new RequestLedger(0);
  for (let id = 0; id <= MAX_LEDGER_ENTRIES; id++) {
    ledger.admit(`r${id}`, 10_000);
    ledger.start(`r${id}`);
    ledger.finish(`r${id}`, 10_000);
  }
  ledger.admit("last", 10_001);
  assert.is(
    ledger.settle("r0", { ageMs: 1, givesUp: true }, 10_002),
    SettleState.UNKNOWN,
  );
  assert.ok(ledger.size <= MAX_LEDGER_ENTRIES + 1);
});

test("settle() never returns not run for a request that ran or runs later", () => {
  const step = fc.record({
    id: fc.constantFrom("a", "b", "c"),
    kind: fc.constantFrom("begin", "run", "finish", "settle", "wait"),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const ledger = new RequestLedger(0);
      const ran = new Set<string>();
      const settled = new Set<string>();
      const sentAtMs = new Map<string, number>();
      let nowMs = 10_000;
      for (const { id, kind } of steps) {
        nowMs += kind === "wait" ? 30_000 : 1;
        if (!sentAtMs.has(id)) sentAtMs.set(id, nowMs);
        if (kind === "begin") ledger.admit(id, nowMs);
        if (kind === "run" && ledger.start(id)) {
          assert.not(settled.has(id), "the request ran after it was settled");
          ran.add(id);
        }
        if (kind === "finish" && ran.has(id)) ledger.finish(id, nowMs);
        if (kind !== "settle") continue;
        const ageMs = nowMs - sentAtMs.get(id)!;
        const state = ledger.settle(id, { ageMs, givesUp: true }, nowMs);
        if (state !== SettleState.NOT_RUN) continue;
        assert.not(
          ran.has(id),
          "the request was settled as not run after it ran",
        );
        settled.add(id);
      }
    }),
    { seed: 4, numRuns: 500 },
  );
});

test.run();
