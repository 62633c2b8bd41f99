/**
 * Duties that a constant number of daemons holds by leases in the store.
 *
 * @module
 */
export * from "./slot_planner.ts";
