import { create } from "@bufbuild/protobuf";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { sampleService } from "../../../testkit/sample_config.ts";
import {
  MemberSchema,
  MemberState,
} from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { Random } from "../../protocol/random.ts";
import { Balancer } from "./balancer.ts";
import { MAX_REDIRECTS, Placement } from "./placement.ts";

const SLOTS = 2;
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
  placement.unreached("a");
  assert.is(placement.isElsewhereLeft(1), false);
  assert.is(placement.next(1)?.endpoint.member.id, "a");
  assert.is(placement.next(2), undefined);
});

test("mayBeRedirected() is true only while another endpoint seems free", () => {
  const balancer = balancerOf("a", "b");
  const placement = placementOn(balancer);
  const first = placement.next(0)!.endpoint;
  assert.is(placement.mayBeRedirected(0), true);
  const other = balancer.endpointsOf("lookup").find((one) => one !== first)!;
  other.reported(FULL, 0);
  assert.is(placement.mayBeRedirected(0), false);
});

test("mayBeRedirected() is false after the most redirects", () => {
  const placement = placementOn(balancerOf("a", "b", "c", "d"));
  for (let count = 0; count < MAX_REDIRECTS; count++) {
    assert.is(placement.mayBeRedirected(0), true);
    placement.redirected(placement.next(0)!.endpoint.member.id);
  }
  assert.is(placement.mayBeRedirected(0), false);
});

test.run();
