/**
 * Membership of the fleet: failure detection, dissemination and bridges.
 *
 * @module
 */
export * from "./bridge_selector.ts";
export * from "./gossip_queue.ts";
export * from "./failure_detector.ts";
export * from "./membership.ts";
