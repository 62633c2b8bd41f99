import { create } from "@bufbuild/protobuf";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { sampleService } from "../../../testkit/sample_config.ts";
import {
  MemberSchema,
  MemberState,
} from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { Delivery } from "../../protocol/config_schema.ts";
import { Random } from "../../protocol/random.ts";
import { Balancer } from "./balancer.ts";
import {
  MAX_REDIRECTS,
  MAX_UNANSWERED_PROBES,
  Placement,
} from "./placement.ts";

const SLOTS = 2;
const FREE = { running: 0, queued: 0, limit: SLOTS };
const FULL = { running: SLOTS, queued: 0, limit: SLOTS };

function balancerOf(...ids: string[]): Balancer {
  const balancer = new Balancer({ id: "self", domain: "east" }, new Random(1));
  for (const id of ids) {
    const member = create(MemberSchema, {
      id,
      domain: "east",
      service: "lookup",
      state: MemberState.ALIVE,
      backendReady: true,
      slots: SLOTS,
    });
    balancer.update(member, 0);
  }
  return balancer;
}

function placementOn(balancer: Balancer): Placement {
  return new Placement(balancer, { name: "lookup", service: sampleService() });
}

test("next() tries each endpoint once", () => {
  const placement = placementOn(balancerOf("a", "b"));
  const ids = [1, 2, 3].map((nowMs) =>
    placement.next(nowMs)?.endpoint.member.id
  );
  assert.equal(ids.slice(0, 2).sort(), ["a", "b"]);
  assert.is(ids[2], undefined);
});

test("next() returns to an endpoint whose connection was lost once others are used up", () => {
  const placement = placementOn(balancerOf("a"));
  assert.is(placement.next(0)?.endpoint.member.id, "a");
  placement.recordUndelivered("a");
  assert.is(placement.hasUntriedEndpoint(1), false);
  assert.is(placement.next(1)?.endpoint.member.id, "a");
  assert.is(placement.next(2), undefined);
});

test("mayBeRedirected() is true only while another endpoint seems free", () => {
  const balancer = balancerOf("a", "b");
  const placement = placementOn(balancer);
  const first = placement.next(0)!.endpoint;
  assert.is(placement.canBeRedirected(0), true);
  const other = balancer.endpointsOf("lookup").find((one) => one !== first)!;
  other.recordLoad(FULL, 0);
  assert.is(placement.canBeRedirected(0), false);
});

test("mayBeRedirected() is false after the most redirects", () => {
  const placement = placementOn(balancerOf("a", "b", "c", "d"));
  for (let count = 0; count < MAX_REDIRECTS; count++) {
    assert.is(placement.canBeRedirected(0), true);
    placement.recordRedirect(placement.next(0)!.endpoint.member.id);
  }
  assert.is(placement.canBeRedirected(0), false);
});

/** Where an order goes, and which endpoint is asked. */
function placeOrder(
  placement: Placement,
  nowMs: number,
): [string?, string?] {
  const placed = placement.next(nowMs);
  return [placed?.endpoint.member.id, placed?.probeTarget?.member.id];
}

function orderOn(balancer: Balancer): Placement {
  const service = sampleService({ delivery: Delivery.AtMostOnce });
  return new Placement(balancer, { name: "lookup", service });
}

// Guards against orders that were the first to try a way that had been cut,
// and of which nobody could tell whether they ran.
test("next() has an endpoint asked before work that may run once, until an answer and after it grew old", () => {
  const balancer = balancerOf("a");
  const [a] = balancer.endpointsOf("lookup");
  const unknown = placeOrder(orderOn(balancer), 0);
  a!.recordLoad(FREE, 0);
  const proven = placeOrder(orderOn(balancer), 500);
  a!.markPathSuspect();
  const broken = placeOrder(orderOn(balancer), 500);
  a!.recordLoad(FREE, 500);
  const again = placeOrder(orderOn(balancer), 1_000);
  const old = placeOrder(orderOn(balancer), 2_000);
  const repeatable = placementOn(balancer).next(2_000)!.probeTarget;
  assert.equal({ unknown, proven, broken, again, old, repeatable }, {
    unknown: ["a", "a"],
    proven: ["a", undefined],
    broken: ["a", "a"],
    again: ["a", undefined],
    old: ["a", "a"],
    repeatable: undefined,
  });
});

test("next() sends work that may run once to a proven endpoint while another is asked", () => {
  const balancer = balancerOf("a", "b");
  const [a, b] = balancer.endpointsOf("lookup");
  a!.recordSuccess(500);
  a!.recordLoad(FREE, 0);
  const free = placeOrder(orderOn(balancer), 0);
  a!.recordLoad(FULL, 0);
  const full = placeOrder(orderOn(balancer), 0);
  b!.markPathSuspect();
  const doubtful = placeOrder(orderOn(balancer), 0);
  assert.equal({ free, full, doubtful }, {
    free: ["a", "b"],
    full: ["b", "b"],
    doubtful: ["a", "b"],
  });
});

test("next() has no more endpoints asked than a call may wait for", () => {
  const ids = ["a", "b", "c", "d", "e"];
  const placement = orderOn(balancerOf(...ids));
  const asked = ids.map((_, nowMs) => {
    const [id] = placeOrder(placement, nowMs);
    if (id !== undefined) placement.recordUnansweredProbe();
    return id !== undefined;
  });
  assert.equal(asked, ids.map((_, index) => index < MAX_UNANSWERED_PROBES));
});

test.run();
