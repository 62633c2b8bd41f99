/**
 * Slots: roles that a fixed number of daemons hold by leases in the store.
 *
 * @module
 */
export * from "./slot_planner.ts";
