import { TransferLimiter } from "../src/coordination/dispatch/transfer_limiter.ts";
import { Random } from "../src/protocol/random.ts";
import {
  countServed,
  generateOrganisations,
  type OrganisationLoad,
  type ServedShares,
} from "./organisation_loads.ts";
import type { SimulatedRequest } from "./queue_simulation.ts";

const MEAN_BYTES = 90_000;
/** Smaller bodies need no permit on this link. */
const MIN_BYTES = 30_000;
const MAX_BYTES = 540_000;
/** A link of 12 Mbit/s. */
const BYTES_PER_MS = 1_500;
const UPLOAD = {
  route: "upload",
  priority: 0,
  serviceMs: 1,
  objectiveMs: 1_500,
  timeoutMs: 1_500,
  perS: BYTES_PER_MS * 1_000 / MEAN_BYTES,
};
const SEEDS = [21, 22, 23, 24, 25, 26];
/** Ids of the requests of one run. */
const ID_RANGE = 1e9;

/** Results of a load of uploads. */
export interface UploadShares extends ServedShares {
  /** Share of the refusals that came after a wait. */
  readonly lateRefusals: number;
}

interface Run {
  readonly uploads: readonly SimulatedRequest[];
  readonly served: readonly number[];
  readonly refusals: number;
  readonly lateRefusals: number;
}

/**
 * Runs uploads of many organisations over one slow link.
 *
 * @param load The load.
 * @param isFair Whether the destination knows organisations and sizes.
 * @returns What was served during the surge.
 *
 * @example
 * ```ts ignore
 * simulateUploads(load, true).worstTenth; // 0.8
 * ```
 */
export function simulateUploads(
  load: OrganisationLoad,
  isFair: boolean,
): UploadShares {
  const runs = SEEDS.map((seed) => runOnce(load, isFair, seed));
  const sum = (field: "refusals" | "lateRefusals") =>
    runs.reduce((total, run) => total + run[field], 0);
  return {
    ...countServed(
      runs.flatMap(({ uploads }) => uploads),
      new Set(runs.flatMap(({ served }) => served)),
    ),
    lateRefusals: sum("lateRefusals") / Math.max(1, sum("refusals")),
  };
}

function runOnce(
  load: OrganisationLoad,
  isFair: boolean,
  seed: number,
): Run {
  const random = new Random(seed);
  const stream = { ...UPLOAD, perS: UPLOAD.perS * load.usual };
  const uploads = generateOrganisations(load, stream, random, seed * ID_RANGE);
  const arrivals = [...uploads].sort((a, b) => a.arrivedAtMs - b.arrivedAtMs);
  const sizes = new Map(arrivals.map(({ id }) => [String(id), sizeOf(random)]));
  const limiter = new TransferLimiter();
  const leftBytes = new Map<string, number>();
  const served: number[] = [];
  let refusals = 0;
  let lateRefusals = 0;
  const grant = (ids: readonly string[]) => {
    for (const id of ids) {
      leftBytes.set(id, sizes.get(id)!);
      served.push(Number(id));
    }
  };
  let nowMs = 0;
  /** Moves time on; concurrent transfers share the link equally. */
  const advance = (toMs: number) => {
    while (leftBytes.size > 0) {
      const least = Math.min(...leftBytes.values());
      const endMs = nowMs + least * leftBytes.size / BYTES_PER_MS;
      const sentBytes = (Math.min(endMs, toMs) - nowMs) * BYTES_PER_MS /
        leftBytes.size;
      nowMs = Math.min(endMs, toMs);
      for (const [id, bytes] of leftBytes) leftBytes.set(id, bytes - sentBytes);
      if (endMs > toMs) break;
      const [ended] = [...leftBytes].find(([, bytes]) => bytes < 1)!;
      leftBytes.delete(ended);
      lateRefusals += limiter.removeExpired(nowMs).length;
      grant(limiter.release(ended, nowMs));
    }
    nowMs = toMs;
  };
  for (const upload of arrivals) {
    advance(upload.arrivedAtMs);
    const id = String(upload.id);
    const { organisation, organisationPriority, priority } = upload;
    const decision = limiter.requestPermit({
      id,
      maxWaitMs: UPLOAD.timeoutMs,
      ...(isFair
        ? { organisation, organisationPriority, priority, bytes: sizes.get(id) }
        : {}),
    }, nowMs);
    if (decision.kind === "admit") grant([id]);
    if (decision.kind === "refuse") refusals++;
    if (decision.kind === "wait") lateRefusals += decision.displaced.length;
  }
  advance(Infinity);
  refusals += lateRefusals;
  return { uploads, served, refusals, lateRefusals };
}

function sizeOf(random: Random): number {
  const bytes = -Math.log(1 - random.fraction()) * MEAN_BYTES;
  return Math.min(MAX_BYTES, Math.max(MIN_BYTES, bytes));
}
