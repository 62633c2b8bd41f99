import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { OrganisationLoad } from "../../../testkit/organisation_loads.ts";
import { simulateUploads } from "../../../testkit/upload_loads.ts";
import { type PermitRequest, TransferLimiter } from "./transfer_limiter.ts";

/** Least share of an organisation, relative to that of all. */
const REQUIRED_SHARE = 0.25;
/** Uploads of 75 organisations over a link of 12 Mbit/s. */
const USUAL: OrganisationLoad = {
  name: "usual traffic",
  usual: 0.85,
  surging: [],
  factor: 8.5,
  resending: 0,
};
const LOADS: readonly OrganisationLoad[] = [
  USUAL,
  { ...USUAL, name: "1.2 times what the link can carry", usual: 1.2 },
  { ...USUAL, name: "the largest at 8.5 times", surging: [0] },
  { ...USUAL, name: "three at 8.5 times", surging: [0, 3, 8] },
  {
    ...USUAL,
    name: "every other of a lower rank",
    usual: 1.3,
    oddPriority: 1,
  },
];

/**
 * In the order of arrival and with organisations: shares served of all, of the
 * worst tenth of the organisations, and of the worst relative to all, and the
 * share of the refusals that came after a wait.
 */
const SERVED: readonly string[] = [
  "usual traffic: 0.989 to 0.977, 0.901 to 0.981, 0.505 to 0.962, 0 to 0.767",
  "1.2 times what the link can carry: 0.791 to 0.801, 0.494 to 0.803, 0.316 to 0.68, 0.1 to 0.672",
  "the largest at 8.5 times: 0.393 to 0.364, 0 to 0.76, 0 to 0.53, 0.15 to 0.194",
  "three at 8.5 times: 0.313 to 0.324, 0 to 0.617, 0 to 0.447, 0.123 to 0.275",
  "every other of a lower rank: 0.732 to 0.749, 0.315 to 0.677, 0 to 0.616, 0.134 to 0.55",
];

