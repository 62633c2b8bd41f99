import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import { okAsync, ResultAsync } from "neverthrow";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { MeshConfig } from "../protocol/mesh.ts";
import type { StoreEntry } from "../protocol/store.ts";
import { BackendDirectory } from "../state/backend_directory.ts";
import { RouteTableHolder } from "../state/route_table_holder.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { TextMetrics } from "../transport/observe/text_metrics.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { PeerClient } from "./peer_client.ts";
import type { FeedFollower, FollowResult } from "./feed_follower.ts";
import type { MeshStore, PollResult } from "./ports.ts";
import { StoreSyncTask } from "./store_sync_task.ts";

const KEY = "config";
/** Longer than the pause after a poll with events, in ms. */
const RUN_MS = 900;

/** Longer than a view may go without a sign that it is current, in ms. */
const FAILED_MS = 1_700;

function configEntryAt(modRevision: number): StoreEntry {
  const value = Buffer.from(String(modRevision));
  return { key: KEY, value, modRevision, leaseId: "0" };
}

function decode(bytes: Uint8Array): MeshConfig {
  const version = Number(Buffer.from(bytes).toString());
  return {
    version,
    routes: [],
    services: [],
    gaps: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  } as unknown as MeshConfig;
}

/** Runs a task during a series of versions; returns its calls and versions. */
async function runSync(
  listed: (StoreEntry | undefined)[],
  runMs = RUN_MS,
  pollReader: () => Promise<FollowResult> = () =>
    Promise.resolve({ kind: "none" }),
  onStarted: (task: StoreSyncTask) => void = () => {},
): Promise<{ calls: string[]; adopted: number[] }> {
  const calls: string[] = [];
  const routes = new RouteTableHolder();
  const adopted: number[] = [];
  const store = {
    list: () => {
      calls.push("list");
      const entry = listed.shift();
      return okAsync({
        entries: entry === undefined ? [] : [entry],
        revision: entry?.modRevision ?? 1,
      });
    },
    poll: ({ afterRevision }: { readonly afterRevision: number }) => {
      calls.push(`poll after ${afterRevision}`);
      const events = [2, 3].map((revision) => ({
        key: KEY,
        entry: configEntryAt(revision),
      }));
      return afterRevision === 1
        ? okAsync({ kind: "events" as const, events, revision: 3 })
        : ResultAsync.fromSafePromise(sleep(RUN_MS)).map(() => ({
          kind: "events" as const,
          events: [],
          revision: afterRevision,
        }));
    },
  } as unknown as MeshStore;
  const task = new StoreSyncTask({
    store,
    configSource: { key: KEY, watchPrefix: "", decode },
    routes,
    directory: new BackendDirectory(),
    quarantine: { replaceExempt: () => {} } as unknown as RequestQuarantine,
    log: new EventLog({ sink: { write: () => {}, close: () => {} } }),
    metrics: new TextMetrics(),
    localKey: "own",
    linkMbps: 0,
    follower: { poll: pollReader } as unknown as FeedFollower,
    recovery: {
      run: () => Promise.resolve({ kind: "stopped" }),
      reset: () => {},
    },
    onConfigAdopted: () => adopted.push(routes.version),
    onLocalRecord: () => {},
    onRemoved: () => {},
  });
  const stopped = new AbortController();
  const running = task.run(stopped.signal);
  onStarted(task);
  await sleep(runMs);
  stopped.abort();
  await running;
  return { calls, adopted };
}

// Guards against versions that take effect seconds late over a slow link: each
// poll transferred all versions of a series in full, and more with each poll.
test("StoreSyncTask.run() lists the newest version after a poll with several versions", async () => {
  assert.equal(await runSync([configEntryAt(1), configEntryAt(9)]), {
    calls: ["list", "poll after 1", "list", "poll after 9"],
    adopted: [1, 2, 3, 9],
  });
});

// Guards against daemons on slow links that fall behind after their readers have
// failed: each version since then was transferred in full.
test("StoreSyncTask.run() lists the store after its readers have failed for long", async () => {
  let reads = 0;
  const failSlowly = async () => {
    if (reads++ === 0) await sleep(FAILED_MS);
    return { kind: "none" } as const;
  };
  const { calls, adopted } = await runSync(
    [configEntryAt(1), configEntryAt(9)],
    FAILED_MS + RUN_MS / 2,
    failSlowly,
  );
  assert.equal({ calls, adopted }, {
    calls: ["list", "list", "poll after 9"],
    adopted: [1, 9],
  });
});

// Guards against a version that is never adopted because an older one was
// written after it: a listing returns only the last write.
test("StoreSyncTask.run() polls from before a listing without a newer version", async () => {
  const olderVersion = { ...configEntryAt(1), modRevision: 9 };
  assert.equal(await runSync([configEntryAt(1), olderVersion]), {
    calls: ["list", "poll after 1", "list", "poll after 3"],
    adopted: [1, 2, 3],
  });
});

