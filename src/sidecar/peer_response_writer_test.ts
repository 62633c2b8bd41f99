import { Buffer } from "node:buffer";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { CallOutcome, MeshCall } from "../protocol/mesh_call.ts";
import type { EventLog } from "../transport/observe/event_log.ts";
import { TextMetrics } from "../transport/observe/text_metrics.ts";
import { PeerResponseWriter } from "./peer_response_writer.ts";

const LINK_MBPS = 12;
const BYTES = 60_000;

function answer(bytes: number): CallOutcome {
  return {
    kind: "answered",
    answer: { status: 200, headers: [], body: Buffer.alloc(bytes) },
    serviceMs: 1,
  };
}

function callOf(id: string, organisation: string): MeshCall {
  const nowMs = performance.now();
  return {
    id,
    organisation,
    route: "media",
    priority: 2,
    objectiveAtMs: nowMs + 10_000,
    deadlineMs: nowMs + 20_000,
  } as MeshCall;
}

/** A response that reports its end. */
function responseOf(onEnd: () => void): ServerResponse {
  const response = new EventEmitter();
  return Object.assign(response, {
    writeHead: () => response,
    write: () => true,
    end: () => {
      onEnd();
      response.emit("close");
    },
  }) as unknown as ServerResponse;
}

function writerOf(): PeerResponseWriter {
  const writer = new PeerResponseWriter({
    linkMbps: LINK_MBPS,
    log: { info: () => {} } as unknown as EventLog,
    metrics: new TextMetrics(),
  });
  writer.recordSize(callOf("learned", "large"), answer(BYTES));
  return writer;
}

// Load: ten downloads of one organisation that are ready, and the first one of
// another organisation after them.
test("write() sends a first download before the backlog of another organisation", async () => {
  const writer = writerOf();
  const calls = Array.from(
    { length: 10 },
    (_, index) => callOf(`large${index}`, "large"),
  );
  calls.push(callOf("small", "small"));
  const order: string[] = [];
  await Promise.all(calls.map((call) => {
    assert.is(writer.findRefusal(call), undefined);
    writer.reserve(call);
    writer.settle(call);
    return new Promise<void>((resolve) => {
      const response = responseOf(() => {
        order.push(call.id);
        resolve();
      });
      const outcome = answer(BYTES);
      writer.write(response, { call, outcome, description: "" });
      writer.release(call);
    });
  }));
  assert.is(writer.reserved, 0);
  assert.equal(order.slice(0, 3), ["large0", "small", "large1"]);
});

// Load: 2,000 requests of one organisation that end without a large response.
// Failure: their reservations stay, and memory grows.
test("release() frees the link of requests without a large response", () => {
  const writer = writerOf();
  const outcomes: CallOutcome[] = [
    answer(100),
    { kind: "unknown", reason: "broken" } as CallOutcome,
  ];
  for (let index = 0; index < 2_000; index++) {
    const call = callOf(`${index}`, "large");
    assert.is(writer.findRefusal(call), undefined);
    writer.reserve(call);
    writer.settle(call);
    const outcome = outcomes[index % 2]!;
    writer.write(responseOf(() => {}), { call, outcome, description: "" });
    assert.is(writer.reserved, 1);
    writer.release(call);
  }
  assert.is(writer.reserved, 0);
  const load = { waitMs: 0 } as Parameters<typeof writer.withLinkWait>[1];
  assert.is(writer.withLinkWait(callOf("next", "large"), load), load);
});

test.run();
