import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetTracker, ShareSchedule } from "./mod.ts";

const membersOf = (size: number, fast = 0) =>
  Array.from({ length: size }, (_, index) => ({
    instance: `i-${index}`,
    domain: `d-${index % 3}`,
    linkMbps: index < fast ? 200 : 12,
  }));

test("groups are one for about 16 instances, and change rarely", () => {
  const counts = [0, 1, 16, 48, 64, 90, 300, 2_400].map((size) =>
    new FleetTracker("i-0").update(membersOf(size), 0).groups.length
  );
  // The first stands for a directory that is not known yet.
  assert.equal(counts, [256, 1, 1, 4, 4, 4, 16, 128]);
});

test("accounts are at instances with fast links, if these are enough", () => {
  const accountsOf = (fast: number) => {
    const view = new FleetTracker("i-0").update(membersOf(64, fast), 0);
    return view.groups.map((group) => view.accountOf(group)!);
  };
  const indexOf = (instance: string) => Number(instance.slice(2));
  assert.ok(accountsOf(6).every((instance) => indexOf(instance) < 6));
  assert.ok(accountsOf(2).some((instance) => indexOf(instance) >= 2));
});

// Guards against a fleet that divides the share of instances which are cut off.
test("an instance counts for 60 s after it has left the directory", () => {
  const tracker = new FleetTracker("i-0");
  const sizes = [[64, 0], [42, 1_000], [43, 59_000], [42, 61_000], [
    42,
    120_000,
  ]]
    .map(([size, nowMs]) => tracker.update(membersOf(size!), nowMs!).size);
  assert.equal(sizes, [64, 64, 64, 43, 42]);
});

test("the view is the same object as long as nothing changes", () => {
  const tracker = new FleetTracker("i-0");
  const first = tracker.update(membersOf(9), 0);
  assert.is(tracker.update(membersOf(9), 500), first);
  assert.is.not(tracker.update(membersOf(10), 1_000), first);
});

// Guards against fixed shares that together exceed the limit, as each daemon
// has one token at once.
test("the tokens of all daemons together keep to the rate", () => {
  const size = 64;
  const taken: number[] = [];
  for (let index = 0; index < size; index++) {
    const view = new FleetTracker(`i-${index}`).update(membersOf(size), 0);
    const schedule = new ShareSchedule();
    const part = {
      ratePerS: 3 / size,
      phase: view.phaseOf("quick-fox"),
      holdMs: 2_000,
      notBeforeMs: 0,
    };
    for (let nowMs = 100_000; nowMs < 130_000; nowMs += 100) {
      if (schedule.tryTake(part, nowMs)) taken.push(nowMs);
    }
  }
  const most = Math.max(
    ...taken.map((fromMs) =>
      taken.filter((atMs) => atMs >= fromMs && atMs < fromMs + 5_000).length
    ),
  );
  // 3 per second for the window and for the time that tokens hold.
  assert.ok(most <= 3 * (5 + 2) + 3, `${most} in 5 s`);
  assert.ok(taken.length >= 3 * 30 - 3, `${taken.length} in 30 s`);
});

test.run();
