import { create } from "@bufbuild/protobuf";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { sampleService } from "../../../testkit/sample_config.ts";
import {
  type Member,
  MemberSchema,
  MemberState,
} from "../../protocol/gen/sesamepond/v1/fleet_pb.ts";
import { Random } from "../../protocol/random.ts";
import { Balancer, MAX_SUBSET } from "./balancer.ts";

const SERVICE = sampleService({ maxEjectedShare: 0.5, slowStartMs: 1_000 });
const SELF = { id: "self", domain: "east" };

function server(
  id: string,
  domain: string,
  fields: Partial<Pick<Member, "state" | "backendReady">> = {},
): Member {
  return create(MemberSchema, {
    id,
    domain,
    service: "lookup",
    state: MemberState.ALIVE,
    backendReady: true,
    slots: 4,
    ...fields,
  });
}

function balancerOf(...members: Member[]): Balancer {
  const balancer = new Balancer(SELF, new Random(1));
  for (const member of members) balancer.update(member, 0);
  return balancer;
}

/** Counts the choices per endpoint; each call stays in flight. */
function countChoices(
  balancer: Balancer,
  count: number,
  nowMs = 10_000,
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (let choice = 0; choice < count; choice++) {
    const chosen = balancer.choose("lookup", {
      service: SERVICE,
      tried: new Set(),
      nowMs,
    });
    if (chosen === undefined) continue;
    chosen.endpoint.running++;
    const { id } = chosen.endpoint.member;
    counts[id] = (counts[id] ?? 0) + 1;
  }
  return counts;
}

test("choose() stays in its domain until the slots there fill up", () => {
  const members = [server("e1", "east"), server("w1", "west")];
  assert.equal(countChoices(balancerOf(...members), 3), { e1: 3 });
  const more = countChoices(balancerOf(...members), 8);
  assert.ok(more.w1! >= 3, `${more.w1} of 8 spilled over`);
});

test("choose() leaves out members that drain or are not ready", () => {
  const balancer = balancerOf(
    server("a", "east", { state: MemberState.DRAINING }),
    server("b", "east", { backendReady: false }),
    server("c", "east", { state: MemberState.SUSPECT }),
  );
  assert.equal(countChoices(balancer, 5), { c: 5 });
});

test("choose() avoids a slow endpoint", () => {
  const balancer = balancerOf(server("fast", "east"), server("slow", "east"));
  for (const endpoint of balancer.endpointsOf("lookup")) {
    const latencyMs = endpoint.member.id === "slow" ? 500 : 5;
    for (let count = 0; count < 5; count++) endpoint.recordSuccess(latencyMs);
  }
  assert.equal(countChoices(balancer, 4), { fast: 4 });
});

test("choose() sends fewer calls to a newly ready endpoint", () => {
  const balancer = balancerOf(server("old", "east"));
  balancer.update(server("new", "east"), 10_000);
  const early = countChoices(balancer, 4, 10_050);
  assert.equal(early, { old: 4 });
});

test("choose() ejects a failing endpoint for a time, but uses all if too many fail", () => {
  const balancer = balancerOf(server("a", "east"), server("b", "east"));
  const [a, b] = balancer.endpointsOf("lookup");
  assert.is(a!.recordFailure(1, 10_000), true);
  assert.equal(countChoices(balancer, 2), { b: 2 });
  b!.recordFailure(1, 10_000);
  const both = countChoices(balancer, 4);
  assert.ok(both.a! > 0 && both.b! > 0, "with all ejected, all are used");
  assert.is(a!.isEjected(11_001), false);
});

test("choose() uses an unreachable endpoint only when no other is left", () => {
  const balancer = balancerOf(
    server("near", "east"),
    server("far1", "west"),
    server("far2", "west"),
  );
  for (const endpoint of balancer.endpointsOf("lookup")) {
    if (endpoint.member.domain === "west") endpoint.recordUnreachable(10_000);
  }
  // Two of three are unreachable and the near one is full: no panic mode.
  assert.equal(countChoices(balancer, 12), { near: 12 });
  const none = balancerOf(server("far", "west"));
  none.endpointsOf("lookup")[0]!.recordUnreachable(10_000);
  assert.equal(countChoices(none, 1), { far: 1 });
});

test("choose() returns undefined when every endpoint was tried", () => {
  const balancer = balancerOf(server("a", "east"));
  const chosen = balancer.choose("lookup", {
    service: SERVICE,
    tried: new Set(["a"]),
    nowMs: 0,
  });
  assert.is(chosen, undefined);
});

test("endpointsOf() returns a bounded subset; all daemons together use every endpoint", () => {
  const members = Array.from(
    { length: 200 },
    (_, number) => server(`m${number}`, "east"),
  );
  const used = new Set<string>();
  for (let self = 0; self < 200; self++) {
    const own = { id: `s${self}`, domain: "east" };
    const balancer = new Balancer(own, new Random(1));
    for (const member of members) balancer.update(member, 0);
    const subset = balancer.endpointsOf("lookup");
    assert.is(subset.length, MAX_SUBSET);
    for (const { member } of subset) used.add(member.id);
  }
  assert.is(used.size, 200);
});

test.run();