// Guards against all versions of a series being transferred again by a daemon
// that already has the newest one from another daemon.
test("StoreSyncTask.run() does not poll again for the version that it lists", async () => {
  const { calls } = await runSync([configEntryAt(1), {
    ...configEntryAt(3),
    modRevision: 9,
  }]);
  assert.equal(calls, ["list", "poll after 1", "list", "poll after 9"]);
});

// Pattern: a whole fleet starts for the first time, and each record ended the
// polls of all its daemons.
test("StoreSyncTask.run() polls later where the store has no configuration", async () => {
  const { calls } = await runSync([undefined], 1_500);
  assert.equal(calls, ["list"]);
});

// Guards against versions that are late by the way around: one that was named
// while an older one was fetched was forgotten.
test("StoreSyncTask.handlePeerVersion() goes on to the newest version that was named", async () => {
  const clientOf = (version: number, tookMs: number) => ({
    fetchConfig: async () => {
      await sleep(tookMs);
      return Buffer.from(String(version));
    },
  } as unknown as PeerClient);
  const { adopted } = await runSync(
    [configEntryAt(1)],
    1_500,
    () => sleep(1_500, { kind: "none" } as const),
    (task) => {
      void task.handlePeerVersion(5, clientOf(5, 300));
      // During the fetch of the former, which begins after 700 ms.
      setTimeout(() => void task.handlePeerVersion(9, clientOf(9, 0)), 800);
    },
  );
  assert.equal(adopted, [1, 5, 9]);
});

/** Runs a task on a store that is restored while it is polled. */
async function runRestored(
  polls: readonly PollResult[],
): Promise<{ calls: string[]; adopted: number[] }> {
  const left = [...polls];
  const calls: string[] = [];
  const adopted: number[] = [];
  const routes = new RouteTableHolder();
  let listings = 0;
  const task = new StoreSyncTask({
    store: {
      list: () => {
        calls.push("list");
        const isFirst = listings++ === 0;
        return okAsync(
          isFirst
            ? { entries: [configEntryAt(9)], revision: 9, era: 1 }
            : { entries: [configEntryAt(5)], revision: 12, era: 2 },
        );
      },
      poll: ({ afterRevision }: { readonly afterRevision: number }) => {
        calls.push(`poll after ${afterRevision}`);
        const result = left.shift();
        return result === undefined
          ? ResultAsync.fromSafePromise(new Promise(() => {}))
          : okAsync(result);
      },
    } as unknown as MeshStore,
    configSource: { key: KEY, watchPrefix: "", decode },
    routes,
    directory: new BackendDirectory(),
    quarantine: { replaceExempt: () => {} } as unknown as RequestQuarantine,
    log: new EventLog({ sink: { write: () => {}, close: () => {} } }),
    metrics: new TextMetrics(),
    localKey: "own",
    linkMbps: 0,
    follower: {
      poll: () => Promise.resolve({ kind: "none" }),
    } as unknown as FeedFollower,
    recovery: {
      run: () => Promise.resolve({ kind: "stopped" }),
      reset: () => {},
    },
    onConfigAdopted: () => adopted.push(routes.version),
    onLocalRecord: () => {},
    onRemoved: () => {},
    onEra: (era, isRestored) => calls.push(`era ${era} ${isRestored}`),
  });
  const stopped = new AbortController();
  void task.run(stopped.signal);
  await sleep(RUN_MS);
  stopped.abort();
  return { calls, adopted };
}

const CHANGE = { key: KEY, entry: configEntryAt(10) };
const RESTORED_CALLS = [
  "list",
  "era 1 false",
  "poll after 9",
  "list",
  "era 2 true",
  "poll after 12",
];

// Guards against a watch that goes on from a revision of the former era: the
// store has assigned it again, and answers with the changes after it.
test("StoreSyncTask.run() lists the store after changes of a later era", async () => {
  const events = {
    kind: "events",
    events: [CHANGE],
    isComplete: false,
  } as const;
  assert.equal(await runRestored([{ ...events, revision: 10, era: 2 }]), {
    calls: RESTORED_CALLS,
    adopted: [9],
  });
});

test("StoreSyncTask.run() lists the store if it does not have the revision any more", async () => {
  assert.equal((await runRestored([{ kind: "compacted", era: 2 }])).calls, [
    ...RESTORED_CALLS,
  ]);
});

// Guards against a late response that brings changes of the former era.
test("StoreSyncTask.run() drops changes of an earlier era", async () => {
  const events = {
    kind: "events",
    events: [CHANGE],
    isComplete: false,
  } as const;
  const { calls, adopted } = await runRestored([
    { kind: "compacted", era: 2 },
    { ...events, revision: 10, era: 1 },
  ]);
  assert.equal({ calls, adopted }, {
    calls: [...RESTORED_CALLS, "poll after 12"],
    adopted: [9],
  });
});

test.run();
