/**
 * Logs and metrics.
 *
 * @module
 */
export * from "./event_log.ts";
export * from "./metrics.ts";
export * from "./socket_meter.ts";
