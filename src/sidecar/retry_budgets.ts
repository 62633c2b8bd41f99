import { WindowedRetryBudget } from "../coordination/retry/windowed_retry_budget.ts";
import type { SidecarSettings } from "./sidecar_settings.ts";

/** Share of the fleet-wide retry ratio that one daemon uses. */
const BUDGET_RATIO_SHARE = 0.5;
/** Share of the fleet-wide retry slack that all daemons together use. */
const BUDGET_SLACK_SHARE = 0.7;

/**
 * Holds this daemon's part of the retry budget of each service.
 *
 * @example
 * ```ts ignore
 * const budget = new RetryBudgets(settings, () => 12).of("orders");
 * ```
 */
export class RetryBudgets {
  readonly #settings: SidecarSettings;
  readonly #countDaemons: () => number;
  readonly #budgets = new Map<string, WindowedRetryBudget>();

  /**
   * Creates budgets that are full.
   *
   * @param settings Bounds of the fleet.
   * @param countDaemons Returns the number of daemons in the fleet.
   */
  constructor(settings: SidecarSettings, countDaemons: () => number) {
    this.#settings = settings;
    this.#countDaemons = countDaemons;
  }

  /**
   * Returns the budget of a service.
   *
   * @param service Name of the service.
   * @returns The budget.
   */
  of(service: string): WindowedRetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      const { retryRatio, retrySlack, retryWindowMs } = this.#settings;
      budget = new WindowedRetryBudget({
        windowMs: retryWindowMs,
        ratio: retryRatio * BUDGET_RATIO_SHARE,
        slack: () =>
          retrySlack * BUDGET_SLACK_SHARE / Math.max(1, this.#countDaemons()),
      });
      this.#budgets.set(service, budget);
    }
    return budget;
  }
}
