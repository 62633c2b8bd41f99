/**
 * Durable claims of idempotency keys, so that a request runs at most once.
 *
 * @module
 */
export * from "./claim_log.ts";
export * from "./claim_partition.ts";
export * from "./holder_selector.ts";
export * from "./idempotency_key.ts";
