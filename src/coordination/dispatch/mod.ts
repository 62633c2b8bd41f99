/**
 * Decisions about which backend server takes a request, and in which order.
 *
 * @module
 */
export * from "./transfer_limiter.ts";
export * from "./choose_destination.ts";
export * from "./destination_stats.ts";
export * from "./decaying_average.ts";
export * from "./effective_deadline.ts";
export * from "./service_times.ts";
export * from "./choose_target.ts";
export * from "./work_queue.ts";
