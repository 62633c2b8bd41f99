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

test("wanted() lets only a few of a herd try", () => {
  for (const size of [10, 100, 343]) {
    const herd = members(size);
    let attempts = 0;
    for (const { id } of herd) {
      const keeper = new SlotPlanner(id, slotsFor("east", 4));
      keeper.slotsToAcquire(herd, 0);
      attempts += keeper.slotsToAcquire(herd, 60_000).length;
    }
    // 2 readers and 4 partitions, 3 candidates each, whatever the size.
    assert.ok(attempts <= 18, `${attempts} attempts`);
  }
});

test("wanted() asks for nothing when a slot is held or was lost just now", () => {
  const herd = members(1);
  const slots = [{ name: "slots/reader/east/0", domain: "east" }];
  const keeper = new SlotPlanner("east-0", slots);
  keeper.slotsToAcquire(herd, 0);
  assert.equal(keeper.slotsToAcquire(herd, 250), []);
  assert.equal(keeper.slotsToAcquire(herd, 500), ["slots/reader/east/0"]);
  keeper.backOff("slots/reader/east/0", 500);
  assert.equal(keeper.slotsToAcquire(herd, 2_000), []);
  const held = [{ ...herd[0]!, leasedSlots: ["slots/reader/east/0"] }];
  assert.equal(keeper.slotsToAcquire(held, 60_000), []);
});

test("wanted() gives slots of a kind to daemons that hold none", () => {
  const herd = members(2);
  herd[0] = { ...herd[0]!, leasedSlots: ["slots/claims/0"] };
  const wanted = herd.map(({ id }) => {
    const keeper = new SlotPlanner(id, slotsFor("east", 2));
    keeper.slotsToAcquire(herd, 0);
    return keeper.slotsToAcquire(herd, 60_000).includes("slots/claims/1");
  });
  assert.equal(wanted, [false, true]);
});

test("surplus() gives up slots until each daemon holds its part", () => {
  const slots = slotsFor("east", 6);
  const herd = members(3);
  const all = slots.filter(({ name }) => name.startsWith("slots/claims/"))
    .map(({ name }) => name);
  herd[0] = { ...herd[0]!, leasedSlots: all };
  const keeper = new SlotPlanner("east-0", slots);
  for (let given = 0; given < 4; given++) {
    const name = keeper.slotToRelease(herd);
    const left: string[] = herd[0].leasedSlots.filter((one) => one !== name);
    assert.is(left.length, 5 - given);
    herd[0] = { ...herd[0], leasedSlots: left };
  }
  assert.is(keeper.slotToRelease(herd), undefined);
  assert.is(new SlotPlanner("east-1", slots).slotToRelease(herd), undefined);
});

test.run();
