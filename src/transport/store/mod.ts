/**
 * Client of the platform's key-value store.
 *
 * @module
 */
export * from "./etcd_messages.ts";
export * from "./etcd_store.ts";
export * from "./token_bucket.ts";
