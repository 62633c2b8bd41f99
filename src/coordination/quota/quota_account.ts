import type { TokenDemand, TokenGrant } from "../../protocol/quota_message.ts";
import { type QuotaPlan, TOKEN_TTL_MS } from "./quota_plan.ts";

/** Time for which tokens in advance are meant to last, in ms. */
const ADVANCE_MS = 500;
/** Longest time for which a daemon remembers an empty account, in ms. */
const MAX_EMPTY_MS = 1_000;
/** The same while the account has no share of the limit, in ms. */
const NO_SHARE_MS = 100;
/** Tolerance for rounding errors of the level. */
const EPSILON = 1e-9;

const MS_PER_S = 1_000;

interface Grant {
  readonly id: number;
  readonly expiresAtMs: number;
  count: number;
}

/**
 * Token bucket of one organisation at its account daemon.
 *
 * Tokens that a daemon may hold unused count as in the bucket: level and
 * outstanding tokens together never exceed its size. Thus a window never sees
 * more requests than the size and what flowed in during the window, however
 * long daemons keep their tokens.
 *
 * @example
 * ```ts ignore
 * const account = new QuotaAccount(plan, nowMs);
 * const grant = account.serve("instance-1", demand, nowMs);
 * ```
 */
export class QuotaAccount {
  #plan: QuotaPlan;
  #share = 0;
  /** Daemons that share the account. */
  #daemons = 1;
  #level = 0;
  #updatedAtMs: number;
  /** Grants in advance of an earlier account may be in use until then. */
  readonly #formerUntilMs: number;
  readonly #grants = new Map<string, Grant[]>();
  #outstanding = 0;
  #lastGrantId = 0;
  /** Time at which the last refused daemon may have a token. */
  #promisedUntilMs = -Infinity;

  /**
   * Creates an empty account.
   *
   * @param plan Rate and size.
   * @param nowMs Monotonic time, in ms.
   */
  constructor(plan: QuotaPlan, nowMs: number) {
    this.#plan = plan;
    this.#updatedAtMs = nowMs;
    this.#formerUntilMs = nowMs + TOKEN_TTL_MS;
  }

  /** Tokens in the bucket when it was used last. */
  get level(): number {
    return this.#level;
  }

  /** Tokens that daemons may hold unused, when it was used last. */
  get outstanding(): number {
    return this.#outstanding;
  }

  /** Tokens that the bucket may hold, with those outstanding. */
  get size(): number {
    return this.#share <= 0 ? 0 : Math.max(1, this.#plan.size * this.#share);
  }

  /**
   * Changes rate and size. Tokens beyond the new size are lost.
   *
   * @param plan The new plan.
   * @param part Share of the limit that belongs to this account, and number of
   * the daemons that share it.
   * @param nowMs Monotonic time, in ms.
   */
  configure(
    plan: QuotaPlan,
    part: { readonly share: number; readonly daemons: number },
    nowMs: number,
  ): void {
    this.#refill(nowMs);
    this.#plan = plan;
    this.#share = part.share;
    this.#daemons = Math.max(1, part.daemons);
    this.#clip(nowMs);
  }

