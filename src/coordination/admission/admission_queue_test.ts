import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Random } from "../../protocol/random.ts";
import { type PerRank, perRank, Rank, RANKS } from "../../protocol/rank.ts";
import { AdmissionQueue, type SlotRequest } from "./admission_queue.ts";

const SHARES = { urgent: 0.5, standard: 0.3, bulk: 0.2 };
const FAR_MS = 1e9;

interface Job extends SlotRequest {
  readonly endsAtMs: number;
}

/** Plays arrivals against a queue and counts the service that each rank got. */
function play(options: {
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
  let next = 0;
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
      const request = { id: String(next++), rank, deadlineMs: FAR_MS };
      if (queue.admit(request, nowMs).kind === "start") start(request, nowMs);
      assert.ok(queue.running <= queue.limit.current, "more run than may");
    }
  }
  const total = options.slots * options.totalMs;
  return perRank((rank) => servedMs[rank] / total);
}

test("ask() leaves each rank its guaranteed share under a flood of any rank", () => {
  for (const flooded of RANKS) {
    const got = play({
      slots: 10,
      arrivalsPerMs: perRank((rank) => rank === flooded ? 1 : 0.9),
      serviceMs: perRank(() => 20),
      totalMs: 20_000,
    });
    for (const rank of RANKS) {
      assert.ok(
        got[rank] >= 0.9 * SHARES[rank],
        `flood of ${flooded}: ${rank} got ${got[rank]}`,
      );
    }
  }
});

test("ask() leaves each rank its share when there are fewer slots than ranks", () => {
  const got = play({
    slots: 1,
    arrivalsPerMs: perRank(() => 0.5),
    serviceMs: perRank(() => 10),
    totalMs: 50_000,
  });
  for (const rank of [Rank.Standard, Rank.Bulk]) {
    assert.ok(got[rank] >= 0.9 * SHARES[rank], `${rank} got ${got[rank]}`);
  }
});

test("ask() keeps a slot for urgent requests when bulk work fills the rest", () => {
  const queue = new AdmissionQueue(10, { shares: SHARES, queuePerRank: 9 });
  const ask = (rank: Rank, nowMs: number) =>
    queue.admit(
      { id: `${rank}${nowMs}`, rank, deadlineMs: FAR_MS },
      nowMs,
    ).kind;
  assert.is(ask(Rank.Urgent, 0), "start");
  queue.release(Rank.Urgent, 1, 1);
  const bulk = Array.from({ length: 10 }, (_, at) => ask(Rank.Bulk, 2 + at));
  assert.equal(bulk, [...Array(9).fill("start"), "queued"]);
  assert.is(ask(Rank.Urgent, 20), "start");
});

test("ask() refuses at once what can not make its deadline", () => {
  const queue = new AdmissionQueue(1, { shares: SHARES, queuePerRank: 9 });
  const request = (id: string, deadlineMs: number) =>
    queue.admit({ id, rank: Rank.Urgent, deadlineMs }, 0);
  request("a", FAR_MS);
  queue.release(Rank.Urgent, 100, 0);
  request("b", FAR_MS);
  assert.equal(request("c", 50), {
    kind: "refused",
    reason: "deadline-too-short",
  });
  assert.is(request("d", 150).kind, "queued");
});

test("startWaiting() gives up what can not make its deadline any more", () => {
  const queue = new AdmissionQueue(1, { shares: SHARES, queuePerRank: 9 });
  queue.admit({ id: "a", rank: Rank.Urgent, deadlineMs: FAR_MS }, 0);
  queue.admit({ id: "late", rank: Rank.Urgent, deadlineMs: 10 }, 0);
  queue.admit({ id: "b", rank: Rank.Urgent, deadlineMs: FAR_MS }, 0);
  const released = queue.release(Rank.Urgent, 5, 20);
  assert.equal(released.expired.map(({ id }) => id), ["late"]);
  assert.equal(released.started.map(({ id }) => id), ["b"]);
});

test("the queue neither loses nor repeats a request for any steps", () => {
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
          const request = { id: String(index), rank, deadlineMs: FAR_MS };
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
