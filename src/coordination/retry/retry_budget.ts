/** Retries that each new call adds to the balance. */
const RETRIES_PER_CALL = 0.1;
/** Largest balance, in retries. */
const MAX_BALANCE = 20;

/**
 * Limits retries and hedges to a share of the new calls.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget();
 * budget.trySpend(); // true
 * ```
 */
export class RetryBudget {
  #balance = MAX_BALANCE;

  /** Records a new call, which adds to the balance. */
  recordRequest(): void {
    this.#balance = Math.min(MAX_BALANCE, this.#balance + RETRIES_PER_CALL);
  }

  /**
   * Spends one retry if the balance allows it.
   *
   * @returns Whether the retry is allowed.
   */
  trySpend(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}
