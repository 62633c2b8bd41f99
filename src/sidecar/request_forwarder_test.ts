import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  DestinationStats,
  ResponseSizes,
} from "../coordination/dispatch/mod.ts";
import { WindowedRetryBudget } from "../coordination/retry/windowed_retry_budget.ts";
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
import type { ForwardContext } from "./forward_types.ts";
import type { SendOptions } from "./peer_client.ts";

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

function startForwarding(maxAttempts: number, backendCount: number) {
  const sent: SentRequest[] = [];
  const statsById = new Map<string, DestinationStats>();
  const directory = new BackendDirectory();
  for (let index = 0; index < backendCount; index++) {
    directory.put(makeRecord(`b${index}`));
  }
  const destinations = {
    statsOf: ({ id }: BackendRecord) => {
      if (!statsById.has(id)) statsById.set(id, new DestinationStats());
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
  const context: ForwardContext = {
    destinations,
    directory,
    random: new Random(1),
    responseSizes: new ResponseSizes(),
    domain: "a",
    callerService: "web",
    budgetOf: () => budget,
  };
  const nowMs = performance.now();
  const forwarder = new RequestForwarder({
    id: "r",
    method: "GET",
    path: "/",
    headers: [],
    body: undefined,
    service: "stock",
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
  }, context);
  return { directory, sent, result: forwarder.run(new AbortController()) };
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

test.run();
