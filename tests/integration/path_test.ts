import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  call,
  createIdempotencyKey,
  placeOrder,
} from "../../testkit/caller.ts";
import { Fleet } from "../../testkit/fleet.ts";
import { sampleSource, UNAPPROVED_TOKEN } from "../../testkit/sample_config.ts";

let fleet: Fleet;

test.before(async () => {
  fleet = await Fleet.start({
    network: 11,
    source: sampleSource(),
    domains: [
      { name: "east", services: ["lookup", "order"] },
      { name: "west", services: ["lookup", "proof"] },
    ],
  });
});

test.after(async () => {
  await fleet.close();
});

test("a call of each rank is served through every daemon", async () => {
  for (const { daemon } of fleet.instances) {
    const lookup = await call(daemon.ingress, "/lookup/stock/7");
    assert.is(lookup.status, 200, lookup.reason);
    assert.is(lookup.outcome, "ran");
    const placed = await placeOrder(daemon.ingress, createIdempotencyKey());
    assert.is(placed.status, 200, placed.reason);
    const proof = await call(daemon.ingress, "/proof/echo", {
      method: "POST",
      body: "x".repeat(300_000),
    });
    assert.is(proof.status, 200, proof.reason);
    assert.is(proof.body.length, 300_000);
  }
});

test("a caller that was not approved is refused as not run", async () => {
  const { daemon } = fleet.instances[0]!;
  const response = await call(daemon.ingress, "/lookup/1", {
    token: UNAPPROVED_TOKEN,
  });
  assert.equal(
    {
      status: response.status,
      outcome: response.outcome,
      reason: response.reason,
    },
    { status: 403, outcome: "not-run", reason: "caller-not-approved" },
  );
});

test("a call succeeds although the open connection to the only server is silent", async () => {
  const { daemon } = fleet.instances[0]!;
  const [only] = fleet.ofService("proof");
  const sendProof = () =>
    call(daemon.ingress, "/proof/echo", { method: "POST", body: "mine" });
  assert.is((await sendProof()).status, 200);
  only!.daemon.peerProxy.set({ kind: "silence-open" });
  const response = await sendProof();
  only!.daemon.peerProxy.set({ kind: "none" });
  assert.is(response.status, 200, response.reason);
  assert.is(response.body, "mine");
});

test("a repeated order runs once and gets the first response", async () => {
  const key = createIdempotencyKey();
  const [first, second] = fleet.instances;
  const placed = await placeOrder(first!.daemon.ingress, key);
  const resent = await placeOrder(second!.daemon.ingress, key);
  assert.is(placed.status, 200, placed.reason);
  assert.is(resent.body, placed.body, resent.reason);
  assert.is(resent.replayed, "whole");
  const runs = (await fleet.executions()).filter((one) => one.key === key);
  assert.is(runs.length, 1);
});

test.run();
