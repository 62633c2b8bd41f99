import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  DestinationStats,
  RequestCosts,
  ResponseSizes,
} from "../coordination/dispatch/mod.ts";
import { WindowedRetryBudget } from "../coordination/retry/windowed_retry_budget.ts";
import type { EndEvidence } from "../protocol/end_evidence.ts";
import {
  type BackendRecord,
  BackendState,
  RequestKind,
} from "../protocol/mesh.ts";
import {
  type CallOutcome,
  MeshReason,
  notRunOutcome,
} from "../protocol/mesh_call.ts";
import { Random } from "../protocol/random.ts";
import { BackendDirectory } from "../state/backend_directory.ts";
import { RequestForwarder } from "./request_forwarder.ts";
import type { DestinationPool } from "./destination_pool.ts";
import type { ForwardContext, ForwardRequest } from "./forward_types.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { TextMetrics } from "../transport/observe/text_metrics.ts";
import type { SendOptions } from "./peer_client.ts";
import { RequestQuarantine } from "./request_quarantine.ts";

interface SentRequest {
  readonly id: string;
  readonly options: Omit<SendOptions, "configVersion">;
  readonly end: (outcome: CallOutcome) => void;
}

function makeRecord(id: string): BackendRecord {
  return {
    id,
    instance: `at-${id}`,
    service: "stock",
    domain: "a",
    peerAddress: "127.0.0.1:1",
    slots: 8,
    state: BackendState.Ready,
    bornAtUnixMs: 1,
    linkMbps: 0,
  };
}

const REQUEST = {
  id: "r",
  method: "GET",
  path: "/",
  headers: [],
  body: undefined,
  service: "stock",
};

/** Evidence of ends, each with other suspects or with none. */
function endsOf(isLone: readonly boolean[]): EndEvidence[] {
  return isLone.map((lone, index) => ({
    id: `end-${index}`,
    isLone: lone,
    remainingMs: 60_000,
  }));
}

function recordWait(stats: DestinationStats, waitMs: number): void {
  const load = { running: 8, queued: 20, limit: 8, failureShare: 0, pace: 1 };
  stats.recordLoad("stock", { ...load, waitMs }, performance.now());
}

function startForwarding(
  maxAttempts: number,
  backendCount: number,
  evidence: readonly EndEvidence[] = [],
  fields: Partial<ForwardRequest> = {},
  waitMs = 0,
) {
  const sent: SentRequest[] = [];
  const statsById = new Map<string, DestinationStats>();
  const directory = new BackendDirectory();
  for (let index = 0; index < backendCount; index++) {
    directory.put(makeRecord(`b${index}`));
  }
  const destinations = {
    costsOf: () => new RequestCosts(),
    statsOf: ({ id }: BackendRecord) => {
      if (!statsById.has(id)) {
        statsById.set(id, new DestinationStats());
        if (waitMs > 0) recordWait(statsById.get(id)!, waitMs);
      }
      return statsById.get(id)!;
    },
    execute: (
      { id }: BackendRecord,
      _call: unknown,
      options: SentRequest["options"],
    ) =>
      new Promise<CallOutcome>((resolve) =>
        sent.push({ id, options, end: resolve })
      ),
  } as unknown as DestinationPool;
  const budget = new WindowedRetryBudget({
    windowMs: 10_000,
    ratio: 1,
    slack: () => 100,
  });
  const quarantine = new RequestQuarantine({
    instance: "a-1",
    log: new EventLog({ sink: { write: () => {}, close: () => {} } }),
    metrics: new TextMetrics(),
    onReport: () => {},
  });
  quarantine.merge(REQUEST, evidence, "a-2");
  const context: ForwardContext = {
    destinations,
    directory,
    quarantine,
    random: new Random(1),
    responseSizes: new ResponseSizes(),
    domain: "a",
    callerService: "web",
    choosesByValue: () => true,
    budgetOf: () => budget,
  };
  const nowMs = performance.now();
  const forwarder = new RequestForwarder({
    ...REQUEST,
    deadlineMs: nowMs + 1_500,
    objectiveAtMs: nowMs + 1_500,
    route: {
      name: "stock",
      host: "h",
      prefix: "/",
      targets: [{ service: "stock", weight: 1 }],
      kind: RequestKind.Idempotent,
      timeoutMs: 1_500,
      objectiveMs: 1_500,
      priority: 0,
      maxAttempts,
    },
    ...fields,
  }, context);
  const result = forwarder.run(new AbortController());
  return { directory, sent, quarantine, result };
}

// Guards against more arrivals than the route's attempts: an open attempt was
// not counted while another one was suspected lost.
test("RequestForwarder.run() counts an open attempt next to one that is suspected lost", async () => {
  const { sent, result } = startForwarding(2, 3);
  sent[0]!.options.onSuspected(MeshReason.Unreachable);
  await sleep(10);
  const sendsWhileSuspected = sent.length;
  sent[0]!.end({ kind: "unknown", reason: MeshReason.Broken });
  await sleep(10);
  const sendsAfterwards = sent.length;
  for (const request of sent) {
    request.end({ kind: "unknown", reason: MeshReason.Broken });
  }
  await result;
  assert.equal({ sendsWhileSuspected, sendsAfterwards }, {
    sendsWhileSuspected: 2,
    sendsAfterwards: 2,
  });
});

