import * as fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type BodyHold, HeldBytes, heldBytesLimit } from "./held_bytes.ts";

const MB = 1024 * 1024;
const LIMIT_BYTES = 64 * MB;
const RUNS = { seed: 7, numRuns: 500 };

function createAccount() {
  const clock = { nowMs: 0 };
  return { clock, account: new HeldBytes(LIMIT_BYTES, () => clock.nowMs) };
}

const STEP = fc.oneof(
  fc.record({ kind: fc.constant("begin"), bytes: fc.nat(40 * MB) }),
  fc.record({ kind: fc.constant("bytes"), bytes: fc.nat(8 * MB) }),
  fc.record({ kind: fc.constant("stall"), bytes: fc.nat(3_000) }),
  fc.record({ kind: fc.constant("reset"), bytes: fc.nat() }),
  fc.record({ kind: fc.constant("end"), bytes: fc.nat() }),
  fc.record({ kind: fc.constant("twice"), bytes: fc.nat() }),
);

// Guards against bytes that stay in the account after their request has ended,
// which would refuse bodies for the life of the process.
test("the account returns to 0 after any sequence of bodies, and keeps its limit", () => {
  fc.assert(
    fc.property(fc.array(STEP, { maxLength: 60 }), (steps) => {
      const { clock, account } = createAccount();
      const holds: BodyHold[] = [];
      for (const { kind, bytes } of steps) {
        const hold = holds[bytes % Math.max(1, holds.length)];
        switch (kind) {
          case "begin": {
            const opened = account.open(`owner-${bytes % 3}`, () => {});
            if (opened.take(bytes)) holds.push(opened);
            else opened.end();
            break;
          }
          case "bytes":
            if (hold?.take(bytes) === true) hold.progress(bytes);
            break;
          case "stall":
            clock.nowMs += bytes;
            break;
          case "reset":
            hold?.end();
            break;
          case "end":
            hold?.complete();
            hold?.end();
            break;
          case "twice":
            hold?.end();
            hold?.end();
        }
        assert.ok(account.bytes >= 0 && account.bytes <= LIMIT_BYTES);
      }
      for (const hold of holds) hold.end();
      assert.is(account.bytes, 0);
    }),
    RUNS,
  );
});

test("one owner takes half of the limit, or more with a single body", () => {
  const { account } = createAccount();
  const open = (owner: string, mb: number) =>
    account.open(owner, () => {}).take(mb * MB);
  assert.equal({
    first: open("a", 20),
    second: open("a", 20),
    other: open("b", 20),
    beyondLimit: open("c", 40),
    short: open("a", 0.05),
  }, {
    first: true,
    second: false,
    other: true,
    beyondLimit: false,
    short: true,
  });
  assert.ok(createAccount().account.open("a", () => {}).take(50 * MB));
});

test("the longest stalled body gives up its place, those with progress never", () => {
  const { clock, account } = createAccount();
  const evicted: string[] = [];
  const open = (name: string) => {
    const hold = account.open(name, () => evicted.push(name));
    assert.ok(hold.take(18 * MB));
    return hold;
  };
  open("a");
  clock.nowMs = 10;
  open("b");
  const active = open("c");
  clock.nowMs = 1_500;
  active.progress(MB);
  const arrived = account.open("d", () => evicted.push("d"));
  assert.equal(
    { taken: arrived.take(18 * MB), evicted, bytes: account.bytes },
    {
      taken: true,
      evicted: ["a"],
      bytes: 54 * MB,
    },
  );
});

test("the limit leaves memory for the process", () => {
  assert.equal([0, 16, 160, 250, 602].map((mb) => heldBytesLimit(mb) / MB), [
    1_024,
    2,
    60,
    125,
    301,
  ]);
});

test.run();
