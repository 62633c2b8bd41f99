/**
 * Quarantine of requests that crash backend servers.
 *
 * @module
 */
export * from "./quarantine_list.ts";
export * from "./suspect_list.ts";