// Guards against a second run while an attempt is open and not suspected lost.
test("RequestForwarder.run() replaces no attempt that never arrived while another one is open", async () => {
  const { sent, result } = startForwarding(2, 3);
  sent[0]!.options.onSuspected(MeshReason.Unreachable);
  await sleep(10);
  sent[0]!.end({
    kind: "not-run",
    reason: MeshReason.Unreachable,
    hasReachedBackend: false,
    retryAfterMs: 0,
  });
  await sleep(10);
  const sends = sent.length;
  for (const request of sent) {
    request.end({ kind: "unknown", reason: MeshReason.Broken });
  }
  await result;
  assert.is(sends, 2);
});

// Guards against a wasted attempt: one that never arrived does not count.
test("RequestForwarder.run() gives back a suspected attempt that never arrived", async () => {
  const { sent, result } = startForwarding(2, 4);
  sent[0]!.options.onSuspected(MeshReason.Unreachable);
  await sleep(10);
  sent[1]!.end({
    kind: "not-run",
    reason: MeshReason.Leaving,
    hasReachedBackend: false,
    retryAfterMs: 0,
  });
  await sleep(10);
  sent[0]!.end({
    kind: "not-run",
    reason: MeshReason.Unreachable,
    hasReachedBackend: false,
    retryAfterMs: 0,
  });
  await sleep(10);
  sent[2]?.end({ kind: "unknown", reason: MeshReason.Broken });
  await sleep(10);
  const sends = sent.length;
  for (const request of sent) {
    request.end({ kind: "unknown", reason: MeshReason.Broken });
  }
  await result;
  assert.ok(sends >= 3, `${sends}`);
});

// Guards against a request that waits for a lost destination because no other
// one was free at the first suspicion.
test("RequestForwarder.run() tries a destination that becomes free after the first suspicion", async () => {
  const { sent, result, directory } = startForwarding(2, 1);
  sent[0]!.options.onSuspected(MeshReason.Unreachable);
  await sleep(10);
  directory.put(makeRecord("late"));
  // The next status query has no response either.
  sent[0]!.options.onSuspected(MeshReason.Unreachable);
  await sleep(10);
  const sends = sent.length;
  for (const request of sent) {
    request.end({ kind: "unknown", reason: MeshReason.Broken });
  }
  await result;
  assert.is(sends, 2);
});

// Pattern: a queue that grew behind a slow backend server while others are free.
test("RequestForwarder.run() sends a request that expired in a queue to a free destination", async () => {
  const { sent, result } = startForwarding(1, 2);
  sent[0]!.end(notRunOutcome(MeshReason.Expired));
  await sleep(10);
  sent[1]?.end(notRunOutcome(MeshReason.Leaving));
  const { kind } = await result;
  assert.equal({ sends: sent.length, kind }, { sends: 2, kind: "refused" });
});

// Guards against sending a request on under which three servers have ended.
test("RequestForwarder.run() refuses a quarantined request at once, as not run", async () => {
  const { sent, result } = startForwarding(3, 3, endsOf([false, true, true]));
  const ended = await result;
  assert.is(sent.length, 0);
  assert.is(ended.kind, "refused");
  assert.is("reason" in ended && ended.reason, MeshReason.Quarantined);
});

// Guards against two servers that end at once under a repeat beside a run.
test("RequestForwarder.run() sends no suspect twice at the same time", async () => {
  const { sent, result } = startForwarding(3, 3, endsOf([false]));
  sent[0]!.options.onSuspected(MeshReason.Unreachable);
  await sleep(10);
  const sends = sent.length;
  sent[0]!.end({ kind: "unknown", reason: MeshReason.Broken });
  await sleep(10);
  for (const request of sent) {
    request.end({ kind: "unknown", reason: MeshReason.Broken });
  }
  await result;
  assert.is(sends, 1);
});

// Guards against repeats by which one request ends several servers.
test("RequestForwarder.run() repeats a request after one end, and not after two", async () => {
  const sends: number[] = [];
  for (const evidence of [endsOf([false]), endsOf([false, true])]) {
    const { sent, quarantine, result } = startForwarding(3, 3);
    quarantine.merge(REQUEST, evidence, "a-2");
    for (let index = 0; index < 3; index++) {
      sent[index]?.end({ kind: "unknown", reason: MeshReason.Ended });
      await sleep(10);
    }
    await result;
    sends.push(sent.length);
  }
  assert.equal(sends, [3, 1]);
});

// Guards against a trial on several servers of the fleet at the same time.
test("RequestForwarder.run() sends a request on trial to one destination only", async () => {
  const destinations = new Set<string>();
  const evidence = endsOf([false, false, false]);
  for (let index = 0; index < 20; index++) {
    const { sent, result } = startForwarding(3, 3, evidence);
    sent[0]!.end(notRunOutcome(MeshReason.Isolated, 100));
    await result;
    assert.is(sent.length, 1);
    destinations.add(sent[0]!.id);
  }
  assert.ok(destinations.size <= 2, "the period may change in between");
});

// Failure: a running request ends with 500, as its call was not sent although
// it could still finish before its deadline.
test("RequestForwarder.run() sends a call that can finish before its deadline only", async () => {
  const sentCounts: number[] = [];
  for (const isSubcall of [false, true]) {
    const objectiveAtMs = performance.now() + 300;
    const fields = { objectiveAtMs, isSubcall };
    const { sent, result } = startForwarding(1, 1, [], fields, 1_000);
    sentCounts.push(sent.length);
    sent[0]?.end(notRunOutcome(MeshReason.Overloaded));
    await result;
  }
  assert.equal(sentCounts, [0, 1]);
});

test.run();
