import { test } from "uvu";
import * as assert from "uvu/assert";
import { needsTransferPermit, TransferLimiter } from "./transfer_limiter.ts";

/** Requests a permit at time 0 and returns the kind of the decision. */
function decide(
  limiter: TransferLimiter,
  id: string,
  maxWaitMs = 60_000,
): string {
  return limiter.requestPermit({ id, maxWaitMs }, 0).kind;
}

test("needsTransferPermit() is true for large bodies on slow links only", () => {
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

test("requestPermit() admits a burst of uploads two at a time, in order", () => {
  const limiter = new TransferLimiter();
  const requested = ["a", "b", "c", "d", "e"].map((id) => decide(limiter, id));
  assert.equal({
    requested,
    afterB: limiter.release("b", 70),
    afterA: limiter.release("a", 80),
    waiting: limiter.waiting,
  }, {
    requested: ["admit", "admit", "wait", "wait", "wait"],
    afterB: ["c"],
    afterA: ["d"],
    waiting: 1,
  });
});

test("release() removes an abandoned request from the queue", () => {
  const limiter = new TransferLimiter();
  for (const id of ["a", "b", "c", "d"]) decide(limiter, id);
  assert.equal([limiter.release("c", 10), limiter.release("a", 20)], [[], [
    "d",
  ]]);
});

test("grantFree() reclaims the permit of a crashed sender after it expires", () => {
  const limiter = new TransferLimiter();
  for (const id of ["a", "b", "c"]) decide(limiter, id);
  assert.equal([limiter.grantFree(900), limiter.grantFree(1_000)], [[], ["c"]]);
});

// Guards against uploads that wait for a saturated link until their callers'
// deadline: in a long burst the later ones cannot get a permit in time.
test("requestPermit() refuses at once uploads that would wait too long", () => {
  const limiter = new TransferLimiter();
  for (let turn = 0; turn < 40; turn++) {
    limiter.requestPermit(
      { id: `slow-${turn}`, maxWaitMs: 60_000 },
      turn * 400,
    );
    limiter.release(`slow-${turn}`, (turn + 1) * 400);
  }
  const burst = Array.from(
    { length: 12 },
    (_, index) => decide(limiter, `upload-${index}`, 1_000),
  );
  assert.equal({ burst: burst.join(" "), waiting: limiter.waiting }, {
    burst:
      "admit admit wait wait wait wait refuse refuse refuse refuse refuse refuse",
    waiting: 4,
  });
});

// The class of review 1: only the close of its connection removed a request that
// waited for a permit, and a silent connection never closes.
test("removeExpired() removes the requests whose senders no longer wait", () => {
  const limiter = new TransferLimiter();
  for (const id of ["a", "b"]) decide(limiter, id);
  for (const id of ["c", "d"]) decide(limiter, id, 500);
  decide(limiter, "e");
  assert.equal({
    early: limiter.removeExpired(499),
    late: limiter.removeExpired(500),
    granted: limiter.release("a", 501),
  }, { early: [], late: ["c", "d"], granted: ["e"] });
});

test.run();
