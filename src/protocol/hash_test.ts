import { test } from "uvu";
import * as assert from "uvu/assert";
import { rendezvous } from "./hash.ts";

const IDS = Array.from({ length: 343 }, (_, number) => `instance-${number}`);

test("rendezvous() reassigns only the keys of a candidate that leaves", () => {
  const [removed, ...rest] = IDS;
  for (let index = 0; index < 200; index++) {
    const before = rendezvous(`duty-${index}`, IDS, 2);
    const after = rendezvous(`duty-${index}`, rest, 2);
    const kept = before.filter((id) => id !== removed);
    assert.equal(after.filter((id) => kept.includes(id)), kept);
  }
});

test("rendezvous() distributes keys evenly over the candidates", () => {
  const counts = new Map<string, number>();
  const keyCount = 100 * IDS.length;
  for (let index = 0; index < keyCount; index++) {
    const [id] = rendezvous(`duty-${index}`, IDS, 1);
    counts.set(id!, (counts.get(id!) ?? 0) + 1);
  }
  assert.is(counts.size, IDS.length);
  // Each candidate expects 100 keys; 50 are five standard deviations.
  assert.ok(Math.max(...counts.values()) <= 150);
  assert.ok(Math.min(...counts.values()) >= 50);
});

test("rendezvous() does not depend on the order of the candidates", () => {
  const reversed = [...IDS].reverse();
  assert.equal(rendezvous("duty", IDS, 3), rendezvous("duty", reversed, 3));
});

test.run();
