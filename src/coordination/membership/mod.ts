/**
 * Membership of the fleet: failure detection, dissemination and bridges.
 *
 * @module
 */
export * from "./bridges.ts";
export * from "./dissemination.ts";
export * from "./failure_detector.ts";
export * from "./membership.ts";
