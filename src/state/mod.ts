/**
 * What a daemon holds in memory.
 *
 * @module
 */
export * from "./config_snapshot.ts";
export * from "./config_store.ts";
export * from "./decision_log.ts";
export * from "./member_table.ts";
export * from "./request_ledger.ts";
export * from "./resource_set.ts";
