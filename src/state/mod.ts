/**
 * In-memory state of a daemon.
 *
 * @module
 */
export * from "./backend_directory.ts";
export * from "./config_snapshot.ts";
export * from "./config_store.ts";
export * from "./decision_log.ts";
export * from "./feed_history.ts";
export * from "./member_table.ts";
export * from "./request_ledger.ts";
export * from "./local_backend.ts";
export * from "./resource_set.ts";
export * from "./route_table.ts";
export * from "./route_table_holder.ts";
export * from "./store_contact.ts";
export * from "./view_age.ts";
