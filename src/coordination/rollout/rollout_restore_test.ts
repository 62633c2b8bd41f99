import { test } from "uvu";
import * as assert from "uvu/assert";
import { RolloutPhase, type RolloutRecord } from "../../protocol/rollout.ts";
import { keepsRecord } from "./keeps_record.ts";
import { RolloutCoordinator } from "./rollout_coordinator.ts";
import { RolloutReason } from "./rollout_types.ts";

const ORDER = { service: "orders", targetVersion: "v2", durationMs: 20_000 };
const SECOND = { ...ORDER, targetVersion: "v3" };
const RUNNING: RolloutRecord = {
  service: "orders",
  sequence: 4,
  phase: RolloutPhase.Running,
  inUse: ["v1"],
  decider: "d0",
  targetVersion: "v2",
  share: 0.1,
  startedAtUnixMs: 1_000_000,
  endsAtUnixMs: 1_020_000,
};
const FINISHED: RolloutRecord = {
  ...RUNNING,
  sequence: 9,
  phase: RolloutPhase.Finished,
  share: 1,
  inUse: ["v2"],
};

function situationAt(nowMs: number, rank = 0) {
  return {
    nowMs,
    nowUnixMs: 1_000_000 + nowMs,
    viewAgeMs: 100,
    rank,
    daemons: 2,
    inUse: ["v1"],
    announced: ["v1", "v2"],
    formerInstances: ["d0"],
    hasTarget: true,
  };
}

const restoreAt = (nowMs: number) => ({
  nowMs,
  delayMs: 500,
  periodMs: 1_000,
  followed: undefined,
});

/** A daemon that knows the end of the order, in a store restored at 10 s. */
function restoredCoordinator(instance: string): RolloutCoordinator {
  const coordinator = new RolloutCoordinator(instance, "orders");
  coordinator.setOrder(ORDER, { nowMs: 0, nowUnixMs: 1_000_000 });
  coordinator.startEra(1, undefined);
  coordinator.setRecord(FINISHED, 90, 5_000);
  coordinator.startEra(2, restoreAt(10_000));
  return coordinator;
}

test("RolloutCoordinator.next() writes a lost end again, once, after the owner's delay", () => {
  const owner = restoredCoordinator("d0");
  const early = owner.next(situationAt(10_400));
  const write = owner.next(situationAt(10_500))!;
  owner.finishWrite({ kind: "written", revision: 7, era: 2 }, 10_510);
  assert.equal({
    early,
    reason: write.reason,
    phase: write.record.phase,
    status: write.status?.phase,
    afterRevision: write.afterRevision,
    later: owner.next(situationAt(30_000)),
  }, {
    early: undefined,
    reason: RolloutReason.Rewritten,
    phase: RolloutPhase.Finished,
    status: RolloutPhase.Finished,
    afterRevision: 0,
    later: undefined,
  });
});

// Guards against an end that is lost for ever with the daemon that decided it.
test("RolloutCoordinator.next() writes a lost end again in place of an owner that is gone", () => {
  const other = restoredCoordinator("d1");
  const writes = [10_600, 13_900, 14_800].map((nowMs) =>
    other.next(situationAt(nowMs, 1))?.record.phase
  );
  assert.equal(writes, [undefined, undefined, RolloutPhase.Finished]);
});

// Guards against a decision that is made again with a different result by a
// daemon that has seen only the copy.
test("RolloutCoordinator.setRecord() keeps the end of an order", () => {
  const owner = restoredCoordinator("d0");
  const rival = {
    ...RUNNING,
    sequence: 11,
    decider: "d1",
    phase: RolloutPhase.RolledBack,
  };
  const holds = owner.setRecord(rival, 7, 10_100);
  const { record, afterRevision } = owner.next(situationAt(10_500))!;
  assert.equal(
    [holds, record.phase, record.sequence, afterRevision],
    [false, RolloutPhase.Finished, 12, 7],
  );
});

test("RolloutCoordinator.setRecord() follows a record that the copy has", () => {
  const owner = restoredCoordinator("d0");
  assert.equal(
    [owner.setRecord(FINISHED, 7, 10_100), owner.next(situationAt(30_000))],
    [true, undefined],
  );
});

// Guards against a revision of the former era in a condition of the new one.
test("RolloutCoordinator.finishWrite() takes no revision from a late response", () => {
  const owner = new RolloutCoordinator("d0", "orders");
  owner.startEra(1, undefined);
  owner.setOrder(ORDER, { nowMs: 0, nowUnixMs: 1_000_000 });
  const first = owner.next(situationAt(0))!;
  owner.startEra(2, restoreAt(100));
  owner.finishWrite({ kind: "written", revision: 90, era: 1 }, 150);
  const next = owner.next(situationAt(1_500))!;
  assert.equal(
    [first.record.sequence, next.record.sequence, next.afterRevision],
    [1, 2, 0],
  );
  assert.equal(next.status?.phase, RolloutPhase.Running);
});

// Guards against a return to the order before the one that was lost.
test("RolloutCoordinator.setOrder() ignores a former order of the copy", () => {
  const owner = new RolloutCoordinator("d0", "orders");
  const time = { nowMs: 0, nowUnixMs: 1_000_000 };
  owner.setOrder(ORDER, time);
  owner.setRecord(FINISHED, 90, 100);
  owner.setOrder(SECOND, time);
  owner.setRecord(
    { ...RUNNING, sequence: 10, targetVersion: "v3" },
    91,
    200,
  );
  owner.startEra(2, restoreAt(10_000));
  const isTaken = owner.setOrder(ORDER, time, true);
  const write = owner.next(situationAt(10_900));
  assert.equal([isTaken, write], [false, undefined]);
  // Written again by the operator, it is a new order.
  assert.equal(owner.setOrder(ORDER, time, false), true);
});

test("keepsRecord() prefers the newer record of different orders", () => {
  const later = { ...RUNNING, sequence: 12, targetVersion: "v3" };
  assert.equal([
    keepsRecord(undefined, RUNNING),
    keepsRecord(FINISHED, RUNNING),
    keepsRecord(FINISHED, later),
    keepsRecord(later, FINISHED),
  ], [false, true, false, true]);
});

test.run();
