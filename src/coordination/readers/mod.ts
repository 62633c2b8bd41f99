/**
 * Choice of the daemons that read the store for their failure domain.
 *
 * @module
 */
export * from "./choose_readers.ts";
export * from "./plan_recovery.ts";
export * from "./read_cost.ts";
