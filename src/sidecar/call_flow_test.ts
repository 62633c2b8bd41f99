import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DestinationView } from "../coordination/dispatch/mod.ts";
import { WindowBudget } from "../coordination/retry/window_budget.ts";
import {
  type BackendRecord,
  BackendState,
  RequestKind,
} from "../protocol/mesh.ts";
import { type CallOutcome, MeshReason } from "../protocol/mesh_call.ts";
import { Random } from "../protocol/random.ts";
import { BackendDirectory } from "../state/backend_directory.ts";
import { CallFlow } from "./call_flow.ts";
import type { Fleet } from "./fleet.ts";
import type { FlowContext } from "./flow_types.ts";
import type { SendOptions } from "./peer_client.ts";

interface Sent {
  readonly id: string;
  readonly options: Omit<SendOptions, "configVersion">;
  readonly end: (outcome: CallOutcome) => void;
}

function record(id: string): BackendRecord {
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

function startFlow(maxAttempts: number, backends: number) {
  const sent: Sent[] = [];
  const views = new Map<string, DestinationView>();
  const directory = new BackendDirectory();
  for (let index = 0; index < backends; index++) {
    directory.put(record(`b${index}`));
  }
  const fleet = {
    viewOf: ({ id }: BackendRecord) => {
      if (!views.has(id)) views.set(id, new DestinationView());
      return views.get(id)!;
    },
    execute: (
      { id }: BackendRecord,
      _call: unknown,
      options: Sent["options"],
    ) =>
      new Promise<CallOutcome>((resolve) =>
        sent.push({ id, options, end: resolve })
      ),
  } as unknown as Fleet;
  const budget = new WindowBudget({
    windowMs: 10_000,
    ratio: 1,
    slack: () => 100,
  });
  const context: FlowContext = {
    fleet,
    directory,
    random: new Random(1),
    domain: "a",
    callerService: "web",
    budgetOf: () => budget,
  };
  const nowMs = performance.now();
  const flow = new CallFlow({
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
  return { directory, sent, result: flow.run(new AbortController()) };
}

// Guards against more arrivals than a route's attempts: an open send beside a
// doubted one was not counted.
test("CallFlow counts the send that is open beside a doubted one", async () => {
  const { sent, result } = startFlow(2, 3);
  sent[0]!.options.onDoubt(MeshReason.Unreachable);
  await sleep(10);
  const whileDoubted = sent.length;
  sent[0]!.end({ kind: "unknown", reason: MeshReason.Broken });
  await sleep(10);
  const afterwards = sent.length;
  for (const one of sent) {
    one.end({ kind: "unknown", reason: MeshReason.Broken });
  }
  await result;
  assert.equal({ whileDoubted, afterwards }, {
    whileDoubted: 2,
    afterwards: 2,
  });
});

// Guards against a second run beside one that is open and not in doubt.
test("CallFlow starts no further send for a doubted one that never arrived while another is open", async () => {
  const { sent, result } = startFlow(2, 3);
  sent[0]!.options.onDoubt(MeshReason.Unreachable);
  await sleep(10);
  sent[0]!.end({
    kind: "not-run",
    reason: MeshReason.Unreachable,
    hasReachedBackend: false,
    retryAfterMs: 0,
  });
  await sleep(10);
  const sends = sent.length;
  for (const one of sent) {
    one.end({ kind: "unknown", reason: MeshReason.Broken });
  }
  await result;
  assert.is(sends, 2);
});

// Guards against a lost attempt: a doubted send that never arrived is none.
test("CallFlow gives back the attempt of a doubted send that never arrived", async () => {
  const { sent, result } = startFlow(2, 4);
  sent[0]!.options.onDoubt(MeshReason.Unreachable);
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
  for (const one of sent) {
    one.end({ kind: "unknown", reason: MeshReason.Broken });
  }
  await result;
  assert.ok(sends >= 3, `${sends}`);
});

// Guards against a request that waits for a destination that is gone, as no
// other was free at the one moment at which it was doubted.
test("CallFlow tries a destination that is free after the doubt", async () => {
  const { sent, result, directory } = startFlow(2, 1);
  sent[0]!.options.onDoubt(MeshReason.Unreachable);
  await sleep(10);
  directory.put(record("late"));
  // The next question has no answer either.
  sent[0]!.options.onDoubt(MeshReason.Unreachable);
  await sleep(10);
  const sends = sent.length;
  for (const one of sent) {
    one.end({ kind: "unknown", reason: MeshReason.Broken });
  }
  await result;
  assert.is(sends, 2);
});

test.run();
