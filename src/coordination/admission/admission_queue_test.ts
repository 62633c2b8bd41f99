import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Random } from "../../protocol/random.ts";
import { type PerRank, perRank, Rank, RANKS } from "../../protocol/rank.ts";
import { AdmissionQueue, type SlotRequest } from "./admission_queue.ts";

const SHARES = { urgent: 0.5, standard: 0.3, bulk: 0.2 };
const NO_DEADLINE_MS = 1e9;

interface Job extends SlotRequest {
  readonly endsAtMs: number;
}

/** Simulates arrivals; returns the share of the slot time used by each rank. */
function simulate(options: {
  slots: number;
  arrivalsPerMs: PerRank<number>;
  serviceMs: PerRank<number>;
  totalMs: number;
}): PerRank<number> {
  const random = new Random(5);
  const queue = new AdmissionQueue(options.slots, {
    shares: SHARES,
    queuePerRank: 50,
  });
  const running: Job[] = [];
  const servedMs = perRank(() => 0);
  let nextId = 0;
  const start = (request: SlotRequest, nowMs: number) => {
    const serviceMs = options.serviceMs[request.rank];
    running.push({ ...request, endsAtMs: nowMs + serviceMs });
  };
  for (let nowMs = 0; nowMs < options.totalMs; nowMs++) {
    for (const job of running.filter((one) => one.endsAtMs <= nowMs)) {
      running.splice(running.indexOf(job), 1);
      const serviceMs = options.serviceMs[job.rank];
      servedMs[job.rank] += serviceMs;
      const { started } = queue.release(job.rank, serviceMs, nowMs);
      for (const request of started) start(request, nowMs);
    }
    for (const rank of RANKS) {
      if (random.fraction() >= options.arrivalsPerMs[rank]) continue;
      const request = {
        id: String(nextId++),
        rank,
        deadlineMs: NO_DEADLINE_MS,
      };
      if (queue.admit(request, nowMs).kind === "start") start(request, nowMs);
      assert.ok(queue.running <= queue.limit.current, "limit exceeded");
    }
  }
  const total = options.slots * options.totalMs;
  return perRank((rank) => servedMs[rank] / total);
}

test("admit() leaves each rank its guaranteed share under overload by any rank", () => {
  for (const overloadedRank of RANKS) {
    const shares = simulate({
      slots: 10,
      arrivalsPerMs: perRank((rank) => rank === overloadedRank ? 1 : 0.9),
      serviceMs: perRank(() => 20),
      totalMs: 20_000,
    });
    for (const rank of RANKS) {
      assert.ok(
        shares[rank] >= 0.9 * SHARES[rank],
        `overload by ${overloadedRank}: ${rank} got ${shares[rank]}`,
      );
    }
  }
});

test("admit() leaves each rank its share when there are fewer slots than ranks", () => {
  const shares = simulate({
    slots: 1,
    arrivalsPerMs: perRank(() => 0.5),
    serviceMs: perRank(() => 10),
    totalMs: 50_000,
  });
  for (const rank of [Rank.Standard, Rank.Bulk]) {
    assert.ok(
      shares[rank] >= 0.9 * SHARES[rank],
      `${rank} got ${shares[rank]}`,
    );
  }
});

test("admit() keeps a slot for urgent requests when bulk requests fill the rest", () => {
  const queue = new AdmissionQueue(10, { shares: SHARES, queuePerRank: 9 });
  const ask = (rank: Rank, nowMs: number) =>
    queue.admit(
      { id: `${rank}${nowMs}`, rank, deadlineMs: NO_DEADLINE_MS },
      nowMs,
    ).kind;
  assert.is(ask(Rank.Urgent, 0), "start");
  queue.release(Rank.Urgent, 1, 1);
  const bulk = Array.from({ length: 10 }, (_, at) => ask(Rank.Bulk, 2 + at));
  assert.equal(bulk, [...Array(9).fill("start"), "queued"]);
  assert.is(ask(Rank.Urgent, 20), "start");
});

test("admit() refuses at once a request that cannot meet its deadline", () => {
  const queue = new AdmissionQueue(1, { shares: SHARES, queuePerRank: 9 });
  const request = (id: string, deadlineMs: number) =>
    queue.admit({ id, rank: Rank.Urgent, deadlineMs }, 0);
  request("a", NO_DEADLINE_MS);
  queue.release(Rank.Urgent, 100, 0);
  request("b", NO_DEADLINE_MS);
  assert.equal(request("c", 50), {
    kind: "refused",
    reason: "deadline-too-short",
  });
  assert.is(request("d", 150).kind, "queued");
});

test("startWaiting() drops requests that can no longer meet their deadline", () => {
  const queue = new AdmissionQueue(1, { shares: SHARES, queuePerRank: 9 });
  queue.admit({ id: "a", rank: Rank.Urgent, deadlineMs: NO_DEADLINE_MS }, 0);
  queue.admit({ id: "late", rank: Rank.Urgent, deadlineMs: 10 }, 0);
  queue.admit({ id: "b", rank: Rank.Urgent, deadlineMs: NO_DEADLINE_MS }, 0);
  const released = queue.release(Rank.Urgent, 5, 20);
  assert.equal(released.expired.map(({ id }) => id), ["late"]);
  assert.equal(released.started.map(({ id }) => id), ["b"]);
});

test("no sequence of operations loses or duplicates a request", () => {
  const step = fc.record({
    rank: fc.constantFrom(...RANKS),
    kind: fc.constantFrom("ask", "release", "cancel", "overload"),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const queue = new AdmissionQueue(3, { shares: SHARES, queuePerRank: 4 });
      const waiting = new Map<string, SlotRequest>();
      const running: SlotRequest[] = [];
      for (const [index, { rank, kind }] of steps.entries()) {
        if (kind === "overload") queue.limit.recordOverload(index * 200);
        if (kind === "ask") {
          const request = {
            id: String(index),
            rank,
            deadlineMs: NO_DEADLINE_MS,
          };
          const admission = queue.admit(request, index);
          if (admission.kind === "start") running.push(request);
          if (admission.kind === "queued") waiting.set(request.id, request);
        }
        const first = [...waiting.values()][0];
        if (kind === "cancel" && first !== undefined) {
          assert.ok(queue.cancel(first));
          waiting.delete(first.id);
        }
        const ended = kind === "release" ? running.shift() : undefined;
        if (ended === undefined) continue;
        for (const one of queue.release(ended.rank, 1, index).started) {
          assert.ok(waiting.delete(one.id), "it started without waiting");
          running.push(one);
        }
      }
      assert.is(queue.load.running, running.length);
      assert.is(queue.load.queued, waiting.size);
    }),
    { seed: 6, numRuns: 300 },
  );
});

test.run();
