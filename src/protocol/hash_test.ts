import { test } from "uvu";
import * as assert from "uvu/assert";
import { rendezvous } from "./hash.ts";

const IDS = Array.from({ length: 343 }, (_, number) => `instance-${number}`);

test("rendezvous() moves only the duties of a candidate that leaves", () => {
  const [gone, ...rest] = IDS;
  for (let duty = 0; duty < 200; duty++) {
    const before = rendezvous(`duty-${duty}`, IDS, 2);
    const after = rendezvous(`duty-${duty}`, rest, 2);
    const kept = before.filter((id) => id !== gone);
    assert.equal(after.filter((id) => kept.includes(id)), kept);
  }
});

test("rendezvous() spreads duties over the candidates", () => {
  const counts = new Map<string, number>();
  const duties = 100 * IDS.length;
  for (let duty = 0; duty < duties; duty++) {
    const [id] = rendezvous(`duty-${duty}`, IDS, 1);
    counts.set(id!, (counts.get(id!) ?? 0) + 1);
  }
  assert.is(counts.size, IDS.length);
  // A hundred each are expected; five standard deviations are fifty.
  assert.ok(Math.max(...counts.values()) <= 150);
  assert.ok(Math.min(...counts.values()) >= 50);
});

test("rendezvous() does not depend on the order of the candidates", () => {
  const reversed = [...IDS].reverse();
  assert.equal(rendezvous("duty", IDS, 3), rendezvous("duty", reversed, 3));
});

test.run();
