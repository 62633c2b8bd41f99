import { test } from "uvu";
import * as assert from "uvu/assert";
import { Random } from "../../protocol/random.ts";
import {
  generateTraffic,
  type SimulatedRequest,
  simulateQueue,
} from "../../../testkit/queue_simulation.ts";
import type { WorkItem } from "./work_item.ts";
import { WorkQueue } from "./work_queue.ts";

const SLOTS = 13;
/** Work of the calls as a share of all work at media-store. */
const CALL_SHARE = 0.6;
const SEEDS = [21, 22];
const TO_MS = 15_000;
const BOOKING_MS = 382;
const BOOKING_OBJECTIVE_MS = 1_079;
const CALLS_PER_BOOKING = 2;
const CALL = {
  route: "media-index",
  priority: 1,
  serviceMs: 73,
  objectiveMs: 346,
  timeoutMs: 902,
};
const DOWNLOAD = {
  route: "download",
  priority: 2,
  serviceMs: 237,
  objectiveMs: 2_140,
  timeoutMs: 3_000,
};

/** Work that arrives in the first part of each period takes longer. */
const SLOW_PERIOD_MS = 3_000;
const SLOW_MS = 700;
const SLOW_FACTOR = 3;

/** By load: shares served without and with marked calls. */
const SERVED: readonly string[] = [
  "1, rank 1, slow 1: 1, 1, 1 to 1, 1, 1",
  "1.1, rank 1, slow 1: 1, 1, 0.927 to 1, 1, 0.927",
  "1.2, rank 1, slow 1: 1, 1, 0.717 to 1, 1, 0.717",
  "1.3, rank 1, slow 1: 1, 1, 0.468 to 1, 1, 0.468",
  "1, rank 2, slow 1: 1, 1, 1 to 1, 1, 1",
  "1.1, rank 2, slow 1: 1, 1, 0.927 to 1, 1, 0.927",
  "1.2, rank 2, slow 1: 1, 1, 0.724 to 1, 1, 0.717",
  "1.3, rank 2, slow 1: 1, 1, 0.495 to 1, 1, 0.468",
  "1, rank 1, slow 3: 0.837, 0.837, 0.611 to 0.875, 0.86, 0.518",
  "1.1, rank 1, slow 3: 0.839, 0.839, 0.443 to 0.871, 0.856, 0.357",
  "1.2, rank 1, slow 3: 0.813, 0.813, 0.432 to 0.818, 0.807, 0.309",
  "1.3, rank 1, slow 3: 0.777, 0.777, 0.304 to 0.796, 0.789, 0.242",
  "1, rank 2, slow 3: 0.844, 0.844, 0.565 to 0.875, 0.86, 0.518",
  "1.1, rank 2, slow 3: 0.847, 0.847, 0.41 to 0.871, 0.856, 0.357",
  "1.2, rank 2, slow 3: 0.82, 0.82, 0.387 to 0.818, 0.807, 0.309",
  "1.3, rank 2, slow 3: 0.788, 0.788, 0.214 to 0.796, 0.789, 0.242",
];

/**
 * Runs bookings whose two concurrent calls compete with downloads. Returns the
 * shares of bookings that no call made fail, of those in time, and of downloads
 * in time.
 */
function runBookings(
  options: {
    readonly load: number;
    readonly callRank: number;
    readonly slowFactor: number;
  },
  isMarked: boolean,
): string {
  const { load, callRank, slowFactor } = options;
  const sum = { bookings: 0, served: 0, inTime: 0, downloads: 0, got: 0 };
  for (const seed of SEEDS) {
    const random = new Random(seed);
    const capacityPerS = (serviceMs: number) => SLOTS * 1_000 / serviceMs;
    const parents = generateTraffic(
      {
        ...CALL,
        priority: callRank,
        perS: load * CALL_SHARE * capacityPerS(CALL.serviceMs) /
          CALLS_PER_BOOKING,
        fromMs: 0,
        toMs: TO_MS,
      },
      random,
      0,
    );
    const calls = parents.flatMap((parent) =>
      Array.from({ length: CALLS_PER_BOOKING }, (): SimulatedRequest => ({
        ...parent,
        ...(isMarked ? { isSubcall: true } : {}),
      }))
    );
    const downloads = generateTraffic(
      {
        ...DOWNLOAD,
        perS: load * (1 - CALL_SHARE) * capacityPerS(DOWNLOAD.serviceMs),
        fromMs: 0,
        toMs: TO_MS,
      },
      random,
      parents.length,
    );
    const ends = simulateQueue({
      slots: SLOTS,
      serviceMs: {
        [CALL.route]: CALL.serviceMs,
        [DOWNLOAD.route]: DOWNLOAD.serviceMs,
      },
      requests: [...calls, ...downloads].map((request) =>
        request.arrivedAtMs % SLOW_PERIOD_MS < SLOW_MS
          ? { ...request, serviceMs: request.serviceMs * slowFactor }
          : request
      ),
    });
    const callsMs = new Map<number, number>();
    for (const { request, startedAtMs, endedAtMs } of ends) {
      const tookMs = startedAtMs === undefined || endedAtMs > request.deadlineMs
        ? Infinity
        : endedAtMs - request.arrivedAtMs;
      callsMs.set(request.id, Math.max(callsMs.get(request.id) ?? 0, tookMs));
    }
    const countWithin = (requests: readonly SimulatedRequest[], ms: number) =>
      requests.filter(({ id }) => callsMs.get(id)! <= ms).length;
    sum.bookings += parents.length;
    sum.served += countWithin(parents, CALL.timeoutMs);
    sum.inTime += countWithin(parents, BOOKING_OBJECTIVE_MS - BOOKING_MS);
    sum.downloads += downloads.length;
    sum.got += countWithin(downloads, DOWNLOAD.objectiveMs);
  }
  const round = (share: number) => Math.round(share * 1_000) / 1_000;
  const bookings = round(sum.served / sum.bookings);
  const inTime = round(sum.inTime / sum.bookings);
  return `${bookings}, ${inTime}, ${round(sum.got / sum.downloads)}`;
}

