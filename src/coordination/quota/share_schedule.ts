const MS_PER_S = 1_000;

/** A daemon's part of a rate that all daemons share without communicating. */
export interface SharePart {
  /** Requests per second of this daemon. */
  readonly ratePerS: number;
  /** Place of its tokens between those of other daemons, from 0 up to 1. */
  readonly phase: number;
  /** Time for which a token may be used, in ms. */
  readonly holdMs: number;
  /** Earlier tokens are void; by the wall clock, in ms. */
  readonly notBeforeMs: number;
}

/**
 * Issues tokens at fixed times of the wall clock.
 *
 * Daemons with different phases issue theirs at different times, and a token is
 * void some time later. So the tokens of many daemons with low rates never add
 * up to more than the rate of all and the time of one token allow.
 *
 * @example
 * ```ts
 * const schedule = new ShareSchedule();
 * const part = { ratePerS: 1, phase: 0, holdMs: 500, notBeforeMs: 0 };
 * schedule.tryTake(part, 1_200); // true
 * schedule.tryTake(part, 1_300); // false
 * ```
 */
export class ShareSchedule {
  /** Issue time of the newest token that was used. */
  #takenMs = -Infinity;

  /**
   * Uses the oldest token that is valid.
   *
   * @param part This daemon's part.
   * @param wallMs Wall-clock time, in ms.
   * @returns Whether there was one.
   */
  tryTake(part: SharePart, wallMs: number): boolean {
    const issuedMs = this.#findNext(part, wallMs);
    if (issuedMs > wallMs) return false;
    this.#takenMs = issuedMs;
    return true;
  }

  /**
   * Returns the time until a token may be used.
   *
   * @param part This daemon's part.
   * @param wallMs Wall-clock time, in ms.
   * @returns The time, in ms; `Infinity` if there are no tokens.
   */
  waitMs(part: SharePart, wallMs: number): number {
    return Math.max(0, this.#findNext(part, wallMs) - wallMs);
  }

  /** Returns the issue time of the next token, which may have passed. */
  #findNext(part: SharePart, wallMs: number): number {
    if (part.ratePerS <= 0) return Infinity;
    const periodMs = MS_PER_S / part.ratePerS;
    const afterMs = Math.max(
      this.#takenMs,
      part.notBeforeMs,
      wallMs - part.holdMs,
    );
    const index = Math.floor(afterMs / periodMs - part.phase) + 1;
    const issuedMs = (index + part.phase) * periodMs;
    // The division may round the last token up to the same time again.
    return issuedMs > afterMs ? issuedMs : issuedMs + periodMs;
  }
}
