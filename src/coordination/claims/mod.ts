/**
 * Durable claims that make a request run at most once.
 *
 * @module
 */
export * from "./claim_log.ts";
export * from "./claim_partition.ts";
export * from "./holder_selector.ts";
export * from "./idempotency_key.ts";
