import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type LinkRequest,
  LinkSchedule,
  type Transfer,
} from "./link_schedule.ts";

const LINK_MBPS = 12;
/** Time that the test's link takes for 270 kB alone, in ms. */
const ALONE_MS = 180;

interface Named extends Transfer {
  readonly name: string;
}

function transfer(name: string, options: Partial<Transfer> = {}): Named {
  return { name, bytes: 90_000, priority: 2, objectiveAtMs: 2_000, ...options };
}

function request(route: string, priority: number): LinkRequest {
  return { route, priority, objectiveAtMs: 2_000 };
}

/** Sends until nothing is left; returns the end of each transfer, in ms. */
function sendAll(link: LinkSchedule<Named>): Record<string, number> {
  const ends: Record<string, number> = {};
  let nowMs = 0;
  for (;;) {
    const delayMs = link.nextPieceMs(nowMs);
    if (delayMs === undefined) return ends;
    nowMs += Math.ceil(delayMs);
    const piece = link.takePiece(nowMs);
    if (piece !== undefined && piece.end === piece.transfer.bytes) {
      ends[piece.transfer.name] = nowMs;
    }
  }
}

// Load: 2.5 times the downloads of 90 kB at links of 12 Mbit/s. All at once
// kept the link's own queue full for seconds, and small responses behind it.
test("LinkSchedule sends large responses one by one, below the bandwidth", () => {
  const link = new LinkSchedule<Named>(LINK_MBPS);
  for (const name of ["a", "b", "c"]) link.add(transfer(name), 0);
  const ends = sendAll(link);
  assert.equal(Object.keys(ends), ["a", "b", "c"]);
  assert.ok(ends.c! >= ALONE_MS, `the link is full for ${ends.c} ms`);
  assert.ok(ends.c! <= ALONE_MS * 1.5, `took ${ends.c} ms`);
});

test("LinkSchedule sends urgent responses first, then by objective", () => {
  const link = new LinkSchedule<Named>(LINK_MBPS);
  link.add(transfer("late", { objectiveAtMs: 3_000 }), 0);
  link.add(transfer("early", { objectiveAtMs: 1_000 }), 0);
  link.add(transfer("urgent", { priority: 0, objectiveAtMs: 9_000 }), 0);
  assert.equal(Object.keys(sendAll(link)), ["urgent", "early", "late"]);
});

test("LinkSchedule drops a response whose receiver has left", () => {
  const link = new LinkSchedule<Named>(LINK_MBPS);
  const [gone, next] = [transfer("gone"), transfer("next")];
  link.add(gone, 0);
  link.add(next, 0);
  link.takePiece(0);
  link.remove(gone);
  assert.equal(Object.keys(sendAll(link)), ["next"]);
});

// Load: more downloads than the link carries, which ran first and then waited.
test("estimate() counts responses of running requests of the same rank", () => {
  const link = new LinkSchedule<Named>(LINK_MBPS);
  assert.equal(link.estimate(request("media", 2), 0), { waitMs: 0, sentMs: 0 });
  link.record("media", { bytes: 135_000, serviceMs: 200 });
  link.record("index", { bytes: 400, serviceMs: 70 });
  const reservations = Array.from(
    { length: 10 },
    () => link.reserve(request("media", 2), 0),
  );
  const estimates = [
    link.estimate(request("media", 2), 0),
    link.estimate(request("media", 0), 0),
    link.estimate(request("index", 0), 0),
  ];
  for (const reservation of reservations) link.release(reservation);
  const round = (value: { waitMs: number; sentMs: number }) => [
    Math.round(value.waitMs),
    Math.round(value.sentMs),
  ];
  assert.equal(
    [...estimates, link.estimate(request("media", 2), 0)].map(round),
    [
      [1086, 1414],
      [0, 329],
      [0, 0],
      [0, 329],
    ],
  );
});

test("LinkSchedule plans nothing where the bandwidth is unknown or large", () => {
  assert.equal(
    [0, 1_000].map((linkMbps) => new LinkSchedule(linkMbps).isLarge(500_000)),
    [false, false],
  );
});

test.run();
