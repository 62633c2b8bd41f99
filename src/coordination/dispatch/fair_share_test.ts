import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FairShares } from "./fair_share.ts";

/** Relative error of sums that decay in steps. */
const TOLERANCE = 1e-6;

function accept(
  shares: FairShares,
  organisation: string,
  serviceMs: number,
  nowMs: number,
) {
  shares.recordOffer(organisation, nowMs);
  const position = shares.positionOf({ organisation }, nowMs);
  const request = { organisation, serviceMs, acceptedAtMs: nowMs, position };
  shares.accept(request);
  return request;
}

test("positionOf() counts the work of an organisation, which is forgotten in about a second", () => {
  const shares = new FairShares();
  accept(shares, "a", 100, 0);
  accept(shares, "a", 300, 0);
  const surplusMs = [0, 1_000, 5_000].map((nowMs) =>
    Math.round(shares.positionOf({ organisation: "a" }, nowMs).surplusMs)
  );
  const other = shares.positionOf(
    { organisation: "b", organisationPriority: 2 },
    0,
  );
  assert.equal({ surplusMs, other }, {
    surplusMs: [400, 147, 3],
    other: { surplusMs: 0, factor: 16, settles: 0.5 },
  });
});

test("positionOf() ignores the rank of a request without an organisation", () => {
  assert.equal(new FairShares().positionOf({ organisationPriority: 2 }, 0), {
    surplusMs: 0,
    factor: 1,
    settles: 0,
  });
});

test("countingSurplusMs() lets a surplus shrink towards the objective while all are served", () => {
  const shares = new FairShares();
  accept(shares, "a", 400, 0);
  const request = accept(shares, "a", 100, 0);
  const served = [0, 300, 700, 950].map((nowMs) =>
    shares.countingSurplusMs(request, 1_000, nowMs)
  );
  for (let index = 0; index < 6; index++) shares.recordOffer("a", 0);
  const refused = shares.countingSurplusMs(request, 1_000, 300);
  assert.equal({ served, refused }, {
    served: [400, 250, 50, 400],
    refused: 362.5,
  });
});

// Failure: memory grows with the number of organisations.
test("FairShares remembers a bounded number of organisations", () => {
  const shares = new FairShares();
  for (let index = 0; index < 5_000; index++) {
    accept(shares, `o${index}`, 100, index);
  }
  assert.is(shares.size, 512);
});

// Failure: an organisation is charged for requests that never ran.
test("withdraw() takes back all work of withdrawn requests", () => {
  const step = fc.record({
    organisation: fc.constantFrom("a", "b", "c"),
    serviceMs: fc.integer({ min: 1, max: 500 }),
    afterMs: fc.integer({ min: 0, max: 400 }),
  });
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
    const shares = new FairShares();
    let nowMs = 0;
    const accepted = steps.map(({ organisation, serviceMs, afterMs }) => {
      nowMs += afterMs;
      return accept(shares, organisation, serviceMs, nowMs);
    });
    for (const request of accepted) shares.withdraw(request);
    for (const organisation of ["a", "b", "c"]) {
      const { surplusMs } = shares.positionOf({ organisation }, nowMs);
      assert.ok(surplusMs <= TOLERANCE, `${surplusMs}`);
    }
  }));
});

test.run();
