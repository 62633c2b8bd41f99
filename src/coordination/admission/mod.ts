/**
 * Admission control by rank, at the ingress and at the destination.
 *
 * @module
 */
export * from "./adaptive_limit.ts";
export * from "./admission_queue.ts";
export * from "./ingress_limiter.ts";
