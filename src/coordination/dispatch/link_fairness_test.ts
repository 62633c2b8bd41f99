import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { simulateDownloads } from "../../../testkit/download_loads.ts";
import type { OrganisationLoad } from "../../../testkit/organisation_loads.ts";
import type { LinkReservation } from "./link_queue.ts";
import { LinkSchedule, type Transfer } from "./link_schedule.ts";

/** Least share of an organisation, relative to that of all. */
const REQUIRED_SHARE = 0.25;
/** Downloads of 75 organisations over a link of 12 Mbit/s. */
const USUAL: OrganisationLoad = {
  name: "half of what the link carries",
  usual: 0.5,
  surging: [],
  factor: 8.5,
  resending: 0,
};
const LOADS: readonly OrganisationLoad[] = [
  USUAL,
  { ...USUAL, name: "half, every other of a lower rank", oddPriority: 1 },
  { ...USUAL, name: "0.85 times", usual: 0.85 },
  { ...USUAL, name: "half, the largest at 8.5 times", surging: [0] },
  { ...USUAL, name: "1.4 times", usual: 1.4 },
  {
    ...USUAL,
    name: "1.4 times, the largest at 8.5 times",
    usual: 1.4,
    surging: [0],
  },
  {
    ...USUAL,
    name: "1.4 times, a small one at 8.5 times",
    usual: 1.4,
    surging: [20],
  },
  {
    ...USUAL,
    name: "1.4 times, three at 8.5 times",
    usual: 1.4,
    surging: [0, 3, 8],
  },
  {
    ...USUAL,
    name: "1.4 times, every other of a lower rank",
    usual: 1.4,
    oddPriority: 1,
  },
];

/**
 * Without and with organisations: shares served of all, of the worst tenth of
 * the organisations, and of the worst relative to all, and the shares of all
 * that were refused and that were late after their work.
 */
const SERVED: readonly string[] = [
  "half of what the link carries: 1 to 1, 1 to 1, 1 to 1, 0 to 0, 0 to 0",
  "half, every other of a lower rank: 1 to 1, 1 to 1, 1 to 1, 0 to 0, 0 to 0",
  "0.85 times: 1 to 0.98, 1 to 0.99, 1 to 0.962, 0 to 0, 0 to 0.018",
  "half, the largest at 8.5 times: 0.524 to 0.534, 0 to 0.907, 0 to 0.747, 0.359 to 0.399, 0.115 to 0.065",
  "1.4 times: 0.57 to 0.562, 0.122 to 0.509, 0 to 0.427, 0.28 to 0.339, 0.111 to 0.089",
  "1.4 times, the largest at 8.5 times: 0.129 to 0.176, 0 to 0.381, 0 to 0.348, 0.758 to 0.767, 0.079 to 0.037",
  "1.4 times, a small one at 8.5 times: 0.509 to 0.548, 0.082 to 0.521, 0 to 0.32, 0.322 to 0.345, 0.116 to 0.09",
  "1.4 times, three at 8.5 times: 0.12 to 0.158, 0 to 0.258, 0 to 0.4, 0.782 to 0.779, 0.068 to 0.04",
  "1.4 times, every other of a lower rank: 0.57 to 0.55, 0.122 to 0.458, 0 to 0.325, 0.28 to 0.353, 0.111 to 0.084",
];

const LINK_MBPS = 12;
const ROUTE = "media";

interface Named extends Transfer {
  readonly name: string;
  readonly route: string;
}

function download(
  name: string,
  organisation?: string,
  fields: Partial<Named> = {},
): Named {
  return {
    name,
    route: ROUTE,
    bytes: 90_000,
    priority: 2,
    objectiveAtMs: 2_140,
    ...(organisation === undefined ? {} : { organisation }),
    ...fields,
  };
}

function linkOf(): LinkSchedule<Named> {
  const link = new LinkSchedule<Named>(LINK_MBPS);
  link.record(ROUTE, { bytes: 90_000, serviceMs: 237 });
  return link;
}

/** Admits or refuses a request as the daemon does. */
function admit(
  link: LinkSchedule<Named>,
  request: Named,
  nowMs: number,
): LinkReservation | undefined {
  link.recordOffer(request, nowMs);
  const { waitMs, sentMs } = link.estimate(request, nowMs);
  if (waitMs > 0 && nowMs + sentMs > request.objectiveAtMs) {
    link.recordRefusal(nowMs);
    return undefined;
  }
  return link.reserve(request, nowMs);
}

