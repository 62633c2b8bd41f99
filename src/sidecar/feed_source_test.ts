import { test } from "uvu";
import * as assert from "uvu/assert";
import { FeedHistory } from "../state/feed_history.ts";
import { FeedSource } from "./feed_source.ts";

const CONFIG = {
  key: "config",
  value: new TextEncoder().encode("v1"),
  modRevision: 4,
  leaseId: "0",
};
const WAIT_MS = 30;

/** A daemon that has read a store in an era, at revision 5. */
function sourceOf(era: number | undefined): [FeedSource, FeedHistory] {
  const history = new FeedHistory();
  history.reset([CONFIG], 5, era);
  const options = { history, isConnected: () => true, viewAgeMs: () => 0 };
  return [new FeedSource(options), history];
}

const pollOf = (era: number | undefined, afterRevision = 9) => ({
  afterRevision,
  waitMs: WAIT_MS,
  waitsForStore: false,
  era,
});

// Guards against a follower that goes on from a revision of the former era.
test("FeedSource.waitForUpdate() sends the complete state to a follower of an earlier era", async () => {
  const [source] = sourceOf(2);
  assert.equal(await source.waitForUpdate(pollOf(1), () => true), {
    kind: "changes",
    batch: {
      events: [{ key: "config", entry: CONFIG }],
      revision: 5,
      isComplete: true,
      era: 2,
    },
  });
});

// Guards against a follower that is told the state of an earlier era, and against
// a daemon that is busy with a poll which it cannot answer.
test("FeedSource.waitForUpdate() holds a follower of a later era until it knows the era", async () => {
  const [source, history] = sourceOf(2);
  const startedAtMs = performance.now();
  const away = await source.waitForUpdate(pollOf(3), () => true);
  const heldMs = performance.now() - startedAtMs;
  const pending = source.waitForUpdate(
    { ...pollOf(3, 1), waitMs: 60_000 },
    () => true,
  );
  history.reset([CONFIG], 7, 3);
  const answer = await pending;
  assert.equal([away.kind, answer.kind], ["away", "changes"]);
  assert.ok(heldMs >= WAIT_MS - 1, String(heldMs));
});

test("FeedSource.waitForUpdate() compares no eras with daemons of an earlier version", async () => {
  const [source] = sourceOf(2);
  const [single] = sourceOf(undefined);
  const batches = [
    await source.waitForUpdate(pollOf(undefined), () => true),
    await single.waitForUpdate(pollOf(undefined), () => true),
  ].map((answer) => answer.kind === "changes" && answer.batch.revision);
  assert.equal(batches, [9, 9]);
});

test.run();
