import { LRUCache } from "lru-cache";

/** Time constant with which accepted work is forgotten, in ms. */
const WORK_DECAY_MS = 1_000;
/** Time constant with which offers and acceptances are forgotten, in ms. */
const SHARE_DECAY_MS = 4_000;
/**
 * Share of its requests that an organisation is served at least, relative to
 * that of all.
 */
const MIN_RELATIVE_SHARE = 0.25;
/** What an unknown organisation is owed, so that its share is rounded. */
const INITIAL_OWED = 0.5;
/** Most requests that an organisation may be owed. */
const MAX_OWED = 2;
/**
 * Service times before the objective at which the surplus of a request no
 * longer counts while requests of all organisations are served.
 */
const SAFE_SERVICE_TIMES = 2;
/** Most organisations that are remembered; the least recent are forgotten. */
const MAX_ORGANISATIONS = 512;
/** Factor on the cost of a request for each step of its organisation's rank. */
const RANK_FACTOR = 4;
/** Largest rank that is told apart. */
const MAX_RANK = 6;

/** A request as far as fair shares are concerned. */
export interface FairRequest {
  /** Organisation of the caller, if it has one. */
  readonly organisation?: string | undefined;
  /** Rank of the organisation; 0 is the most urgent. */
  readonly organisationPriority?: number | undefined;
}

/** Recent use of the backend server by one organisation. */
interface Usage {
  /** Expected service time of accepted requests, decayed to `atMs`, in ms. */
  workMs: number;
  atMs: number;
  /** Requests that it has to be served so as not to fall below its share. */
  owed: number;
}

/** Order of a request among others, as at its acceptance. */
export interface FairPosition {
  /** Work of its organisation that counts against it, in ms. */
  readonly surplusMs: number;
  /** Factor on its cost and its surplus. */
  readonly factor: number;
  /** What it settles of the requests that its organisation is owed. */
  readonly settles: number;
}

const NO_ORGANISATION: FairPosition = { surplusMs: 0, factor: 1, settles: 0 };
/** Position of a request that is owed. */
const OWED: FairPosition = { surplusMs: 0, factor: 1, settles: 1 };

/** A request that was accepted, with monotonic times. */
export interface AcceptedRequest {
  readonly organisation: string;
  /** Service time that was expected when it was accepted, in ms. */
  readonly serviceMs: number;
  readonly acceptedAtMs: number;
  readonly position: FairPosition;
}

/**
 * Work of each organisation at one backend server, for the order in its queue.
 *
 * An organisation's work is the expected service time of its requests that were
 * accepted within about a second. A request counts the work that its
 * organisation had when it was accepted, so that the first requests of an
 * organisation go ahead of the backlog of another one. An organisation of which
 * far fewer requests are accepted than of all is owed some: these count as
 * those of an organisation of the highest rank without work.
 *
 * @example
 * ```ts
 * const shares = new FairShares();
 * const position = shares.positionOf({ organisation: "a" }, 0);
 * const accepted = { serviceMs: 289, acceptedAtMs: 0, position };
 * shares.accept({ organisation: "a", ...accepted });
 * shares.positionOf({ organisation: "a" }, 0).surplusMs; // 289
 * shares.positionOf({ organisation: "b" }, 0).surplusMs; // 0
 * ```
 */
