/**
 * Retries and hedges under one budget.
 *
 * @module
 */
export * from "./latency_tracker.ts";
export * from "./patience.ts";
export * from "./retry_budget.ts";
export * from "./retry_policy.ts";
export * from "./window_budget.ts";
export * from "./silence_verdict.ts";
