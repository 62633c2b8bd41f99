/**
 * Logs and metrics.
 *
 * @module
 */
export * from "./event_log.ts";
export * from "./metrics.ts";
