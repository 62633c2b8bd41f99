/**
 * Eras of the store: which responses may be applied after a restore, and when
 * records are written again.
 *
 * @module
 */
export * from "./compare_eras.ts";
export * from "./rewrite_delay.ts";
export * from "./store_position.ts";
