import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { FeedPollResult } from "../protocol/feed.ts";
import { type BackendRecord, BackendState } from "../protocol/mesh.ts";
import { BackendDirectory } from "../state/backend_directory.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { FeedFollower } from "./feed_follower.ts";

const MEMBER_COUNT = 10;
const DOMAIN = "a";

function makeRecord(index: number): BackendRecord {
  return {
    id: `i-${index}`,
    instance: `${DOMAIN}-${index}`,
    service: "stock",
    domain: DOMAIN,
    peerAddress: "127.0.0.1:1",
    slots: 12,
    state: BackendState.Ready,
    bornAtUnixMs: 1,
    linkMbps: MEMBER_COUNT - index,
  };
}

/** Polls several times; returns the daemons asked and how each poll ended. */
async function poll(result: FeedPollResult, count: number, pauseMs = 0) {
  const directory = new BackendDirectory();
  for (let index = 0; index < MEMBER_COUNT; index++) {
    directory.put(makeRecord(index));
  }
  const asked: string[] = [];
  const follower = new FeedFollower({
    instance: `${DOMAIN}-9`,
    domain: DOMAIN,
    directory,
    pollFeed: ({ instance }) => {
      asked.push(instance);
      return Promise.resolve(result);
    },
    log: new EventLog({ sink: { write: () => {}, close: () => {} } }),
  });
  const revisions: (number | undefined)[] = [];
  for (let index = 0; index < count; index++) {
    const result = await follower.poll(1);
    revisions.push(
      result.kind === "changes" ? result.batch.revision : undefined,
    );
    if (pauseMs > 0) await sleep(pauseMs);
  }
  return { asked: new Set(asked).size, polls: asked.length, revisions };
}

test("FeedFollower.poll() stays with a reader that has changes", async () => {
  const batch = { events: [], revision: 7, isComplete: false };
  assert.equal(await poll({ kind: "changes", batch, viewAgeMs: 0 }, 3), {
    asked: 1,
    polls: 3,
    revisions: [7, 7, 7],
  });
});

test("FeedFollower.poll() asks each reader once before it reads the store itself", async () => {
  const expected = { asked: 2, polls: 2, revisions: Array(4).fill(undefined) };
  assert.equal(await poll({ kind: "refused" }, 4), expected);
  assert.equal(await poll({ kind: "failed" }, 4), expected);
});

// Pattern: a new fleet, whose daemons learn its records at different times.
test("FeedFollower.poll() soon asks a reader again that did not read the store yet", async () => {
  const { polls } = await poll({ kind: "refused" }, 3, 600);
  const { polls: failedPolls } = await poll({ kind: "failed" }, 3, 600);
  assert.equal({ polls, failedPolls }, { polls: 4, failedPolls: 2 });
});

test.run();
