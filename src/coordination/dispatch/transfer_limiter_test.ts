import { test } from "uvu";
import * as assert from "uvu/assert";
import { needsTransferPermit, TransferLimiter } from "./transfer_limiter.ts";

/** What a request for a place at time 0 gets. */
function kindOf(gate: TransferLimiter, id: string, usefulMs = 60_000): string {
  return gate.requestPermit({ id, maxWaitMs: usefulMs }, 0).kind;
}

test("needsPlace() asks for long bodies on slow links only", () => {
  const cases: [number, number][] = [
    [60_000, 7],
    [300, 7],
    [60_000, 98],
    [360_000, 98],
    [60_000, 1_000],
    [60_000, 0],
  ];
  assert.equal(cases.map(([bytes, mbps]) => needsTransferPermit(bytes, mbps)), [
    true,
    false,
    false,
    true,
    false,
    false,
  ]);
});

test("ask() lets a burst of uploads through two at a time, in order", () => {
  const gate = new TransferLimiter();
  const asked = ["a", "b", "c", "d", "e"].map((id) => kindOf(gate, id));
  assert.equal({
    asked,
    afterB: gate.release("b", 70),
    afterA: gate.release("a", 80),
    waiting: gate.waiting,
  }, {
    asked: ["admit", "admit", "wait", "wait", "wait"],
    afterB: ["c"],
    afterA: ["d"],
    waiting: 1,
  });
});

test("arrived() frees the place of a request that was given up", () => {
  const gate = new TransferLimiter();
  for (const id of ["a", "b", "c", "d"]) kindOf(gate, id);
  assert.equal([gate.release("c", 10), gate.release("a", 20)], [[], ["d"]]);
});

test("advance() takes back the place of a sender that died", () => {
  const gate = new TransferLimiter();
  for (const id of ["a", "b", "c"]) kindOf(gate, id);
  assert.equal([gate.grantFree(900), gate.grantFree(1_000)], [[], ["c"]]);
});

// Guards against uploads that wait for a full link until their callers' time is
// over: a burst that lasts leaves the later ones no chance.
test("ask() refuses at once the uploads that a lasting burst leaves no time", () => {
  const gate = new TransferLimiter();
  for (let turn = 0; turn < 40; turn++) {
    gate.requestPermit({ id: `slow-${turn}`, maxWaitMs: 60_000 }, turn * 400);
    gate.release(`slow-${turn}`, (turn + 1) * 400);
  }
  const burst = Array.from(
    { length: 12 },
    (_, index) => kindOf(gate, `upload-${index}`, 1_000),
  );
  assert.equal({ burst: burst.join(" "), waiting: gate.waiting }, {
    burst:
      "admit admit wait wait wait wait refuse refuse refuse refuse refuse refuse",
    waiting: 4,
  });
});

test.run();