/** Sends until nothing is left; returns the names in the order of their ends. */
function sendAll(link: LinkSchedule<Named>, fromMs: number): string[] {
  const names: string[] = [];
  let nowMs = fromMs;
  for (;;) {
    const delayMs = link.nextPieceMs(nowMs);
    if (delayMs === undefined) return names;
    nowMs += delayMs;
    const piece = link.takePiece(nowMs);
    if (piece !== undefined && piece.end === piece.transfer.bytes) {
      names.push(piece.transfer.name);
    }
  }
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

// Load: 75 organisations of Zipf sizes, calm, at 1.4 times what the link
// carries, and with one or three of them at 8.5 times their usual downloads.
test("LinkSchedule serves each organisation its share of downloads", () => {
  const results = LOADS.map((load) => {
    const former = simulateDownloads(load, false);
    const fair = simulateDownloads(load, true);
    const figures =
      (["inTime", "worstTenth", "leastRelative", "refused", "late"] as const)
        .map((name) => `${round(former[name])} to ${round(fair[name])}`);
    return { former, fair, text: `${load.name}: ${figures.join(", ")}` };
  });
  assert.equal(results.map(({ text }) => text), SERVED);
  for (const { former, fair, text } of results) {
    assert.is(fair.dropped, 0, text);
    assert.ok(fair.leastRelative >= REQUIRED_SHARE, text);
    if (former.refused === 0) assert.is(fair.refused, 0, text);
  }
});

// Load: one organisation with as many downloads running and waiting as the link
// can send in time, or that asks for more, and the first one of another.
test("a first download is neither refused for a backlog nor sent after it", () => {
  for (const requests of [23, 30]) {
    const link = linkOf();
    const admitted = Array.from({ length: requests }, (_, index) => {
      const request = download(`large${index}`, "large");
      return { request, reservation: admit(link, request, 0) };
    }).filter(({ reservation }) => reservation !== undefined);
    const first = download("small", "small", { objectiveAtMs: 2_240 });
    const reservation = admit(link, first, 100);
    assert.ok(reservation !== undefined, "the first download is refused");
    for (const { request, reservation } of admitted) {
      link.settle(reservation);
      link.add(request, 237, reservation);
    }
    link.takePiece(237);
    link.settle(reservation);
    link.add(first, 337, reservation);
    const order = sendAll(link, 337);
    assert.is(order[1], "small", order.join(" "));
    assert.equal([admitted.length >= 23, admitted.length < 30], [true, true]);
    assert.is(order.length, admitted.length + 1);
  }
});

// Load: one organisation at many times its usual downloads, while the first ones
// of 20 others run. Admitted by the bytes ahead alone, its downloads would be
// overtaken after their work.
test("estimate() refuses a backlog that other organisations overtake", () => {
  const link = linkOf();
  const own = Array.from({ length: 5 }, (_, index) => {
    return admit(link, download(`large${index}`, "large"), 0);
  });
  const others = Array.from({ length: 20 }, (_, index) => {
    return admit(link, download(`small${index}`, `small${index}`), 1);
  });
  const next = admit(link, download("next", "large"), 2);
  const isAdmitted = (reservation: unknown) => reservation !== undefined;
  assert.ok(own.every(isAdmitted) && others.every(isAdmitted));
  assert.is(next, undefined);
});

// Load: downloads of which each tenth is larger than its organisation's share.
// Failure: a response whose work is done is not sent, as it has lost its place.
test("LinkSchedule sends every response that was added", () => {
  const use = fc.record({
    organisation: fc.constantFrom(undefined, "a", "b", "c"),
    organisationPriority: fc.integer({ min: 0, max: 9 }),
    priority: fc.integer({ min: 0, max: 2 }),
    isSubcall: fc.boolean(),
    objectiveAtMs: fc.integer({ min: 0, max: 3_000 }),
    bytes: fc.integer({ min: 30_000, max: 540_000 }),
    reserved: fc.constantFrom("no", "yes", "released"),
  });
  fc.assert(
    fc.property(fc.array(use, { maxLength: 40 }), (uses) => {
      const link = linkOf();
      const added = uses.map(({ reserved, ...fields }, index) => {
        const { organisation, ...rest } = fields;
        const request = download(`${index}`, organisation, rest);
        const reservation = reserved === "no"
          ? undefined
          : link.reserve(request, index);
        if (reserved === "released") link.release(reservation);
        if (index % 3 === 0) link.takePiece(index);
        return { request, reservation };
      });
      const names: string[] = [];
      for (const { request, reservation } of added) {
        link.settle(reservation);
        link.add(request, uses.length, reservation);
        link.release(reservation);
      }
      names.push(...sendAll(link, uses.length));
      assert.equal(
        names.map(Number).sort((a, b) => a - b),
        uses.map((_, index) => index),
      );
    }),
    { numRuns: 300 },
  );
});

// Load: 3,000 organisations, each with a request at the same time. Failure: the
// reservations grow with the number of organisations.
test("estimate() bounds the reservations of many organisations", () => {
  const link = linkOf();
  const admitted = Array.from(
    { length: 3_000 },
    (_, index) => admit(link, download(`${index}`, `${index}`), index / 100),
  ).filter((reservation) => reservation !== undefined);
  assert.ok(admitted.length >= 20 && admitted.length <= 30);
});

interface Running {
  readonly request: Named;
  readonly reservation: LinkReservation | undefined;
  /** Its response, as it is expected. */
  readonly expected: Named;
}

/** The order and the estimate as they were. */
class FormerSchedule {
  readonly reservations = new Set<Named>();
  waiting: Named[] = [];
  current: { readonly transfer: Named; sentBytes: number } | undefined;

  estimateMs(priority: number): number {
    let bytes = 0;
    for (const one of [...this.reservations, ...this.waiting]) {
      if (one.priority <= priority) bytes += one.bytes;
    }
    if (this.current !== undefined) {
      bytes += this.current.transfer.bytes - this.current.sentBytes;
    }
    return Math.max(0, bytes / 1_050 - 237);
  }

  takePiece(): string | undefined {
    this.current ??= this.#startNext();
    if (this.current === undefined) return undefined;
    const { transfer, sentBytes } = this.current;
    const end = Math.min(transfer.bytes, sentBytes + 16_384);
    this.current.sentBytes = end;
    if (end === transfer.bytes) this.current = undefined;
    return `${transfer.name} ${sentBytes} ${end}`;
  }

  remove(transfer: Named): void {
    this.waiting = this.waiting.filter((other) => other !== transfer);
    if (this.current?.transfer === transfer) this.current = undefined;
  }

  #startNext(): { readonly transfer: Named; sentBytes: number } | undefined {
    const [transfer] = [...this.waiting].sort((a, b) =>
      a.priority - b.priority || a.objectiveAtMs - b.objectiveAtMs
    );
    if (transfer === undefined) return undefined;
    this.waiting = this.waiting.filter((other) => other !== transfer);
    return { transfer, sentBytes: 0 };
  }
}

