/**
 * Decisions about which backend server takes a request, and in which order.
 *
 * @module
 */
export * from "./body_gate.ts";
export * from "./destination_choice.ts";
export * from "./destination_view.ts";
export * from "./fading_average.ts";
export * from "./latest_useful.ts";
export * from "./service_times.ts";
export * from "./target_choice.ts";
export * from "./work_queue.ts";
