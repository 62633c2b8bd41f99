/** Retries that each fresh call earns. */
const RETRIES_PER_CALL = 0.1;
/** Most retries that are saved up. */
const MAX_SAVED = 20;

/**
 * Bounds retries and hedges to a share of the fresh calls.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget();
 * budget.trySpend(); // true
 * ```
 */
export class RetryBudget {
  #saved = MAX_SAVED;

  /** Records a fresh call. */
  recordRequest(): void {
    this.#saved = Math.min(MAX_SAVED, this.#saved + RETRIES_PER_CALL);
  }

  /**
   * Spends a retry if one is left.
   *
   * @returns Whether the retry may go out.
   */
  trySpend(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
