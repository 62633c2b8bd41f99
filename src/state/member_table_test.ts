import { create } from "@bufbuild/protobuf";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type Member,
  MemberSchema,
  MemberState,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { isPresent, MemberTable, TOMBSTONE_MS } from "./member_table.ts";

const STATES = [
  MemberState.ALIVE,
  MemberState.SUSPECT,
  MemberState.DEAD,
  MemberState.LEFT,
];

function member(fields: Partial<Omit<Member, "$typeName">>): Member {
  return create(MemberSchema, {
    id: "a",
    domain: "east",
    state: MemberState.ALIVE,
    incarnation: 1,
    ...fields,
  });
}

const UPDATE = fc.record({
  id: fc.constantFrom("a", "b", "c"),
  incarnation: fc.integer({ min: 1, max: 4 }),
  state: fc.constantFrom(...STATES),
});

test("merge() yields the same table for any order and repetition of updates without leaves", () => {
  const updateLists = fc.array(
    UPDATE.filter(({ state }) => state !== MemberState.LEFT),
    { maxLength: 12 },
  );
  fc.assert(
    fc.property(updateLists, fc.func(fc.integer()), (list, order) => {
      const inOrder = new MemberTable();
      const reordered = new MemberTable();
      for (const update of list) inOrder.merge(member(update), 0);
      const shuffled = [...list, ...list]
        .map((update, index) => ({ update, key: order(index) }))
        .sort((a, b) => a.key - b.key);
      for (const { update } of shuffled) reordered.merge(member(update), 0);
      assert.equal(inOrder.bucketDigests, reordered.bucketDigests);
    }),
    { seed: 3, numRuns: 200 },
  );
});

test("present(), domains() and holdersOf() agree with get() after any updates", () => {
  const anyUpdate = fc.record({
    id: fc.constantFrom("a", "b", "c"),
    incarnation: fc.integer({ min: 1, max: 4 }),
    state: fc.constantFrom(...STATES),
    domain: fc.constantFrom("east", "west"),
    leasedSlots: fc.subarray(["s1", "s2"]),
  });
  fc.assert(
    fc.property(fc.array(anyUpdate, { maxLength: 12 }), (list) => {
      const table = new MemberTable();
      for (const update of list) {
        table.merge(member(update), 0);
        const rows = ["a", "b", "c"].flatMap((id) => table.get(id) ?? []);
        const present = rows.filter(isPresent);
        const ids = (members: readonly Member[]) =>
          members.map(({ id }) => id).sort();
        assert.equal(ids(table.all()), ids(rows));
        assert.equal(ids(table.present()), ids(present));
        assert.equal(
          table.domains(),
          [...new Set(present.map(({ domain }) => domain))].sort(),
        );
        for (const domain of ["east", "west"]) {
          const inside = present.filter((one) => one.domain === domain);
          assert.equal(ids(table.present(domain)), ids(inside));
        }
        for (const slot of ["s1", "s2"]) {
          const holders = present.filter((one) =>
            one.leasedSlots.includes(slot)
          );
          assert.equal(ids(table.holdersOf(slot)), ids(holders));
        }
      }
    }),
    { seed: 4, numRuns: 200 },
  );
});

test("merge() never restores a member that has left", () => {
  const table = new MemberTable();
  table.merge(member({ state: MemberState.LEFT, incarnation: 2 }), 0);
  const change = table.merge(member({ incarnation: 9 }), 0);
  assert.is(change, undefined);
  assert.is(table.present().length, 0);
});

test("merge() restores a dead member with a higher incarnation", () => {
  const table = new MemberTable();
  table.merge(member({ state: MemberState.DEAD }), 0);
  assert.is(table.merge(member({}), 0), undefined);
  table.merge(member({ incarnation: 2 }), 0);
  assert.is(table.present().length, 1);
});

test("removeExpired() keeps a dead member for TOMBSTONE_MS", () => {
  const table = new MemberTable();
  table.merge(member({ state: MemberState.DEAD }), 0);
  assert.equal(table.removeExpired(TOMBSTONE_MS - 1), []);
  assert.equal(table.removeExpired(TOMBSTONE_MS), ["a"]);
});

test("inBuckets() returns the members by which two tables differ", () => {
  const one = new MemberTable();
  const two = new MemberTable();
  for (let id = 0; id < 500; id++) {
    one.merge(member({ id: `m${id}` }), 0);
    two.merge(member({ id: `m${id}` }), 0);
  }
  one.merge(member({ id: "m7", incarnation: 2 }), 0);
  const differing = new Set(
    one.bucketDigests.flatMap((digest, bucket) =>
      digest === two.bucketDigests[bucket] ? [] : [bucket]
    ),
  );
  const sent = one.inBuckets(differing);
  assert.is(differing.size, 1);
  assert.ok(sent.length < 30, `${sent.length} members are sent`);
  for (const update of sent) two.merge(update, 0);
  assert.is(one.digest, two.digest);
});

test.run();
