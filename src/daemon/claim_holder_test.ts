import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import { create } from "@bufbuild/protobuf";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { StoreServer } from "../../fakes/store_server.ts";
import {
  ClaimRequestSchema,
  ClaimState,
  CompleteClaimRequestSchema,
} from "../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { EventLog } from "../transport/observe/event_log.ts";
import { openMetrics } from "../transport/observe/metrics.ts";
import { EtcdStore } from "../transport/store/etcd_store.ts";
import { ClaimHolder } from "./claim_holder.ts";

let server: StoreServer;
let store: EtcdStore;
const holders: ClaimHolder[] = [];
const log = new EventLog({ level: "error" });

test.before.each(async () => {
  server = new StoreServer({ writesPerSecond: 1e6, readsPerSecond: 1e6 });
  const port = await server.listen(0);
  store = new EtcdStore([`127.0.0.1:${port}`], { callsPerSecond: 1_000 });
});

test.after.each(async () => {
  for (const holder of holders.splice(0)) holder.stop();
  await store.close();
  await server.close();
});

function open(selfId: string): ClaimHolder {
  const holder = new ClaimHolder(0, {
    selfId,
    store,
    log,
    metrics: openMetrics(undefined, selfId),
    windowMs: 900_000,
    commitIntervalMs: 5,
  });
  holders.push(holder);
  return holder;
}

function request(key: string, requestId: string) {
  return create(ClaimRequestSchema, {
    key: Buffer.from(key),
    requestId,
    content: Buffer.from("content"),
    issuedAtMs: Date.now(),
  });
}

function end(key: string, requestId: string) {
  return create(CompleteClaimRequestSchema, {
    key: Buffer.from(key),
    requestId,
    answer: { status: 200, contentType: "text/plain", hasBody: true },
  });
}

test("complete() records an end while commits are stalled", async () => {
  const holder = open("one");
  const granted = await holder.claim(request("a", "r1"));
  assert.is(granted.state, ClaimState.GRANTED);
  server.goDown();
  const stalled = holder.claim(request("b", "r2"));
  // After 1 s new claims are refused, but ends are still accepted.
  await sleep(1_300);
  const refused = await holder.claim(request("c", "r3"));
  assert.is(refused.state, ClaimState.REFUSED);
  const ended = holder.complete(end("a", "r1"));
  server.comeBack();
  assert.is(await ended, true);
  assert.is((await stalled).state, ClaimState.GRANTED);
  const resent = await open("two").claim(request("a", "r4"));
  assert.is(resent.state, ClaimState.DONE);
});

test("claim() grants a key once where two holders share a partition, and both replay its response", async () => {
  const [one, two] = [open("one"), open("two")];
  const states = await Promise.all([
    one.claim(request("a", "r1")),
    two.claim(request("a", "r2")),
  ]);
  const granted = states.findIndex(({ state }) => state === ClaimState.GRANTED);
  assert.equal(
    states.map(({ state }) => ClaimState[state]).sort(),
    ["GRANTED", "HELD"],
  );
  const [owner, other] = granted === 0 ? [one, two] : [two, one];
  assert.is(await owner.complete(end("a", `r${granted + 1}`)), true);
  const replayed = [
    await owner.claim(request("a", "r3")),
    await other.claim(request("a", "r4")),
  ];
  assert.equal(
    replayed.map(({ state }) => ClaimState[state]),
    ["DONE", "DONE"],
  );
});

test.run();
