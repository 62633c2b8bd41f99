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
  history.reset(5);
  history.record([entryOf("config", "v1"), { key: "gone" }], 7);
  history.record([entryOf("config", "v2")], 8);
  assert.equal([5, 7, 8, 9].map((revision) => history.since(revision)), [
    { events: [{ key: "gone" }, entryOf("config", "v2")], revision: 8 },
    { events: [entryOf("config", "v2")], revision: 8 },
    { events: [], revision: 8 },
    { events: [], revision: 9 },
  ]);
});

test("since() returns undefined for revisions before the full read of the store", () => {
  const history = new FeedHistory();
  const before = history.since(3);
  history.reset(5);
  assert.equal([before, history.since(4)], [undefined, undefined]);
});

test("waitForChange() resolves at the next change", async () => {
  const history = new FeedHistory();
  history.reset(1);
  const waited = history.waitForChange(60_000).then(() =>
    history.since(1)?.revision
  );
  history.record([{ key: "a" }], 2);
  assert.is(await waited, 2);
});

test.run();
