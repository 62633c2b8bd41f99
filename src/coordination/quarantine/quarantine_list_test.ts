import { test } from "uvu";
import * as assert from "uvu/assert";
import { QUARANTINE_MS, QuarantineList } from "./quarantine_list.ts";

function crash(list: QuarantineList, id: string, fingerprints: string[]) {
  return list.recordCrash({ id, service: "lookup", fingerprints }, 0);
}

test("isQuarantined() is true from the second crash until the quarantine expires", () => {
  const list = new QuarantineList();
  crash(list, "one", ["poison"]);
  assert.is(list.isQuarantined("poison", 1), false);
  crash(list, "two", ["poison"]);
  assert.is(list.isQuarantined("poison", 1), true);
  assert.is(list.isQuarantined("poison", QUARANTINE_MS), false);
});

test("recordCrash() ignores requests that were served", () => {
  const list = new QuarantineList();
  list.recordSuccess("popular");
  crash(list, "one", ["popular", "poison"]);
  crash(list, "two", ["popular", "poison"]);
  assert.is(list.isQuarantined("popular", 1), false);
  assert.is(list.isQuarantined("poison", 1), true);
});

// Guards against refusing a request that only ran beside the one that is fatal.
test("isQuarantined() is false for a request that ran beside a fatal one twice", () => {
  const list = new QuarantineList();
  crash(list, "one", ["poison", "innocent"]);
  crash(list, "two", ["poison", "innocent"]);
  crash(list, "three", ["poison"]);
  assert.is(list.isQuarantined("poison", 1), true);
  assert.is(list.isQuarantined("innocent", 1), false);
});

// Guards against a third crash while the report of the second one travels.
test("recordCrashOf() has a request refused here that was sent to two crashes", () => {
  const list = new QuarantineList();
  const crashes = ["one", "one", "two"].map((id) => {
    list.recordCrashOf({ id, service: "lookup", fingerprint: "poison" }, 0);
    return list.isQuarantined("poison", 0);
  });
  assert.equal(crashes, [false, false, true]);
  const other = new QuarantineList();
  other.merge(list.toMessage("poison", 0)!, 0);
  assert.is(other.isQuarantined("poison", 0), false);
  list.recordSuccess("poison");
  assert.is(list.isQuarantined("poison", 0), false);
});

// Guards against a report that comes second and says more.
test("merge() learns from the server's daemon that no other request was in flight", () => {
  const reporter = new QuarantineList();
  const list = new QuarantineList();
  for (const id of ["one", "two"]) {
    list.recordCrashOf({ id, service: "lookup", fingerprint: "f" }, 0);
    assert.is(list.merge(crash(reporter, id, ["f"])[0]!, 0), true);
  }
  assert.equal(list.toMessage("f", 0)!.loneCrashIds, ["one", "two"]);
});

test("recordSuccess() ends a suspicion", () => {
  const list = new QuarantineList();
  crash(list, "one", ["innocent"]);
  list.recordSuccess("innocent");
  crash(list, "two", ["innocent"]);
  assert.is(list.isSuspect("innocent", 1), false);
});

test("merge() ends a suspicion when another daemon served the request", () => {
  const one = new QuarantineList();
  const two = new QuarantineList();
  for (const id of ["one", "two"]) two.merge(crash(one, id, ["f"])[0]!, 1);
  assert.is(two.isQuarantined("f", 1), true);
  const cleared = one.recordSuccess("f");
  assert.is(two.merge(cleared!, 1), true);
  assert.is(two.merge(cleared!, 1), false);
  assert.is(two.isQuarantined("f", 1), false);
});

test("merge() adds crashes seen by two daemons, and counts none twice", () => {
  const one = new QuarantineList();
  const two = new QuarantineList();
  const [first] = crash(one, "crash-1", ["poison"]);
  assert.is(two.merge(first!, 1), true);
  assert.is(two.merge(first!, 1), false);
  assert.is(two.isQuarantined("poison", 1), false);
  const [second] = crash(two, "crash-2", ["poison"]);
  assert.is(two.isQuarantined("poison", 1), true);
  assert.is(one.merge(second!, 1), true);
  assert.is(one.isQuarantined("poison", 1), true);
});

test.run();