// Failure: bookings end with 500 after their work, as a call was refused.
test("WorkQueue serves the calls of running bookings at 1.0 to 1.3 times what the slots can run", () => {
  const rows = [1, SLOW_FACTOR].flatMap((slowFactor) =>
    [1, 2].flatMap((callRank) =>
      [1, 1.1, 1.2, 1.3].map((load) => {
        const options = { load, callRank, slowFactor };
        return `${load}, rank ${callRank}, slow ${slowFactor}: ${
          runBookings(options, false)
        } to ${runBookings(options, true)}`;
      })
    )
  );
  assert.equal(rows, SERVED);
});

interface NamedItem extends WorkItem {
  readonly name: string;
}

function item(name: string, fields: Partial<NamedItem> = {}): NamedItem {
  return {
    name,
    route: "work",
    priority: 1,
    objectiveAtMs: 400,
    deadlineMs: 1_000,
    arrivedAtMs: 0,
    ...fields,
  };
}

/** Returns a queue of one slot, which is taken. */
function busyQueue(times: Record<string, number>): WorkQueue<NamedItem> {
  const queue = new WorkQueue<NamedItem>(1);
  for (const [route, serviceMs] of Object.entries(times)) {
    queue.serviceTimes.record(route, serviceMs);
  }
  queue.offer(item("running"), 0);
  return queue;
}

// Failure: a call waits behind new work that is shorter than itself.
test("dispatch() starts a call before work of the same rank, and more urgent work by cost", () => {
  const queue = busyQueue({ work: 50, call: 90, urgent: 60 });
  const long = { objectiveAtMs: 3_000, deadlineMs: 4_000 };
  queue.offer(item("work", long), 0);
  queue.offer(item("urgent", { ...long, route: "urgent", priority: 0 }), 0);
  const call = { ...long, route: "call", isSubcall: true };
  queue.offer(item("call", { ...call, priority: 1 }), 0);
  queue.offer(item("urgent call", { ...call, priority: 0 }), 0);
  const order: string[] = [];
  for (let running = item("running");;) {
    queue.finish(running, undefined);
    const [started] = queue.dispatch(10).started;
    if (started === undefined) break;
    order.push(started.name);
    running = started;
  }
  assert.equal(order, ["urgent call", "urgent", "call", "work"]);
});

// Failure: a call is refused that could still finish before its deadline.
test("offer() refuses a call only if it cannot finish before its deadline", () => {
  const offers = [{}, { isSubcall: true }].map((fields) => {
    const queue = busyQueue({ work: 200 });
    return Array.from(
      { length: 6 },
      (_, index) => queue.offer(item(`${index}`, fields), 0).kind,
    ).join(" ");
  });
  assert.equal(offers, [
    "wait refuse refuse refuse refuse refuse",
    "wait wait wait wait refuse refuse",
  ]);
});

// Failure: waiting work is held until it expires, behind calls.
test("offer() refuses work at once that is too late behind a call", () => {
  const queue = busyQueue({ work: 200 });
  queue.offer(item("work"), 0);
  const offer = queue.offer(item("call", { isSubcall: true }), 0);
  assert.equal(
    offer.kind === "displace" && offer.displaced.map(({ name }) => name),
    ["work"],
  );
});

test.run();
