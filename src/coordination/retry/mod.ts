/**
 * Retry and hedging decisions, and the budgets that limit them.
 *
 * @module
 */
export * from "./latency_tracker.ts";
export * from "./hedge_delay.ts";
export * from "./retry_budget.ts";
export * from "./decide_retry.ts";
export * from "./windowed_retry_budget.ts";
export * from "./decide_unanswered.ts";
export * from "./organisation_throttle.ts";
