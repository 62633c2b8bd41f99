/** Part of the tolerance that daemons may hold as tokens in advance. */
const ADVANCE_SHARE = 0.5;
/** Part of the tolerance for daemons that wait for their fixed share. */
const BRIDGE_SHARE = 0.2;
/** Time for which a token of a bridge may be used, in ms. */
export const BRIDGE_HOLD_MS = 1_000;
/** Time after its request for which a token in advance may be used, in ms. */
export const TOKEN_TTL_MS = 1_000;

const MS_PER_S = 1_000;

/** Bounds that the operator sets on what runs beyond the quotas. */
export interface QuotaBounds {
  /** Length of the windows in which requests are counted. */
  readonly windowMs: number;
  /** Share of a window's quota that may run beyond it. */
  readonly over: number;
  /** Requests that may run beyond it in a window. */
  readonly slack: number;
}

/** Bounds that hold where the operator sets none. */
export const DEFAULT_QUOTA_BOUNDS: QuotaBounds = {
  windowMs: 5_000,
  over: 0.1,
  slack: 20,
};

/** The limit of one organisation over all daemons. */
export interface QuotaLimit {
  /** Requests per second. */
  readonly limitPerS: number;
  /** Requests in a burst. */
  readonly burst: number;
}

/** How the limit of one organisation is kept. */
export interface QuotaPlan {
  readonly ratePerS: number;
  /** Size of the account. */
  readonly size: number;
  /** Tokens that all daemons together may hold in advance. */
  readonly pool: number;
  /** Requests per second of all daemons that wait for their fixed share. */
  readonly bridgePerS: number;
}

/**
 * Divides a limit and its tolerance among the ways in which a request may be
 * admitted.
 *
 * @param limit The limit.
 * @param bounds Bounds on what runs beyond it.
 * @returns The plan.
 *
 * @example
 * ```ts
 * planQuota({ limitPerS: 20, burst: 0 }, {
 *   windowMs: 5_000,
 *   over: 0.1,
 *   slack: 20,
 * }).pool; // 15
 * ```
 */
export function planQuota(limit: QuotaLimit, bounds: QuotaBounds): QuotaPlan {
  const { limitPerS, burst } = limit;
  const { windowMs, over, slack } = bounds;
  const quota = limitPerS * windowMs / MS_PER_S + burst;
  const tolerance = over * quota + slack;
  const pool = ADVANCE_SHARE * tolerance;
  return {
    ratePerS: limitPerS,
    size: Math.max(1, burst) + pool,
    pool,
    bridgePerS: BRIDGE_SHARE * tolerance * MS_PER_S /
      (windowMs + BRIDGE_HOLD_MS),
  };
}

/**
 * Returns how many requests may run in a window.
 *
 * @param limit The limit of the organisation.
 * @param bounds Window and tolerance.
 * @returns The number of requests.
 *
 * @example
 * ```ts
 * maxInWindow({ limitPerS: 20, burst: 0 }, {
 *   windowMs: 5_000,
 *   over: 0.1,
 *   slack: 20,
 * }); // 130
 * ```
 */
export function maxInWindow(limit: QuotaLimit, bounds: QuotaBounds): number {
  const quota = limit.limitPerS * bounds.windowMs / MS_PER_S + limit.burst;
  return quota * (1 + bounds.over) + bounds.slack;
}
