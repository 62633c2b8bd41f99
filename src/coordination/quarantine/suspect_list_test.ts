import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  SuspectList,
  SUSPICION_MS,
  type SuspicionChange,
  SuspicionEnd,
  Verdict,
} from "./suspect_list.ts";

function setUp() {
  const changes: SuspicionChange[] = [];
  const list = new SuspectList((change) => changes.push(change));
  const end = (id: string, fingerprints: string[], nowMs = 0) =>
    list.recordEnd({ id, fingerprints }, "a-1", nowMs);
  const verdict = (fingerprint: string, nowMs = 0) =>
    list.judge(fingerprint, nowMs).verdict;
  return { list, end, verdict, changes };
}

test("a request that ran at three ends, twice with no other suspect, is quarantined", () => {
  const { end, verdict } = setUp();
  end("1", ["fatal", "a", "b"]);
  assert.is(verdict("fatal"), Verdict.Suspected);
  end("2", ["fatal", "c"]);
  assert.is(verdict("fatal"), Verdict.Suspected);
  end("3", ["d", "fatal", "e"]);
  assert.is(verdict("fatal"), Verdict.Quarantined);
  assert.equal(["a", "b", "c", "d", "e"].map((other) => verdict(other)), [
    Verdict.Suspected,
    Verdict.Suspected,
    Verdict.Clear,
    Verdict.Clear,
    Verdict.Clear,
  ]);
});

// Guards against refusing a request that only ran beside the one that is fatal.
test("a request is on trial as long as others are suspected of the same ends", () => {
  const { end, verdict } = setUp();
  for (const id of ["1", "2", "3", "4"]) end(id, ["fatal", "a"]);
  assert.is(verdict("fatal"), Verdict.OnTrial);
  assert.is(verdict("a"), Verdict.OnTrial);
  end("5", ["fatal"]);
  end("6", ["fatal"]);
  assert.is(verdict("fatal"), Verdict.Quarantined);
  assert.is(verdict("a"), Verdict.OnTrial);
});

test("an end counts once, whoever reports it and however often", () => {
  const { list, end, verdict, changes } = setUp();
  end("1", ["fatal"]);
  const evidence = list.evidenceOf("fatal", 0);
  for (let index = 0; index < 5; index++) list.merge("fatal", evidence, "b", 1);
  assert.is(verdict("fatal"), Verdict.Suspected);
  assert.is(changes.length, 1);
  const other = setUp();
  for (const id of ["1", "2", "3"]) end(id, ["fatal"]);
  other.list.merge("fatal", list.evidenceOf("fatal", 0), "a-1", 0);
  assert.is(other.verdict("fatal"), Verdict.Quarantined);
});

test("a request that is served is cleared, also of evidence that comes again", () => {
  const { list, end, verdict, changes } = setUp();
  for (const id of ["1", "2", "3"]) end(id, ["popular", "rare"]);
  const evidence = list.evidenceOf("popular", 0);
  list.recordServed("popular", 1);
  list.merge("popular", evidence, "b-1", 2);
  assert.is(verdict("popular", 2), Verdict.Clear);
  assert.equal(end("4", ["popular", "new"], 3), ["new"]);
  assert.equal(changes.filter(({ kind }) => kind === "ended"), [
    { kind: "ended", fingerprint: "popular", reason: SuspicionEnd.Served },
  ]);
});

test("a suspicion ends by itself", () => {
  const { list, end, verdict, changes } = setUp();
  for (const id of ["1", "2", "3"]) end(id, ["fatal"]);
  assert.is(verdict("fatal", SUSPICION_MS - 1), Verdict.Quarantined);
  assert.is(list.judge("fatal", SUSPICION_MS - 1).remainingMs, 1);
  assert.is(verdict("fatal", SUSPICION_MS), Verdict.Clear);
  list.expire(SUSPICION_MS);
  assert.is(list.size, 0);
  assert.equal(changes.at(-1), {
    kind: "ended",
    fingerprint: "fatal",
    reason: SuspicionEnd.Expired,
  });
});

test("an operator's exemption lifts a verdict as long as it stands", () => {
  const { list, end, verdict, changes } = setUp();
  for (const id of ["1", "2", "3"]) end(id, ["fatal"]);
  list.setExempt(["fatal"], 1);
  assert.is(verdict("fatal", 1), Verdict.Clear);
  assert.equal(end("4", ["fatal"], 1), []);
  assert.is(changes.length, 4);
  list.setExempt([], 2);
  assert.is(verdict("fatal", 2), Verdict.Quarantined);
});

test("evidence claims no longer suspicion than this daemon would", () => {
  const { list, verdict } = setUp();
  for (const id of ["1", "2", "3"]) {
    list.merge("f", [{ id, isLone: true, remainingMs: 1e12 }], "b-1", 0);
  }
  assert.is(verdict("f", SUSPICION_MS), Verdict.Clear);
});

test.run();
