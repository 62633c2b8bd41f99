import { LRUCache } from "lru-cache";

/** Time constant with which requests are forgotten, in ms. */
const DECAY_MS = 2_000;
/** Requests that are sent for each one that is accepted. */
const SENT_PER_ACCEPTED = 3;
/** Requests up to which an organisation is not throttled. */
const MIN_REQUESTS = 5;
/**
 * Accepted share, relative to that of all, below which all requests are sent.
 * It lies above the quarter that each organisation is due.
 */
const MIN_RELATIVE_SHARE = 0.4;
/**
 * Largest share of requests that are not sent, so that an organisation is served
 * again soon after destinations have refused it for other reasons than its work.
 */
const MAX_UNSENT_SHARE = 0.7;
/** Most pairs of a service and an organisation that are remembered. */
const MAX_ENTRIES = 1_024;

/** Decayed counts, as at `atMs`. */
interface Counts {
  requests: number;
  accepted: number;
  atMs: number;
}

/** A request as far as the throttle is concerned. */
export interface ThrottledRequest {
  readonly service: string;
  readonly organisation: string;
}

/**
 * Keeps requests of an organisation from being sent while most of them are
 * refused by their destinations, since each refusal costs two daemons time.
 *
 * About three requests are sent for each one that is accepted, so that the share
 * of an organisation can grow again within seconds.
 *
 * @example
 * ```ts
 * const throttle = new OrganisationThrottle();
 * const request = { service: "stock", organisation: "a" };
 * throttle.admits(request, 0.5, 0); // true
 * throttle.record(request, true, 0);
 * ```
 */
export class OrganisationThrottle {
  readonly #byOrganisation = new LRUCache<string, Counts>({
    max: MAX_ENTRIES,
  });
  /** Counts over all organisations, by service. */
  readonly #byService = new Map<string, Counts>();

  /**
   * Decides whether a new request is sent.
   *
   * @param request The request.
   * @param fraction Random number from 0 up to, but not including, 1.
   * @param nowMs Monotonic time, in ms.
   * @returns Whether it is sent; if not, it is already recorded.
   */
  admits(
    request: ThrottledRequest,
    fraction: number,
    nowMs: number,
  ): boolean {
    const known = this.#byOrganisation.get(keyOf(request));
    const all = this.#byService.get(request.service);
    if (known === undefined || all === undefined) return true;
    const own = decayTo(known, nowMs);
    if (own.requests < MIN_REQUESTS) return true;
    const isBelowShare = own.accepted * all.requests <
      MIN_RELATIVE_SHARE * all.accepted * own.requests;
    if (isBelowShare) return true;
    const excess = own.requests - SENT_PER_ACCEPTED * own.accepted;
    const unsent = Math.min(MAX_UNSENT_SHARE, excess / (own.requests + 1));
    if (fraction >= unsent) return true;
    this.record(request, false, nowMs);
    return false;
  }

  /**
   * Records the end of a request, but for those that failed for other reasons
   * than a lack of capacity.
   *
   * @param request The request.
   * @param isAccepted Whether a destination has run it.
   * @param nowMs Monotonic time, in ms.
   */
  record(
    request: ThrottledRequest,
    isAccepted: boolean,
    nowMs: number,
  ): void {
    let all = this.#byService.get(request.service);
    if (all === undefined) {
      all = { requests: 0, accepted: 0, atMs: nowMs };
      this.#byService.set(request.service, all);
    }
    const key = keyOf(request);
    let own = this.#byOrganisation.get(key);
    if (own === undefined) {
      own = { requests: 0, accepted: 0, atMs: nowMs };
      this.#byOrganisation.set(key, own);
    }
    for (const counts of [decayTo(all, nowMs), decayTo(own, nowMs)]) {
      counts.requests++;
      if (isAccepted) counts.accepted++;
    }
  }
}

function keyOf({ service, organisation }: ThrottledRequest): string {
  return `${service}\n${organisation}`;
}

function decayTo(counts: Counts, nowMs: number): Counts {
  const elapsedMs = nowMs - counts.atMs;
  if (elapsedMs <= 0) return counts;
  const left = Math.exp(-elapsedMs / DECAY_MS);
  counts.requests *= left;
  counts.accepted *= left;
  counts.atMs = nowMs;
  return counts;
}
