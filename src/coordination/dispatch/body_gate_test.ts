import { test } from "uvu";
import * as assert from "uvu/assert";
import { BodyGate, needsPlace } from "./body_gate.ts";

test("needsPlace() asks for long bodies on slow links only", () => {
  const cases: [number, number][] = [
    [60_000, 7],
    [300, 7],
    [60_000, 98],
    [360_000, 98],
    [60_000, 1_000],
    [60_000, 0],
  ];
  assert.equal(cases.map(([bytes, mbps]) => needsPlace(bytes, mbps)), [
    true,
    false,
    false,
    true,
    false,
    false,
  ]);
});

test("ask() lets a burst of uploads through two at a time, in order", () => {
  const gate = new BodyGate();
  const asked = ["a", "b", "c", "d", "e"].map((id) => gate.ask(id, 0));
  assert.equal({
    asked,
    afterB: gate.arrived("b", 70),
    afterA: gate.arrived("a", 80),
    waiting: gate.waiting,
  }, {
    asked: [true, true, false, false, false],
    afterB: ["c"],
    afterA: ["d"],
    waiting: 1,
  });
});

test("arrived() frees the place of a request that was given up", () => {
  const gate = new BodyGate();
  for (const id of ["a", "b", "c", "d"]) gate.ask(id, 0);
  assert.equal([gate.arrived("c", 10), gate.arrived("a", 20)], [[], ["d"]]);
});

test("advance() takes back the place of a sender that died", () => {
  const gate = new BodyGate();
  for (const id of ["a", "b", "c"]) gate.ask(id, 0);
  assert.equal([gate.advance(900), gate.advance(1_000)], [[], ["c"]]);
});

test.run();
