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
