/**
 * Load balancing: the choice of a backend server for each call.
 *
 * @module
 */
export * from "./balancer.ts";
export * from "./ejection.ts";
export * from "./endpoint.ts";
export * from "./placement.ts";
