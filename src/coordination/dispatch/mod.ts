/**
 * Choice of the backend server for a request, and scheduling of its queue.
 *
 * @module
 */
export * from "./transfer_limiter.ts";
export * from "./transfer_queue.ts";
export * from "./backend_pace.ts";
export * from "./mean_pace.ts";
export * from "./choose_destination.ts";
export * from "./choose_by_response_time.ts";
export * from "./destination_stats.ts";
export * from "./decaying_average.ts";
export * from "./effective_deadline.ts";
export * from "./fair_share.ts";
export * from "./momentary_pace.ts";
export * from "./service_times.ts";
export * from "./choose_target.ts";
export * from "./start_limiter.ts";
export * from "./subcall_classifier.ts";
export * from "./work_item.ts";
export * from "./work_queue.ts";
export * from "./response_sizes.ts";
export * from "./link_queue.ts";
export * from "./link_schedule.ts";
export * from "./cost_distribution.ts";
export * from "./domain_load.ts";
export * from "./request_cost_key.ts";
export * from "./request_costs.ts";
