import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  decodeFeed,
  encodeFeed,
  formatFeedTarget,
  parseFeedTarget,
} from "./feed.ts";

test("decodeFeed() returns what encodeFeed() was given, byte for byte", () => {
  const value = Buffer.from([0, 127, 128, 255, 123, 34]);
  const batch = {
    revision: 9,
    isComplete: true,
    events: [
      {
        key: "config",
        entry: { key: "config", value, modRevision: 8, leaseId: "0" },
      },
      { key: "gone" },
    ],
  };
  assert.equal(decodeFeed(encodeFeed(batch)), batch);
});

// Guards against messages that daemons of an earlier version cannot read, and
// against theirs, which name no era.
test("the era is an optional part of a feed's messages", () => {
  const batch = { revision: 9, isComplete: false, events: [] };
  const poll = { afterRevision: 7, waitMs: 600, waitsForStore: true };
  const formatted = formatFeedTarget({ ...poll, era: 3 });
  assert.equal({
    target: formatted,
    poll: parseFeedTarget(formatted),
    earlierPoll: parseFeedTarget(formatFeedTarget(poll)),
    batch: decodeFeed(encodeFeed({ ...batch, era: 3 })),
    earlierBatch: decodeFeed(encodeFeed(batch)),
  }, {
    target: `${formatFeedTarget(poll)}&era=3`,
    poll: { ...poll, era: 3 },
    earlierPoll: poll,
    batch: { ...batch, era: 3 },
    earlierBatch: batch,
  });
});

test("decodeFeed() returns undefined for truncated bytes", () => {
  const bytes = encodeFeed({
    isComplete: false,
    revision: 9,
    events: [{ key: "gone" }],
  });
  const cuts = [0, 1, 10, bytes.length - 1].map((length) =>
    decodeFeed(bytes.subarray(0, length))
  );
  assert.equal(cuts, [undefined, undefined, undefined, undefined]);
});

test("encodeFeed() compresses a long configuration to less than a fifth", () => {
  const routes = Array.from({ length: 1_000 }, (_, index) => ({
    name: `r-${index}`,
    prefix: `/p${index}/`,
    service: "stock",
    timeoutS: 1.5,
    attempts: 2,
  }));
  const value = Buffer.from(JSON.stringify(routes));
  const entry = { key: "config", value, modRevision: 1, leaseId: "0" };
  const bytes = encodeFeed({
    isComplete: false,
    revision: 1,
    events: [{ key: "config", entry }],
  });
  assert.ok(bytes.length < value.length / 5);
});

// Guards against polls that are held for ever, or in a loop without a pause.
test("parseFeedTarget() accepts only what formatFeedTarget() returns", () => {
  const targets = [
    formatFeedTarget({ afterRevision: 7, waitMs: 700, waitsForStore: true }),
    "/.sesamepond/feed",
    "/.sesamepond/feed?after=x&waitMs=1",
    "/.sesamepond/feed?after=7&waitMs=-1",
    "/.sesamepond/feed?after=7&waitMs=Infinity",
  ];
  assert.equal(targets.map(parseFeedTarget), [
    { afterRevision: 7, waitMs: 700, waitsForStore: true },
    undefined,
    undefined,
    undefined,
    undefined,
  ]);
});

test.run();