// Failure: a deployment without organisations is served otherwise than before.
test("without organisations, order and estimates are as before", () => {
  const step = fc.record({
    kind: fc.constantFrom("start", "start", "end", "add", "send", "leave"),
    pick: fc.nat({ max: 20 }),
    priority: fc.integer({ min: 0, max: 2 }),
    objectiveAtMs: fc.integer({ min: 0, max: 3_000 }),
    bytes: fc.integer({ min: 30_000, max: 540_000 }),
    elapsedMs: fc.integer({ min: 0, max: 50 }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 150 }), (steps) => {
      const link = linkOf();
      const model = new FormerSchedule();
      const running: Running[] = [];
      const sending: Named[] = [];
      let nowMs = 0;
      for (const [index, { kind, pick, ...fields }] of steps.entries()) {
        nowMs += fields.elapsedMs;
        const request = download(`${index}`, undefined, {
          ...fields,
          // Equal objectives have no defined order.
          objectiveAtMs: fields.objectiveAtMs + index / 1_000,
        });
        if (kind === "start") {
          link.recordOffer(request, nowMs);
          const reservation = link.reserve(request, nowMs);
          const expected = { ...request, bytes: 90_000 };
          running.push({ request, reservation, expected });
          model.reservations.add(expected);
        } else if (kind === "send") {
          const piece = link.takePiece(nowMs);
          const text = piece &&
            `${piece.transfer.name} ${piece.start} ${piece.end}`;
          if (piece !== undefined || link.nextPieceMs(nowMs) === undefined) {
            assert.is(text, model.takePiece());
          }
        } else if (kind === "leave" && sending.length > 0) {
          const [transfer] = sending.splice(pick % sending.length, 1);
          link.remove(transfer!);
          model.remove(transfer!);
        } else if (running.length > 0) {
          const [ended] = running.splice(pick % running.length, 1);
          const { request, reservation, expected } = ended!;
          model.reservations.delete(expected);
          link.settle(reservation);
          if (kind === "add") {
            link.add(request, nowMs, reservation);
            model.waiting.push(request);
            sending.push(request);
          }
          link.release(reservation);
        }
        const { waitMs } = link.estimate(request, nowMs);
        const expectedMs = model.estimateMs(request.priority);
        assert.ok(Math.abs(waitMs - expectedMs) < 1e-6);
      }
    }),
    { numRuns: 500 },
  );
});

test.run();
