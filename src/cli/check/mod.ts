/**
 * The check of a configuration: entries that never match, contradicting limits,
 * and differences from the version in force.
 *
 * @module
 */
export * from "./access_differences.ts";
export * from "./check_configuration.ts";
export * from "./contradictions.ts";
export * from "./differences.ts";
export * from "./finding.ts";
export * from "./format_finding.ts";
export * from "./limit_differences.ts";
export * from "./merge_sites.ts";
export * from "./never_match.ts";
export * from "./request_classes.ts";
export * from "./resource_differences.ts";
export * from "./site_view.ts";
export * from "./traffic_differences.ts";
