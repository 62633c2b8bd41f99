import { test } from "uvu";
import * as assert from "uvu/assert";
import { MeshReason, notRunOutcome } from "../../protocol/mesh_call.ts";
import { DestinationStats } from "./destination_stats.ts";
import { DomainLoad } from "./domain_load.ts";
import { RequestCosts } from "./request_costs.ts";

const LOAD = { running: 12, queued: 30, limit: 12, failureShare: 0, pace: 1 };

test("estimate() keeps the waits of long orders and short calls apart", () => {
  const times = new RequestCosts();
  times.record(["order"], 300, 0);
  times.record(["call"], 60, 0);
  const stats = new DestinationStats(times);
  stats.recordLoad("call", { ...LOAD, waitMs: 20 }, 0);
  stats.recordLoad("order", { ...LOAD, waitMs: 900 }, 0);
  const waits = ["call", "order"].map((route) =>
    Math.round(stats.estimate([route], 0, 12).waitMs)
  );
  assert.equal(waits, [20 + 15, 900 + 75]);
});

// Pattern: a backend server with free slots takes a few requests a second.
test("estimate() counts what was sent since the report against a limit", () => {
  const stats = new DestinationStats();
  const idle = { ...LOAD, running: 0, queued: 0, waitMs: 0 };
  stats.recordLoad("order", { ...idle, limitPerS: 10 }, 0);
  for (let sends = 0; sends < 3; sends++) stats.recordSend("order");
  const limitedMs = stats.estimate(["order"], 0, 12).queueMs;
  stats.recordLoad("order", idle, 0);
  stats.recordSend("order");
  const unlimitedMs = stats.estimate(["order"], 0, 12).queueMs;
  assert.equal({ limitedMs, unlimitedMs }, { limitedMs: 300, unlimitedMs: 0 });
});

test("estimate() discounts old reports, so that a full destination is retried", () => {
  const domainLoad = new DomainLoad();
  const full = new DestinationStats(new RequestCosts(), domainLoad);
  const idle = new DestinationStats(new RequestCosts(), domainLoad);
  full.recordLoad("order", { ...LOAD, waitMs: 900 }, 0);
  for (let index = 0; index < 30; index++) {
    idle.recordLoad("order", { ...LOAD, running: 0, queued: 0, waitMs: 0 }, 0);
  }
  const waits = [0, 300, 1_500, 10_000].map((nowMs) =>
    full.estimate(["order"], nowMs, 12).waitMs
  );
  assert.ok(waits[0]! > waits[1]! && waits[1]! > waits[2]!);
  assert.ok(waits[2]! < waits[0]! / 3 && waits[3]! < 100, String(waits));
});

// Pattern: old reports made every full destination of a busy domain look idle.
test("estimate() takes the load of the domain for that of a destination unheard of", () => {
  const domainLoad = new DomainLoad();
  const known = new DestinationStats(new RequestCosts(), domainLoad);
  for (let index = 0; index < 50; index++) {
    known.recordLoad("order", { ...LOAD, waitMs: 200 }, 0);
  }
  const unknown = new DestinationStats(new RequestCosts(), domainLoad);
  const waits = [0, 4_000].map((nowMs) =>
    Math.round(unknown.estimate(["order"], nowMs, 12).queueMs / 10) * 10
  );
  assert.equal(waits, [200, 50]);
});

test("isUnreachable() is true for a second at first, so that a destination is soon retried", () => {
  const stats = new DestinationStats();
  stats.recordUnreachable(0);
  assert.equal([0, 900, 1_100].map((nowMs) => stats.isUnreachable(nowMs)), [
    true,
    true,
    false,
  ]);
});

// Pattern: machines restart in turn, and their records do not say so.
test("isUnreachable() is true for a second after a stopping daemon's refusal", () => {
  const stats = new DestinationStats();
  stats.recordSend("order");
  stats.recordOutcome(["order"], notRunOutcome(MeshReason.Leaving), 0);
  stats.recordLoad("order", { ...LOAD, waitMs: 0 }, 0);
  assert.equal([0, 900, 1_100].map((nowMs) => stats.isUnreachable(nowMs)), [
    true,
    true,
    false,
  ]);
  assert.is(stats.failureShare(0), 0);
});

// Pattern: backend servers that share their machines turn slow for moments.
test("estimate() follows the pace that a destination reports, while it is fresh", () => {
  const times = new RequestCosts();
  times.record(["order"], 200, 0);
  const stats = new DestinationStats(times);
  stats.recordLoad("order", { ...LOAD, running: 1, waitMs: 0, pace: 2.5 }, 0);
  const serviceTimes = [0, 300, 3_000].map((nowMs) =>
    Math.round(stats.estimate(["order"], nowMs, 12).serviceMs)
  );
  assert.equal(serviceTimes, [500, 310, 200]);
});

test("failureShare() rises if a daemon reports no backend server", () => {
  const stats = new DestinationStats();
  for (let index = 0; index < 3; index++) {
    stats.recordSend("order");
    stats.recordOutcome(["order"], {
      kind: "not-run",
      reason: MeshReason.NoBackend,
      hasReachedBackend: false,
      retryAfterMs: 0,
    }, 0);
  }
  assert.ok(stats.failureShare(0) > 0.25 && stats.failureShare(4_000) < 0.1);
});

test("estimate() includes the transit time of a saturated link, which decays", () => {
  const stats = new DestinationStats();
  for (let index = 0; index < 10; index++) stats.recordTransit(800, 0);
  const waits = [0, 1_000, 6_000].map((nowMs) =>
    Math.round(stats.estimate(["call"], nowMs, 12).waitMs / 100) * 100
  );
  assert.equal(waits, [800, 400, 0]);
});

test("estimateByMeans() trusts a load report less as it ages", () => {
  const stats = new DestinationStats();
  stats.recordLoad("order", { ...LOAD, waitMs: 900 }, 0);
  const waits = [0, 300, 1_500].map((nowMs) =>
    stats.estimateByMeans("order", nowMs, 12).waitMs
  );
  assert.ok(waits[0]! > waits[1]! && waits[1]! > waits[2]! && waits[2]! < 50);
});

test.run();
