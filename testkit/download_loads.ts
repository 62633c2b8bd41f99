import {
  LinkSchedule,
  type Transfer,
} from "../src/coordination/dispatch/link_schedule.ts";
import type { LinkReservation } from "../src/coordination/dispatch/link_queue.ts";
import { Random } from "../src/protocol/random.ts";
import {
  countServed,
  generateOrganisations,
  type OrganisationLoad,
  type ServedShares,
} from "./organisation_loads.ts";
import type { SimulatedRequest } from "./queue_simulation.ts";

const MEAN_BYTES = 90_000;
/** Smaller responses are not planned on this link. */
const MIN_BYTES = 30_000;
const MAX_BYTES = 540_000;
const LINK_MBPS = 12;
/** Bytes of large responses that the link carries per ms. */
const BYTES_PER_MS = 1_050;
const DOWNLOAD = {
  route: "media",
  priority: 2,
  serviceMs: 237,
  objectiveMs: 2_140,
  timeoutMs: 4_000,
  perS: BYTES_PER_MS * 1_000 / MEAN_BYTES,
};
const SEEDS = [31, 32, 33, 34, 35, 36];
/** Ids of the requests of one run. */
const ID_RANGE = 1e9;

/** Results of a load of downloads. */
export interface DownloadShares extends ServedShares {
  /** Share of the requests that were refused before their work. */
  readonly refused: number;
  /** Share of the requests that were sent after their objective. */
  readonly late: number;
  /** Responses that were not sent although their work was done. */
  readonly dropped: number;
}

interface Run {
  readonly downloads: readonly SimulatedRequest[];
  /** Ids of the downloads that were sent within their objective. */
  readonly served: readonly number[];
  readonly refused: number;
  readonly late: number;
}

interface Download extends Transfer {
  readonly id: number;
}

/** A change of the simulated link or of a request. */
interface Event {
  readonly atMs: number;
  readonly run: (nowMs: number) => void;
}

/**
 * Runs downloads of many organisations from one instance with a slow link,
 * whose backend server has a slot for each of them.
 *
 * @param load The load.
 * @param isFair Whether the destination knows the organisations.
 * @returns What was served during the surge.
 *
 * @example
 * ```ts ignore
 * simulateDownloads(load, true).worstTenth; // 0.8
 * ```
 */
export function simulateDownloads(
  load: OrganisationLoad,
  isFair: boolean,
): DownloadShares {
  const runs = SEEDS.map((seed) => runOnce(load, isFair, seed));
  const sum = (count: (run: Run) => number) =>
    runs.reduce((total, run) => total + count(run), 0);
  const total = sum(({ downloads }) => downloads.length);
  const [refused, late] = [sum((run) => run.refused), sum((run) => run.late)];
  return {
    ...countServed(
      runs.flatMap(({ downloads }) => downloads),
      new Set(runs.flatMap(({ served }) => served)),
    ),
    refused: refused / total,
    late: late / total,
    dropped: total - refused - late - sum(({ served }) => served.length),
  };
}

function runOnce(
  load: OrganisationLoad,
  isFair: boolean,
  seed: number,
): Run {
  const random = new Random(seed);
  const stream = { ...DOWNLOAD, perS: DOWNLOAD.perS * load.usual };
  const downloads = generateOrganisations(
    load,
    stream,
    random,
    seed * ID_RANGE,
  );
  const link = new LinkSchedule<Download>(LINK_MBPS);
  link.record(DOWNLOAD.route, {
    bytes: MEAN_BYTES,
    serviceMs: DOWNLOAD.serviceMs,
  });
  const served: number[] = [];
  let refused = 0;
  let late = 0;
  const sendPieces = (nowMs: number) => {
    for (;;) {
      const piece = link.takePiece(nowMs);
      if (piece === undefined) return;
      const { transfer: { id, bytes, objectiveAtMs }, start, end } = piece;
      if (end < bytes) continue;
      const sentAtMs = nowMs + (end - start) / BYTES_PER_MS;
      if (sentAtMs <= objectiveAtMs) served.push(id);
      else late++;
    }
  };
  const answer = (
    request: SimulatedRequest,
    bytes: number,
    reservation: LinkReservation | undefined,
    nowMs: number,
  ) => {
    link.settle(reservation);
    link.record(DOWNLOAD.route, { bytes, serviceMs: request.serviceMs });
    link.add({ ...request, bytes }, nowMs, reservation);
  };
  const events: Event[] = downloads.map((download) => {
    const bytes = sizeOf(random);
    const { organisation: _, organisationPriority: __, ...rest } = download;
    const request = isFair ? download : rest;
    return {
      atMs: download.arrivedAtMs,
      run: (nowMs: number) => {
        link.recordOffer(request, nowMs);
        const { waitMs, sentMs } = link.estimate(request, nowMs);
        if (waitMs > 0 && nowMs + sentMs > request.objectiveAtMs) {
          link.recordRefusal(nowMs);
          refused++;
          return;
        }
        const reservation = link.reserve(request, nowMs);
        insert(events, {
          atMs: nowMs + request.serviceMs,
          run: (atMs) => answer(request, bytes, reservation, atMs),
        });
      },
    };
  }).sort((a, b) => a.atMs - b.atMs);
  let nowMs = 0;
  for (;;) {
    const pieceInMs = link.nextPieceMs(nowMs) ?? Infinity;
    const next = events[0];
    if (next === undefined && pieceInMs === Infinity) break;
    if (next === undefined || nowMs + pieceInMs < next.atMs) {
      nowMs += pieceInMs;
    } else {
      events.shift();
      nowMs = next.atMs;
      next.run(nowMs);
    }
    sendPieces(nowMs);
  }
  return { downloads, served, refused, late };
}

function insert(events: Event[], event: Event): void {
  const index = events.findIndex(({ atMs }) => atMs > event.atMs);
  events.splice(index < 0 ? events.length : index, 0, event);
}

function sizeOf(random: Random): number {
  const bytes = -Math.log(1 - random.fraction()) * MEAN_BYTES;
  return Math.min(MAX_BYTES, Math.max(MIN_BYTES, bytes));
}