export class FairShares {
  readonly #byOrganisation = new LRUCache<string, Usage>({
    max: MAX_ORGANISATIONS,
  });
  /** Offered and accepted requests of all, decayed to `#atMs`. */
  #offered = 0;
  #accepted = 0;
  #atMs = 0;

  /** Number of organisations that are remembered. */
  get size(): number {
    return this.#byOrganisation.size;
  }

  /**
   * Records that a request of an organisation wants a slot.
   *
   * @param organisation Name of the organisation.
   * @param nowMs Monotonic time, in ms.
   */
  recordOffer(organisation: string, nowMs: number): void {
    this.#decayTo(nowMs);
    this.#offered++;
    const usage = this.#usageAt(organisation, nowMs);
    const owed = MIN_RELATIVE_SHARE * this.#acceptedShare;
    usage.owed = Math.min(MAX_OWED, usage.owed + owed);
  }

  /**
   * Returns the position of a new request.
   *
   * @param request The request.
   * @param nowMs Monotonic time, in ms.
   * @returns The position.
   */
  positionOf(request: FairRequest, nowMs: number): FairPosition {
    const { organisation, organisationPriority = 0 } = request;
    if (organisation === undefined) return NO_ORGANISATION;
    const usage = this.#usageAt(organisation, nowMs);
    if (usage.owed >= 1) return OWED;
    const rank = Math.min(MAX_RANK, Math.max(0, organisationPriority));
    return {
      surplusMs: usage.workMs,
      factor: RANK_FACTOR ** rank,
      settles: usage.owed,
    };
  }

  /**
   * Records that a request waits or runs.
   *
   * @param request The request, and its position when it was offered.
   */
  accept(request: AcceptedRequest): void {
    const { organisation, serviceMs, acceptedAtMs, position } = request;
    this.#decayTo(acceptedAtMs);
    this.#accepted++;
    const usage = this.#usageAt(organisation, acceptedAtMs);
    usage.workMs += serviceMs;
    usage.owed = Math.max(0, usage.owed - position.settles);
  }

  /**
   * Takes back a request that left the queue without running.
   *
   * @param request The request, as it was accepted.
   */
  withdraw(request: AcceptedRequest): void {
    const { organisation, serviceMs, acceptedAtMs, position } = request;
    const accepted = decay(1, this.#atMs - acceptedAtMs, SHARE_DECAY_MS);
    this.#accepted = Math.max(0, this.#accepted - accepted);
    const usage = this.#byOrganisation.get(organisation);
    if (usage === undefined) return;
    const workMs = decay(serviceMs, usage.atMs - acceptedAtMs, WORK_DECAY_MS);
    usage.workMs = Math.max(0, usage.workMs - workMs);
    usage.owed = Math.min(MAX_OWED, usage.owed + position.settles);
  }

  /**
   * Returns the part of a waiting request's surplus that counts at a time. It
   * shrinks as the request comes near its objective, the less the more requests
   * have been refused: as long as all can be served, none is made late.
   *
   * @param request The request.
   * @param objectiveAtMs Monotonic time of its objective, in ms.
   * @param nowMs Monotonic time, in ms.
   * @returns The surplus, in ms.
   */
  countingSurplusMs(
    request: Omit<AcceptedRequest, "organisation">,
    objectiveAtMs: number,
    nowMs: number,
  ): number {
    const { serviceMs, acceptedAtMs, position: { surplusMs } } = request;
    if (surplusMs === 0 || nowMs + serviceMs > objectiveAtMs) return surplusMs;
    const safeUntilMs = objectiveAtMs - SAFE_SERVICE_TIMES * serviceMs;
    const slackMs = Math.max(0, safeUntilMs - nowMs);
    const left = slackMs === 0 ? 0 : slackMs / (safeUntilMs - acceptedAtMs);
    return surplusMs * (1 - (1 - left) * this.#acceptedShare);
  }

  get #acceptedShare(): number {
    return this.#offered === 0
      ? 1
      : Math.min(1, this.#accepted / this.#offered);
  }

  #usageAt(organisation: string, nowMs: number): Usage {
    const known = this.#byOrganisation.get(organisation);
    if (known !== undefined) return decayTo(known, nowMs);
    const usage = { workMs: 0, atMs: nowMs, owed: INITIAL_OWED };
    this.#byOrganisation.set(organisation, usage);
    return usage;
  }

  #decayTo(nowMs: number): void {
    const elapsedMs = nowMs - this.#atMs;
    if (elapsedMs <= 0) return;
    this.#offered = decay(this.#offered, elapsedMs, SHARE_DECAY_MS);
    this.#accepted = decay(this.#accepted, elapsedMs, SHARE_DECAY_MS);
    this.#atMs = nowMs;
  }
}

function decayTo(usage: Usage, nowMs: number): Usage {
  const elapsedMs = nowMs - usage.atMs;
  if (elapsedMs <= 0) return usage;
  usage.workMs = decay(usage.workMs, elapsedMs, WORK_DECAY_MS);
  usage.atMs = nowMs;
  return usage;
}

function decay(
  value: number,
  elapsedMs: number,
  timeConstantMs: number,
): number {
  return value * Math.exp(-Math.max(0, elapsedMs) / timeConstantMs);
}
