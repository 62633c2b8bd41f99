import { test } from "uvu";
import * as assert from "uvu/assert";
import { MemberState } from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { type SlotMember, SlotPlanner, slotsFor } from "./slot_planner.ts";

function members(count: number, domain = "east"): SlotMember[] {
  return Array.from({ length: count }, (_, number) => ({
    id: `${domain}-${number}`,
    domain,
    leasedSlots: [],
    state: MemberState.ALIVE,
  }));
}

test("slotsToAcquire() lets only a few daemons try when all start at once", () => {
  for (const size of [10, 100, 343]) {
    const fleet = members(size);
    let attempts = 0;
    for (const { id } of fleet) {
      const planner = new SlotPlanner(id, slotsFor("east", 4));
      planner.slotsToAcquire(fleet, 0);
      attempts += planner.slotsToAcquire(fleet, 60_000).length;
    }
    // 2 readers and 4 partitions, 3 candidates each, whatever the size.
    assert.ok(attempts <= 18, `${attempts} attempts`);
  }
});

test("slotsToAcquire() returns nothing when a slot is held or in backoff", () => {
  const fleet = members(1);
  const slots = [{ name: "slots/reader/east/0", domain: "east" }];
  const planner = new SlotPlanner("east-0", slots);
  planner.slotsToAcquire(fleet, 0);
  assert.equal(planner.slotsToAcquire(fleet, 250), []);
  assert.equal(planner.slotsToAcquire(fleet, 500), ["slots/reader/east/0"]);
  planner.backOff("slots/reader/east/0", 500);
  assert.equal(planner.slotsToAcquire(fleet, 2_000), []);
  const held = [{ ...fleet[0]!, leasedSlots: ["slots/reader/east/0"] }];
  assert.equal(planner.slotsToAcquire(held, 60_000), []);
});

test("slotsToAcquire() assigns slots of a kind to daemons that hold none", () => {
  const fleet = members(2);
  fleet[0] = { ...fleet[0]!, leasedSlots: ["slots/claims/0"] };
  const wanted = fleet.map(({ id }) => {
    const planner = new SlotPlanner(id, slotsFor("east", 2));
    planner.slotsToAcquire(fleet, 0);
    return planner.slotsToAcquire(fleet, 60_000).includes("slots/claims/1");
  });
  assert.equal(wanted, [false, true]);
});

test("slotToRelease() returns slots until each daemon holds its fair share", () => {
  const slots = slotsFor("east", 6);
  const fleet = members(3);
  const all = slots.filter(({ name }) => name.startsWith("slots/claims/"))
    .map(({ name }) => name);
  fleet[0] = { ...fleet[0]!, leasedSlots: all };
  const planner = new SlotPlanner("east-0", slots);
  for (let released = 0; released < 4; released++) {
    const name = planner.slotToRelease(fleet);
    const remaining: string[] = fleet[0].leasedSlots.filter((one) =>
      one !== name
    );
    assert.is(remaining.length, 5 - released);
    fleet[0] = { ...fleet[0], leasedSlots: remaining };
  }
  assert.is(planner.slotToRelease(fleet), undefined);
  assert.is(new SlotPlanner("east-1", slots).slotToRelease(fleet), undefined);
});

test.run();
