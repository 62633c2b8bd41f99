/**
 * Logs and metrics.
 *
 * @module
 */
export * from "./descriptor_writer.ts";
export * from "./event_log.ts";
export * from "./log_rate_limiter.ts";
export * from "./event_loop_monitor.ts";
export * from "./metrics.ts";
export * from "./socket_meter.ts";
export * from "./text_metrics.ts";
export * from "./usage_report.ts";
export * from "./winston_sink.ts";
