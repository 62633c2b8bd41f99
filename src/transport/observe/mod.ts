/**
 * Logs and metrics.
 *
 * @module
 */
export * from "./descriptor_writer.ts";
export * from "./event_log.ts";
export * from "./line_limit.ts";
export * from "./loop_watch.ts";
export * from "./metrics.ts";
export * from "./socket_meter.ts";
export * from "./text_metrics.ts";
export * from "./usage_report.ts";
export * from "./winston_sink.ts";
