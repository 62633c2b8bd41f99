import { test } from "uvu";
import * as assert from "uvu/assert";
import { MeshReason } from "../../protocol/mesh_call.ts";
import { DestinationView } from "./destination_view.ts";

const LOAD = { running: 12, queued: 30, limit: 12, failureShare: 0 };

test("expected() keeps the wait of long orders apart from that of calls", () => {
  const view = new DestinationView();
  view.times.learn("order", 300);
  view.times.learn("call", 60);
  view.reported("call", { ...LOAD, waitMs: 20 }, 0);
  view.reported("order", { ...LOAD, waitMs: 900 }, 0);
  const waits = ["call", "order"].map((route) =>
    Math.round(view.expected(route, 0, 12).waitMs)
  );
  assert.equal(waits, [20 + 15, 900 + 75]);
});

test("expected() forgets a report, so that a full destination is tried", () => {
  const view = new DestinationView();
  view.reported("order", { ...LOAD, waitMs: 900 }, 0);
  const waits = [0, 300, 1_500].map((nowMs) =>
    view.expected("order", nowMs, 12).waitMs
  );
  assert.ok(waits[0]! > waits[1]! && waits[1]! > waits[2]! && waits[2]! < 50);
});

test("isUnreachable() ends sooner than a service would be missed", () => {
  const view = new DestinationView();
  view.unreached(0);
  assert.equal([0, 900, 1_100].map((nowMs) => view.isUnreachable(nowMs)), [
    true,
    true,
    false,
  ]);
});

test("failureShare() rises where a daemon has lost its backend server", () => {
  const view = new DestinationView();
  for (let index = 0; index < 3; index++) {
    view.sent("order");
    view.ended("order", {
      kind: "not-run",
      reason: MeshReason.NoBackend,
      hasReachedBackend: false,
      retryAfterMs: 0,
    }, 0);
  }
  assert.ok(view.failureShare(0) > 0.25 && view.failureShare(4_000) < 0.1);
});

test("expected() counts the way through a full link, and tries it again", () => {
  const view = new DestinationView();
  for (let index = 0; index < 10; index++) view.travelled(800, 0);
  const waits = [0, 1_000, 6_000].map((nowMs) =>
    Math.round(view.expected("call", nowMs, 12).waitMs / 100) * 100
  );
  assert.equal(waits, [800, 400, 0]);
});

test.run();
