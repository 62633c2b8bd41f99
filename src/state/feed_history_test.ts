import { test } from "uvu";
import * as assert from "uvu/assert";
import { FeedHistory } from "./feed_history.ts";

const entryOf = (key: string, text: string) => ({
  key,
  entry: {
    key,
    value: new TextEncoder().encode(text),
    modRevision: 1,
    leaseId: "0",
  },
});

test("since() returns only the latest change of each key", () => {
  const history = new FeedHistory();
  history.reset([], 5);
  history.record([entryOf("config", "v1"), { key: "gone" }], 7);
  history.record([entryOf("config", "v2")], 8);
  assert.equal([5, 7, 8, 9].map((revision) => history.since(revision)), [
    {
      events: [{ key: "gone" }, entryOf("config", "v2")],
      revision: 8,
      isComplete: false,
    },
    { events: [entryOf("config", "v2")], revision: 8, isComplete: false },
    { events: [], revision: 8, isComplete: false },
    { events: [], revision: 9, isComplete: false },
  ]);
});

// Guards against followers that read the store themselves once it has dropped
// its history, and against those that wait for a reader which cannot serve them.
test("since() returns all entries for revisions before the full read of the store", () => {
  const history = new FeedHistory();
  const before = history.since(3);
  const listed = [entryOf("config", "v1"), entryOf("record", "r")];
  history.reset(listed.map(({ entry }) => entry), 5);
  history.record([entryOf("config", "v2"), { key: "record" }], 7);
  assert.equal([before, history.since(4)], [
    undefined,
    { events: [entryOf("config", "v2")], revision: 7, isComplete: true },
  ]);
});

test("waitForChange() resolves at the next change", async () => {
  const history = new FeedHistory();
  history.reset([], 1);
  const waited = history.waitForChange(60_000).then(() =>
    history.since(1)?.revision
  );
  history.record([{ key: "a" }], 2);
  assert.is(await waited, 2);
});

test.run();
