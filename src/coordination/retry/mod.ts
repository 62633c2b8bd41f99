/**
 * Retries and hedges under one budget.
 *
 * @module
 */
export * from "./latency_tracker.ts";
export * from "./hedge_delay.ts";
export * from "./retry_budget.ts";
export * from "./decide_retry.ts";
export * from "./windowed_retry_budget.ts";
export * from "./decide_unanswered.ts";
