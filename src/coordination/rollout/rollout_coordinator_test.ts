import { test } from "uvu";
import * as assert from "uvu/assert";
import { RolloutPhase } from "../../protocol/rollout.ts";
import { RolloutCoordinator } from "./rollout_coordinator.ts";

const ORDER = { service: "orders", targetVersion: "v2", durationMs: 20_000 };

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

function startCoordinator(instance: string): RolloutCoordinator {
  const coordinator = new RolloutCoordinator(instance, "orders");
  coordinator.setOrder(ORDER, { nowMs: 0, nowUnixMs: 1_000_000 });
  return coordinator;
}

test("RolloutCoordinator.next() takes up an order and tells the operator", () => {
  const { record, status, afterRevision } = startCoordinator("d0")
    .next(situationAt(0))!;
  assert.equal({ record, status, afterRevision }, {
    record: {
      service: "orders",
      sequence: 1,
      phase: RolloutPhase.Running,
      inUse: ["v1"],
      decider: "d0",
      targetVersion: "v2",
      share: 0,
      startedAtUnixMs: 1_000_000,
      endsAtUnixMs: 1_020_000,
    },
    status: {
      service: "orders",
      targetVersion: "v2",
      phase: RolloutPhase.Running,
    },
    afterRevision: 0,
  });
});

// Guards against two daemons that both decide after a write at the same time.
test("RolloutCoordinator.finishWrite() leaves the decision to the daemon that wrote first", () => {
  const first = startCoordinator("d0");
  const second = startCoordinator("d1");
  const { record } = first.next(situationAt(0))!;
  second.next(situationAt(0));
  first.finishWrite({ kind: "written", revision: 5 }, 10);
  second.finishWrite({ kind: "conflict", found: { record, revision: 5 } }, 10);
  assert.equal({
    deciders: [first.isDecider, second.isDecider],
    next: second.next(situationAt(1_000, 1)),
  }, { deciders: [true, false], next: undefined });
});

// Guards against a rollout that nobody decides, and against a share that goes on
// although nobody has looked at the results.
test("RolloutCoordinator.next() takes over a record that is not renewed", () => {
  const { record } = startCoordinator("d0").next(situationAt(0))!;
  const other = startCoordinator("d1");
  other.setRecord({ ...record, share: 0.3 }, 5, 0);
  const early = other.next(situationAt(3_000, 1));
  const { reason, record: taken } = other.next(situationAt(4_000, 1))!;
  assert.equal({ early, reason, share: taken.share, decider: taken.decider }, {
    early: undefined,
    reason: "taken-over",
    share: 0,
    decider: "d1",
  });
});

// Guards against a decision from a view of the store that is out of date.
test("RolloutCoordinator.next() takes up nothing by an old view", () => {
  const situation = { ...situationAt(0), viewAgeMs: 5_000 };
  assert.is(startCoordinator("d0").next(situation), undefined);
});

// Guards against a decider that goes on although no daemon reports to it.
test("RolloutCoordinator.receive() answers only while daemons report", () => {
  const coordinator = startCoordinator("d0");
  coordinator.next(situationAt(0));
  coordinator.finishWrite({ kind: "written", revision: 5 }, 0);
  const report = {
    service: "orders",
    targetVersion: "v2",
    instance: "d1",
    epoch: 1,
    sequence: 1,
    openRequests: 0,
    routes: [],
  };
  coordinator.next({ ...situationAt(100), daemons: 5 });
  const atStart = coordinator.receive(report, 100)?.sequence;
  const later = coordinator.receive(report, 6_000);
  assert.equal({ atStart, later }, { atStart: 1, later: undefined });
});

// Guards against daemons that go on with a bad version, as the decider does not
// know that its last write was recorded: 200 requests, 50 of them failures.
test("RolloutCoordinator.receive() stops daemons that follow a write without a response", () => {
  const coordinator = startCoordinator("d0");
  coordinator.next(situationAt(0));
  coordinator.finishWrite({ kind: "written", revision: 5 }, 0);
  const report = (sequence: number, failures: number) => ({
    service: "orders",
    targetVersion: "v2",
    instance: "d1",
    epoch: 1,
    sequence,
    openRequests: 0,
    routes: [{
      route: "orders",
      former: { requests: 150, failures: 0, times: [150] },
      target: { requests: failures, failures, times: [] },
    }],
  });
  coordinator.receive(report(1, 0), 100);
  coordinator.receive({ ...report(1, 0), instance: "d0" }, 100);
  const raised = coordinator.next(situationAt(1_000))!.record;
  coordinator.finishWrite({ kind: "failed" }, 1_000);
  coordinator.receive(report(raised.sequence, 50), 1_500);
  coordinator.next(situationAt(1_500));
  const { sequence, share } = coordinator.receive(
    report(raised.sequence, 50),
    1_600,
  )!;
  assert.equal({ raised: raised.share > 0, sequence, share }, {
    raised: true,
    sequence: raised.sequence,
    share: 0,
  });
});

// Guards against an order that is finished before any backend server is known.
test("RolloutCoordinator.next() waits for a version in use", () => {
  const situation = { ...situationAt(0), inUse: [], announced: ["v2"] };
  assert.is(startCoordinator("d0").next(situation), undefined);
});

test.run();