  /**
   * Grants tokens to a daemon.
   *
   * @param daemon Name of its instance.
   * @param demand What it needs and holds.
   * @param nowMs Monotonic time, in ms.
   * @returns The grant.
   */
  serve(daemon: string, demand: TokenDemand, nowMs: number): TokenGrant {
    // Expired tokens are gone before any is taken back.
    this.#refill(nowMs);
    this.#settle(daemon, demand);
    const { organisation, waiting } = demand;
    const granted = Math.max(
      0,
      Math.min(waiting, Math.floor(this.#level + EPSILON)),
    );
    this.#level -= granted;
    const isShort = granted < waiting;
    const advance = isShort ? 0 : this.#grantAdvance(daemon, demand, nowMs);
    return {
      organisation,
      granted,
      advance,
      grantId: advance > 0 ? this.#lastGrantId : 0,
      emptyMs: isShort ? this.#promise(nowMs) : 0,
      level: this.#level,
    };
  }

  /** Removes what the daemon has used or returned from its grants. */
  #settle(daemon: string, demand: TokenDemand): void {
    const grants = this.#grants.get(daemon);
    if (grants === undefined) return;
    let excess = -demand.held;
    for (const { id, count } of grants) {
      if (id <= demand.grantId) excess += count;
    }
    let removed = 0;
    // The daemon uses its oldest tokens first.
    for (const grant of grants) {
      if (grant.id > demand.grantId || removed >= excess) continue;
      const part = Math.min(grant.count, excess - removed);
      grant.count -= part;
      removed += part;
    }
    this.#outstanding -= removed;
    this.#level += Math.min(Math.max(0, demand.returned), removed);
  }

  #grantAdvance(daemon: string, demand: TokenDemand, nowMs: number): number {
    // Others were told to come for their tokens, so nobody gets more than them.
    const most = nowMs - this.#promisedUntilMs < MAX_EMPTY_MS
      ? this.#batch - 1
      : Infinity;
    const wanted = Math.min(
      most,
      Math.floor(demand.demandPerS * ADVANCE_MS / MS_PER_S) - demand.held,
    );
    const room = this.#plan.pool * this.#share - this.#countOutstanding(nowMs);
    const count = Math.floor(Math.min(wanted, room, this.#level) + EPSILON);
    if (count < 1) return 0;
    this.#level -= count;
    this.#outstanding += count;
    const grants = this.#grants.get(daemon) ?? [];
    grants.push({
      id: ++this.#lastGrantId,
      expiresAtMs: nowMs + TOKEN_TTL_MS,
      count,
    });
    this.#grants.set(daemon, grants);
    return count;
  }

  /** Spaces out refused daemons, so that each token is asked for about once. */
  #promise(nowMs: number): number {
    const ratePerS = this.#plan.ratePerS * this.#share;
    if (ratePerS <= 0) return NO_SHARE_MS;
    const batch = this.#batch;
    const missing = Math.max(0, batch - this.#level);
    const nextAtMs = nowMs + missing * MS_PER_S / ratePerS;
    this.#promisedUntilMs = Math.min(
      nowMs + MAX_EMPTY_MS,
      Math.max(nextAtMs, this.#promisedUntilMs + batch * MS_PER_S / ratePerS),
    );
    // A new account gets its share as the daemons claim their leases.
    const mostMs = nowMs < this.#formerUntilMs ? NO_SHARE_MS : MAX_EMPTY_MS;
    return Math.min(mostMs, this.#promisedUntilMs - nowMs);
  }

  /** Tokens that a daemon gets at a time while all want more than there are. */
  get #batch(): number {
    const { ratePerS, pool } = this.#plan;
    const perDaemon = this.#share / this.#daemons;
    return Math.max(
      1,
      Math.floor(Math.min(
        ratePerS * perDaemon * ADVANCE_MS / MS_PER_S,
        1 + pool * perDaemon,
      )),
    );
  }

  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
    this.#updatedAtMs = Math.max(this.#updatedAtMs, nowMs);
    this.#level += this.#plan.ratePerS * this.#share * elapsedMs / MS_PER_S;
    this.#expire(nowMs);
    this.#clip(nowMs);
  }

  #clip(nowMs: number): void {
    const room = Math.max(0, this.size - this.#countOutstanding(nowMs));
    this.#level = Math.min(this.#level, room);
  }

  /** The daemons of a former account may hold as many as the pool allows. */
  #countOutstanding(nowMs: number): number {
    const former = nowMs < this.#formerUntilMs
      ? this.#plan.pool * this.#share
      : 0;
    return this.#outstanding + former;
  }

  /** Expired tokens count as used, as the report of their use may be lost. */
  #expire(nowMs: number): void {
    if (this.#outstanding === 0) return;
    for (const [daemon, grants] of this.#grants) {
      const kept = grants.filter(({ expiresAtMs, count }) =>
        expiresAtMs > nowMs && count > 0
      );
      if (kept.length === grants.length) continue;
      if (kept.length === 0) this.#grants.delete(daemon);
      else this.#grants.set(daemon, kept);
    }
    this.#outstanding = 0;
    for (const grants of this.#grants.values()) {
      for (const { count } of grants) this.#outstanding += count;
    }
  }
}
