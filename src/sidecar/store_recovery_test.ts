import { setTimeout as sleep } from "node:timers/promises";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { FeedPollResult } from "../protocol/feed.ts";
import { type BackendRecord, BackendState } from "../protocol/mesh.ts";
import { FailureKind, StepError } from "../protocol/step_error.ts";
import { BackendDirectory } from "../state/backend_directory.ts";
import type { MeshStore } from "./ports.ts";
import { type Recovery, StoreRecovery } from "./store_recovery.ts";

const DOMAIN = "a";
/** Longer than the silence of a listing that the store answers at once, in ms. */
const SLOW_ANSWER_MS = 1_700;
const MAX_RUN_MS = 8_000;
const EMPTY = { events: [], revision: 7, isComplete: false };

interface Situation {
  readonly members: number;
  readonly self: number;
  /** Answers the n-th probe. */
  readonly probe?: (count: number) => ReturnType<MeshStore["probe"]>;
  readonly pollFeed?: (instance: string) => Promise<FeedPollResult>;
}

function makeRecord(index: number): BackendRecord {
  return {
    id: `i-${index}`,
    instance: `a-${index}`,
    service: "stock",
    domain: DOMAIN,
    peerAddress: "127.0.0.1:1",
    slots: 12,
    state: BackendState.Ready,
    bornAtUnixMs: 1,
    linkMbps: 100 - index,
  };
}

const refuse = () =>
  errAsync(
    new StepError(FailureKind.Unavailable, "probe", "Cannot probe: 503"),
  );
const never = <T>() => ResultAsync.fromSafePromise(new Promise<T>(() => {}));

/** Runs a recovery; returns what ended it, after how long and its probes. */
async function recover(situation: Situation) {
  const directory = new BackendDirectory();
  for (let index = 0; index < situation.members; index++) {
    directory.put(makeRecord(index));
  }
  let probes = 0;
  const recovery = new StoreRecovery({
    store: {
      probe: () => (situation.probe ?? (() => never<void>()))(probes++),
      list: () => okAsync({ entries: [], revision: 9 }),
    } as unknown as MeshStore,
    prefix: "",
    instance: `a-${situation.self}`,
    domain: DOMAIN,
    directory,
    pollFeed: ({ instance }) =>
      situation.pollFeed?.(instance) ?? new Promise(() => {}),
    onCall: () => {},
  });
  const stopped = AbortSignal.timeout(MAX_RUN_MS);
  const startedAtMs = performance.now();
  const result: Recovery = await recovery.run(
    { afterRevision: 5, isCurrent: false },
    stopped,
  );
  return {
    kind: result.kind,
    seconds: Math.floor((performance.now() - startedAtMs) / 1_000),
    probes,
  };
}

// Guards against a wait for a call that was sent into the silence of a store
// that has long been back.
test("StoreRecovery.run() probes beside probes that are not answered", async () => {
  const result = await recover({
    members: 3,
    self: 0,
    probe: (count) => count < 2 ? never<void>() : okAsync(undefined),
  });
  assert.equal(result, { kind: "listed", seconds: 2, probes: 3 });
});

// Guards against a slow store that is never reached, as each call is given up.
test("StoreRecovery.run() takes the late answer of a slow store", async () => {
  const result = await recover({
    members: 3,
    self: 0,
    probe: () =>
      ResultAsync.fromSafePromise(sleep(SLOW_ANSWER_MS)).map(() => undefined),
  });
  assert.equal(result, { kind: "listed", seconds: 1, probes: 2 });
});

test("StoreRecovery.run() follows the first daemon that has the store again", async () => {
  const result = await recover({
    members: 30,
    self: 20,
    pollFeed: async (instance) => {
      await sleep(300);
      return instance === "a-1"
        ? { kind: "changes", batch: EMPTY, viewAgeMs: 10 }
        : { kind: "away" };
    },
  });
  assert.equal(result, { kind: "followed", seconds: 0, probes: 0 });
});

// Guards against daemons that wait for four that have been killed.
test("StoreRecovery.run() steps in for daemons that do not respond", async () => {
  const result = await recover({
    members: 30,
    self: 4,
    probe: (count) => count === 0 ? refuse() : okAsync(undefined),
    pollFeed: async (instance) => {
      await sleep(100);
      const isDead = ["a-0", "a-1", "a-2", "a-3"].includes(instance);
      return { kind: isDead ? "failed" : "away" };
    },
  });
  assert.equal(result, { kind: "listed", seconds: 1, probes: 2 });
});

test.run();