function requestOf(
  id: string,
  organisation?: string,
  fields: Partial<PermitRequest> = {},
): PermitRequest {
  const named = organisation === undefined ? {} : { organisation };
  return { id, maxWaitMs: 1_500, bytes: 90_000, ...named, ...fields };
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

test("requestPermit() serves each organisation its share of uploads", () => {
  const least: number[] = [];
  const served = LOADS.map((load) => {
    const former = simulateUploads(load, false);
    const fair = simulateUploads(load, true);
    least.push(fair.leastRelative);
    const figures =
      (["inTime", "worstTenth", "leastRelative", "lateRefusals"] as const)
        .map((name) => `${round(former[name])} to ${round(fair[name])}`);
    return `${load.name}: ${figures.join(", ")}`;
  });
  assert.equal(served, SERVED);
  assert.ok(Math.min(...least) >= REQUIRED_SHARE);
});

// Load: one organisation with a backlog of as many uploads as can be served in
// time. The first upload of another one was refused at once.
test("requestPermit() lets a first upload pass a backlog, and refuses the rest", () => {
  const limiter = new TransferLimiter();
  const decide = (request: PermitRequest) =>
    limiter.requestPermit(request, 0).kind;
  const backlog = Array.from(
    { length: 40 },
    (_, index) => decide(requestOf(`large${index}`, "large")),
  );
  const waiting = limiter.waiting;
  const decision = limiter.requestPermit(requestOf("small", "small"), 0);
  assert.equal({
    lastOfBacklog: backlog.at(-1),
    decision,
    waiting: limiter.waiting,
    granted: limiter.release("large0", 10),
  }, {
    lastOfBacklog: "refuse",
    decision: { kind: "wait", displaced: [] },
    waiting: waiting + 1,
    granted: ["small"],
  });
});

// Load: first uploads of many organisations while one has a backlog. Its last
// uploads can no longer be served; without a refusal now they would be refused
// only after their wait.
test("requestPermit() refuses at once the uploads that others displace", () => {
  const limiter = new TransferLimiter();
  for (let index = 0; index < 40; index++) {
    limiter.requestPermit(requestOf(`large${index}`, "large"), 0);
  }
  const displaced: string[] = [];
  for (let index = 0; index < 20; index++) {
    const request = requestOf(`small${index}`, `small${index}`);
    const decision = limiter.requestPermit(request, 0);
    assert.is(decision.kind, "wait");
    if (decision.kind !== "wait") continue;
    displaced.push(...decision.displaced.map(({ id }) => id));
  }
  assert.ok(displaced.length >= 15, `displaced ${displaced.length}`);
  assert.ok(displaced.every((id) => id.startsWith("large")));
});

// Load: 3,000 organisations that each send one upload and wait for a minute
// over a link that is fast enough for all of them.
test("requestPermit() bounds the number of waiting uploads", () => {
  const limiter = new TransferLimiter();
  for (let index = 0; index < 100; index++) {
    limiter.requestPermit(requestOf(`${index}`), 0);
    limiter.release(`${index}`, 0);
  }
  for (let index = 0; index < 3_000; index++) {
    const fields = { maxWaitMs: 60_000 };
    limiter.requestPermit(requestOf(`${index}`, `${index}`, fields), 0);
  }
  assert.is(limiter.waiting, 512);
});

// Load: a call of a running request while organisations have backlogs.
test("requestPermit() lets the upload of a running request pass backlogs", () => {
  const limiter = new TransferLimiter();
  for (let index = 0; index < 10; index++) {
    limiter.requestPermit(requestOf(`large${index}`, "large"), 0);
  }
  const call = requestOf("call", undefined, { isSubcall: true });
  limiter.requestPermit(call, 0);
  assert.equal(limiter.release("large0", 10), ["call"]);
});

/** The order and the estimate for uploads of unknown size, as they were. */
class ArrivalOrder {
  readonly held = new Map<string, number>();
  waiting: { readonly id: string; readonly deadlineMs: number }[] = [];
  #averageHoldMs = 100;

  request(id: string, maxWaitMs: number, nowMs: number): string {
    const waitMs = Math.ceil((this.waiting.length + 1) / 2) *
      this.#averageHoldMs;
    this.waiting.push({ id, deadlineMs: nowMs + maxWaitMs });
    if (this.grant(nowMs).includes(id)) return "admit";
    if (waitMs <= maxWaitMs) return "wait";
    this.waiting.pop();
    return `refuse ${waitMs}`;
  }

  release(id: string, nowMs: number): readonly string[] {
    const expiresAtMs = this.held.get(id);
    if (expiresAtMs !== undefined) {
      const heldMs = nowMs - (expiresAtMs - 1_000);
      this.#averageHoldMs += (heldMs - this.#averageHoldMs) * 0.2;
    }
    this.held.delete(id);
    this.waiting = this.waiting.filter((one) => one.id !== id);
    return this.grant(nowMs);
  }

  grant(nowMs: number): readonly string[] {
    for (const [id, expiresAtMs] of this.held) {
      if (expiresAtMs <= nowMs) this.held.delete(id);
    }
    const ids = this.waiting.splice(0, 2 - this.held.size).map(({ id }) => id);
    for (const id of ids) this.held.set(id, nowMs + 1_000);
    return ids;
  }

  expire(nowMs: number): readonly string[] {
    const expired = this.waiting.filter((one) => one.deadlineMs <= nowMs);
    this.waiting = this.waiting.filter((one) => one.deadlineMs > nowMs);
    return expired.map(({ id }) => id);
  }
}

// Failure: a deployment without organisations is served otherwise than before.
test("without organisations, permits are granted in the order of arrival", () => {
  const step = fc.record({
    kind: fc.constantFrom("request", "request", "release", "grant", "expire"),
    id: fc.integer({ min: 0, max: 30 }),
    maxWaitMs: fc.integer({ min: 0, max: 3_000 }),
    elapsedMs: fc.integer({ min: 0, max: 400 }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const limiter = new TransferLimiter();
      const model = new ArrivalOrder();
      let nowMs = 0;
      let next = 0;
      for (const { kind, id, maxWaitMs, elapsedMs } of steps) {
        nowMs += elapsedMs;
        const name = String(Math.max(0, next - id));
        if (kind === "request") {
          const request = { id: String(next++), maxWaitMs };
          const decision = limiter.requestPermit(request, nowMs);
          const text = decision.kind === "refuse"
            ? `refuse ${decision.waitMs}`
            : decision.kind;
          assert.is(text, model.request(request.id, maxWaitMs, nowMs));
        } else if (kind === "release") {
          const granted = limiter.release(name, nowMs);
          assert.equal(granted, model.release(name, nowMs));
        } else if (kind === "grant") {
          assert.equal(limiter.grantFree(nowMs), model.grant(nowMs));
        } else {
          assert.equal(limiter.removeExpired(nowMs), model.expire(nowMs));
        }
        assert.is(limiter.waiting, model.waiting.length);
      }
    }),
    { numRuns: 500 },
  );
});

test.run();
