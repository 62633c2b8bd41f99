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

test("next() retries an endpoint once whose connection was lost, after all others", () => {
  const placement = placementOn(balancerOf("a"));
  assert.is(placement.next(0)?.endpoint.member.id, "a");
  placement.recordUndelivered("a");
  assert.is(placement.hasUntriedEndpoint(1), false);
  assert.is(placement.next(1)?.endpoint.member.id, "a");
  assert.is(placement.next(2), undefined);
});

test("canBeRedirected() is true only while another endpoint seems free", () => {
  const balancer = balancerOf("a", "b");
  const placement = placementOn(balancer);
  const first = placement.next(0)!.endpoint;
  assert.is(placement.canBeRedirected(0), true);
  const other = balancer.endpointsOf("lookup").find((one) => one !== first)!;
  other.recordLoad(FULL, 0);
  assert.is(placement.canBeRedirected(0), false);
});

test("canBeRedirected() is false after the maximum number of redirects", () => {
  const placement = placementOn(balancerOf("a", "b", "c", "d"));
  for (let count = 0; count < MAX_REDIRECTS; count++) {
    assert.is(placement.canBeRedirected(0), true);
    placement.recordRedirect(placement.next(0)!.endpoint.member.id);
  }
  assert.is(placement.canBeRedirected(0), false);
});

/** Returns the ids of the chosen endpoint and of the endpoint to probe. */
function placeCall(
  placement: Placement,
  nowMs: number,
): [string?, string?] {
  const placed = placement.next(nowMs);
  return [placed?.endpoint.member.id, placed?.probeTarget?.member.id];
}

function atMostOncePlacementOn(balancer: Balancer): Placement {
  const service = sampleService({ delivery: Delivery.AtMostOnce });
  return new Placement(balancer, { name: "lookup", service });
}

// Guards against at-most-once calls of unknown outcome, because they were the
// first to use a broken network path.
test("next() has an endpoint probed before an at-most-once call unless a recent response confirms it", () => {
  const balancer = balancerOf("a");
  const [a] = balancer.endpointsOf("lookup");
  const unknown = placeCall(atMostOncePlacementOn(balancer), 0);
  a!.recordLoad(FREE, 0);
  const confirmed = placeCall(atMostOncePlacementOn(balancer), 500);
  a!.markPathSuspect();
  const broken = placeCall(atMostOncePlacementOn(balancer), 500);
  a!.recordLoad(FREE, 500);
  const again = placeCall(atMostOncePlacementOn(balancer), 1_000);
  const expired = placeCall(atMostOncePlacementOn(balancer), 2_000);
  const repeatable = placementOn(balancer).next(2_000)!.probeTarget;
  assert.equal({ unknown, confirmed, broken, again, expired, repeatable }, {
    unknown: ["a", "a"],
    confirmed: ["a", undefined],
    broken: ["a", "a"],
    again: ["a", undefined],
    expired: ["a", "a"],
    repeatable: undefined,
  });
});

test("next() sends an at-most-once call to a confirmed endpoint while another is probed", () => {
  const balancer = balancerOf("a", "b");
  const [a, b] = balancer.endpointsOf("lookup");
  a!.recordSuccess(500);
  a!.recordLoad(FREE, 0);
  const free = placeCall(atMostOncePlacementOn(balancer), 0);
  a!.recordLoad(FULL, 0);
  const full = placeCall(atMostOncePlacementOn(balancer), 0);
  b!.markPathSuspect();
  const suspect = placeCall(atMostOncePlacementOn(balancer), 0);
  assert.equal({ free, full, suspect }, {
    free: ["a", "b"],
    full: ["b", "b"],
    suspect: ["a", "b"],
  });
});

test("next() has no more endpoints probed than a call may wait for", () => {
  const ids = ["a", "b", "c", "d", "e"];
  const placement = atMostOncePlacementOn(balancerOf(...ids));
  const placed = ids.map((_, nowMs) => {
    const [id] = placeCall(placement, nowMs);
    if (id !== undefined) placement.recordUnansweredProbe();
    return id !== undefined;
  });
  assert.equal(placed, ids.map((_, index) => index < MAX_UNANSWERED_PROBES));
});

test.run();
